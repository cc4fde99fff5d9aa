//! JSON bodies of cancels: one job, several jobs, or all jobs of a tenant.

use crate::BodyError;
use serde::{Deserialize, Serialize};
use state_machine::CancelSelector;
use types::{JobId, JobKey, QueueName, TenantId};

/// Key by which callers refer to a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKeyBody {
    /// Tenant that submitted the job.
    pub tenant: TenantId,
    /// Identifier given by the caller, unique within the tenant.
    pub job: JobId,
}

impl From<JobKeyBody> for JobKey {
    fn from(body: JobKeyBody) -> Self {
        Self {
            tenant: body.tenant,
            job: body.job,
        }
    }
}

impl From<JobKey> for JobKeyBody {
    fn from(key: JobKey) -> Self {
        Self {
            tenant: key.tenant,
            job: key.job,
        }
    }
}

/// Body of `POST /v1/cancels`: either `jobs`, or `tenant` with an optional
/// `queue`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// Jobs to cancel. Absent if `tenant` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jobs: Option<Vec<JobKeyBody>>,
    /// Tenant whose unfinished jobs are all cancelled. Absent if `jobs` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantId>,
    /// Queue to which the cancel of a tenant's jobs is limited. Absent for all
    /// queues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
}

impl CancelBody {
    /// Converts the body to a selector.
    ///
    /// # Errors
    ///
    /// Fails if the body has `jobs` together with `tenant` or `queue`, or
    /// neither `jobs` nor `tenant`.
    pub fn into_selector(self) -> Result<CancelSelector, BodyError> {
        match (self.jobs, self.tenant, self.queue) {
            (Some(jobs), None, None) => Ok(CancelSelector::Jobs(
                jobs.into_iter().map(JobKey::from).collect(),
            )),
            (None, Some(tenant), queue) => Ok(CancelSelector::Tenant { tenant, queue }),
            (Some(_), _, _) => Err(BodyError::new("jobs", "leave out tenant and queue")),
            (None, None, _) => Err(BodyError::new("body", "give either jobs or tenant")),
        }
    }
}

impl From<CancelSelector> for CancelBody {
    fn from(selector: CancelSelector) -> Self {
        match selector {
            CancelSelector::Jobs(jobs) => Self {
                jobs: Some(jobs.into_iter().map(JobKeyBody::from).collect()),
                ..Self::default()
            },
            CancelSelector::Tenant { tenant, queue } => Self {
                tenant: Some(tenant),
                queue,
                ..Self::default()
            },
        }
    }
}

/// Response to a cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledBody {
    /// Number of jobs that this request cancelled.
    pub cancelled: u64,
    /// Number of jobs that were already in a final state.
    pub finished: u64,
    /// Keys for which no job exists.
    pub unknown: Vec<JobKeyBody>,
}
