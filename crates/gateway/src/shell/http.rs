//! The HTTP interface: its routes, and the state that all handlers share.

mod answer;
mod decisions;
mod jobs;
mod operator;
mod requester;
mod view;

use crate::shell::requests::Requests;
use admin::Readiness;
use answer::{Failure, reject};
use api::operator::{LicencesBody, MembersBody, QueuesBody, RunnersBody, TenantsBody};
use api::route;
use api::version::ConfigurationStatusBody;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::http::StatusCode;
use axum::routing::{get, post, put};
use requester::Requester;
use std::time::Instant;
use tokio::sync::watch;
use transport::{Operation, OperationReply, RejectionCode};
use types::NodeId;
use view::view;

/// Maximum length of a request body, in bytes. A longer one is answered with 413.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// State that all handlers share: channel to the core, identity and stop signal.
#[derive(Debug, Clone)]
pub struct Server {
    requests: Requests,
    node: NodeId,
    stop: watch::Receiver<bool>,
}

impl Server {
    /// Creates the state for the gateway with the identity `node`.
    pub fn new(requests: Requests, node: NodeId, stop: watch::Receiver<bool>) -> Self {
        Self {
            requests,
            node,
            stop,
        }
    }

    /// Sends an operation to the core, waits for the reply and records metrics.
    async fn execute(
        &self,
        requester: &Requester,
        operation: Operation,
    ) -> Result<OperationReply, Failure> {
        let name = operation_name(&operation);
        let started_at = Instant::now();
        let answer = self
            .requests
            .execute(requester.caller.clone(), requester.time_left, operation)
            .await;
        let outcome = match &answer {
            Ok(_) => "ok",
            Err(rejection) => outcome_name(rejection.code),
        };
        metrics::counter!(
            "cypressdrum_gateway_requests_total",
            "operation" => name,
            "outcome" => outcome
        )
        .increment(1);
        metrics::histogram!("cypressdrum_gateway_request_seconds", "operation" => name)
            .record(started_at.elapsed().as_secs_f64());
        answer.map_err(Failure::from)
    }
}

/// Returns all routes of a gateway, including those of the admin interface.
pub fn router(server: Server, readiness: Readiness) -> Router {
    Router::new()
        .route(route::JOBS, post(jobs::submit).get(jobs::list))
        .route(route::JOB, get(jobs::get).delete(jobs::cancel))
        .route(route::JOB_CANCEL, post(jobs::cancel))
        .route(route::JOB_EXPLAIN, get(jobs::explain))
        .route(route::CANCELS, post(jobs::cancel_many))
        .route(route::CONFIGURATION, get(operator::configuration))
        .route(
            route::CONFIGURATION_VERSION,
            put(operator::put_configuration).patch(operator::update_configuration),
        )
        .route(
            route::CONFIGURATION_STATUS,
            get(view::<ConfigurationStatusBody>),
        )
        .route(route::RUNNERS, get(view::<RunnersBody>))
        .route(route::RUNNER_DRAIN, post(operator::drain_runner))
        .route(route::RUNNER_LOST, post(operator::declare_runner_lost))
        .route(route::QUEUES, get(view::<QueuesBody>))
        .route(route::TENANTS, get(view::<TenantsBody>))
        .route(route::LICENCES, get(view::<LicencesBody>))
        .route(route::MEMBERS, get(view::<MembersBody>))
        .route(route::DECISIONS, get(decisions::decisions))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_method)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(server)
        .merge(admin::routes(readiness))
}

async fn unknown_path() -> Failure {
    Failure::from(reject(RejectionCode::NotFound, "no such path"))
}

async fn unknown_method() -> Failure {
    let rejection = reject(RejectionCode::Invalid, "this path does not take the method");
    Failure::with_status(StatusCode::METHOD_NOT_ALLOWED, rejection)
}

fn operation_name(operation: &Operation) -> &'static str {
    match operation {
        Operation::Submit(_) => "submit",
        Operation::SubmitByEntry { .. } => "submit_by_entry",
        Operation::GetAccessibleJobState { .. } => "get_accessible_job_state",
        Operation::CancelAccessible { .. } => "cancel_accessible",
        Operation::GetJob(_) => "get_job",
        Operation::GetJobState(_) => "get_job_state",
        Operation::ListJobs(_) => "list_jobs",
        Operation::Cancel(_) => "cancel",
        Operation::Explain(_) => "explain",
        Operation::PutConfiguration { .. } => "put_configuration",
        Operation::UpdateConfiguration { .. } => "update_configuration",
        Operation::ConfirmUpdate { .. } => "confirm_update",
        Operation::GetConfiguration => "get_configuration",
        Operation::GetNewestConfiguration => "get_newest_configuration",
        Operation::CountJobs(_) => "count_jobs",
        Operation::DrainRunner { .. } => "drain_runner",
        Operation::DeclareRunnerLost { .. } => "declare_runner_lost",
        Operation::ListRunners => "list_runners",
        Operation::ListQueues => "list_queues",
        Operation::ListTenants => "list_tenants",
        Operation::ListLicences => "list_licences",
        Operation::ListMembers => "list_members",
        Operation::Decisions { .. } => "decisions",
    }
}

fn outcome_name(code: RejectionCode) -> &'static str {
    match code {
        RejectionCode::Invalid => "invalid",
        RejectionCode::Unauthenticated => "unauthenticated",
        RejectionCode::Forbidden => "forbidden",
        RejectionCode::NotFound => "not_found",
        RejectionCode::Conflict => "conflict",
        RejectionCode::Overloaded => "overloaded",
        RejectionCode::Unavailable => "unavailable",
        RejectionCode::TimedOut => "timed_out",
    }
}
