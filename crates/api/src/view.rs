//! JSON bodies: jobs as their callers see them, alone and in lists.

use crate::BodyError;
use crate::job::JobState;
use serde::{Deserialize, Serialize};
use transport::JobFilter;
use types::{JobId, JobNumber, JobView, QueueName, StepName, StepView, TenantId};

/// Jobs on a list page when the query names no limit.
pub const DEFAULT_PAGE: u32 = 100;
/// Most jobs on a list page.
pub const MAX_PAGE: u32 = 1_000;

/// Answer to a submit: 201 for a new job, 200 for a known one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedBody {
    /// Its number in the record.
    pub number: u64,
    /// True for a resent submit.
    pub known: bool,
}

/// A job as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobViewBody {
    /// Its tenant.
    pub tenant: TenantId,
    /// The caller's identifier.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its state.
    pub state: JobState,
    /// Why it failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// When it was taken, in milliseconds since the epoch.
    pub submitted_at_ms: u64,
    /// When its first run was reserved.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_reserved_at_ms: Option<u64>,
    /// When it reached a final state.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at_ms: Option<u64>,
    /// Its steps in order.
    pub steps: Vec<StepViewBody>,
}

/// A step as its caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepViewBody {
    /// Name of the step.
    pub name: StepName,
    /// Tasks in it.
    pub tasks: u32,
    /// Tasks ended done.
    pub done: u32,
    /// Tasks with an open run.
    pub running: u32,
    /// Tasks that used up their allowed failures.
    pub failed: u32,
    /// Failed runs so far, over all tasks.
    pub failed_runs: u32,
}

impl From<JobView> for JobViewBody {
    fn from(view: JobView) -> Self {
        Self {
            tenant: view.tenant,
            job: view.job,
            queue: view.queue,
            state: view.state.into(),
            reason: view.reason,
            submitted_at_ms: view.submitted_at.0,
            first_reserved_at_ms: view.first_reserved_at.map(|time| time.0),
            ended_at_ms: view.ended_at.map(|time| time.0),
            steps: view.steps.into_iter().map(StepViewBody::from).collect(),
        }
    }
}

impl From<StepView> for StepViewBody {
    fn from(view: StepView) -> Self {
        Self {
            name: view.name,
            tasks: view.tasks,
            done: view.done,
            running: view.running,
            failed: view.failed,
            failed_runs: view.failed_runs,
        }
    }
}

/// Query of `GET /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListQuery {
    /// Of this tenant only.
    pub tenant: Option<TenantId>,
    /// In this state only.
    pub state: Option<JobState>,
    /// After this number: `next` of the page before.
    pub after: Option<u64>,
    /// At most this many.
    pub limit: Option<u32>,
}

impl ListQuery {
    /// The filter, once the limit is found fair.
    ///
    /// # Errors
    ///
    /// Fails if the limit lies outside its bounds.
    pub fn into_filter(self) -> Result<JobFilter, BodyError> {
        let limit = self.limit.unwrap_or(DEFAULT_PAGE);
        if limit == 0 || limit > MAX_PAGE {
            let message = format!("must lie between 1 and {MAX_PAGE}");
            return Err(BodyError::new("limit", message));
        }
        Ok(JobFilter {
            tenant: self.tenant,
            state: self.state.map(types::JobState::from),
            after: self.after.map(JobNumber),
            limit,
        })
    }
}

/// A page of `GET /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobsBody {
    /// The jobs in order of submission.
    pub jobs: Vec<JobViewBody>,
    /// `after` of the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}

/// Why a job's tasks are where they are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBody {
    /// A line each.
    pub lines: Vec<String>,
}
