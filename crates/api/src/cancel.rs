//! JSON bodies: cancels of one job, many, or all of a tenant.

use crate::BodyError;
use serde::{Deserialize, Serialize};
use state_machine::CancelSelector;
use types::{JobId, JobKey, QueueName, TenantId};

/// A job as its caller names it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobKeyBody {
    /// The tenant.
    pub tenant: TenantId,
    /// The caller's identifier.
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

/// `POST /v1/cancels`: either named jobs, or all of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CancelBody {
    /// These jobs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub jobs: Option<Vec<JobKeyBody>>,
    /// All unfinished jobs of this tenant.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantId>,
    /// With `tenant`: of this queue only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<QueueName>,
}

impl CancelBody {
    /// The selector, when exactly one of the two ways is used.
    ///
    /// # Errors
    ///
    /// Fails if the body names jobs beside a tenant or queue, or neither jobs nor a tenant.
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

/// Answer to a cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelledBody {
    /// Cancelled by this request.
    pub cancelled: u64,
    /// Already in a final state.
    pub finished: u64,
    /// Keys that name no job.
    pub unknown: Vec<JobKeyBody>,
}
