//! Routes that return a view of the cluster.
//!
//! Each view is the response body of one operation without parameters, so all views
//! share one handler.

use crate::shell::http::Server;
use crate::shell::http::answer::{Failure, unexpected};
use crate::shell::http::requester::Requester;
use api::operator::{
    LicenceViewBody, LicencesBody, MemberViewBody, MembersBody, QueueViewBody, QueuesBody,
    RunnerViewBody, RunnersBody, TenantViewBody, TenantsBody,
};
use api::version::ConfigurationStatusBody;
use axum::Json;
use axum::extract::State;
use transport::{Operation, OperationReply};

/// Response body that shows a part of the cluster.
pub trait View: Sized {
    /// Operation that reads the view.
    const OPERATION: Operation;

    /// Converts the reply to the operation. Returns `None` for the reply to another
    /// operation.
    fn from_reply(reply: OperationReply) -> Option<Self>;
}

/// Handles `GET` of the path of a view.
pub async fn view<V: View>(
    State(server): State<Server>,
    requester: Requester,
) -> Result<Json<V>, Failure> {
    let reply = server.execute(&requester, V::OPERATION).await?;
    V::from_reply(reply).map(Json).ok_or_else(unexpected)
}

impl View for RunnersBody {
    const OPERATION: Operation = Operation::ListRunners;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Runners(runners) = reply else {
            return None;
        };
        let runners = runners.into_iter().map(RunnerViewBody::from).collect();
        Some(Self { runners })
    }
}

impl View for QueuesBody {
    const OPERATION: Operation = Operation::ListQueues;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Queues(queues) = reply else {
            return None;
        };
        let queues = queues.into_iter().map(QueueViewBody::from).collect();
        Some(Self { queues })
    }
}

impl View for LicencesBody {
    const OPERATION: Operation = Operation::ListLicences;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Licences(licences) = reply else {
            return None;
        };
        let licences = licences.into_iter().map(LicenceViewBody::from).collect();
        Some(Self { licences })
    }
}

impl View for TenantsBody {
    const OPERATION: Operation = Operation::ListTenants;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Tenants(tenants) = reply else {
            return None;
        };
        let tenants = tenants.into_iter().map(TenantViewBody::from).collect();
        Some(Self { tenants })
    }
}

impl View for MembersBody {
    const OPERATION: Operation = Operation::ListMembers;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Members(members) = reply else {
            return None;
        };
        let members = members.into_iter().map(MemberViewBody::from).collect();
        Some(Self { members })
    }
}

impl View for ConfigurationStatusBody {
    const OPERATION: Operation = Operation::ListMembers;

    fn from_reply(reply: OperationReply) -> Option<Self> {
        let OperationReply::Members(members) = reply else {
            return None;
        };
        Some(Self::from(members))
    }
}
