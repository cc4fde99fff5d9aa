//! JSON bodies of job views: one job, lists of jobs and explanations.

use crate::BodyError;
use crate::job::JobState;
use serde::{Deserialize, Serialize};
use transport::JobFilter;
use types::{JobId, JobNumber, JobView, QueueName, StepName, StepView, TenantId};

/// Number of jobs on a page when the query has no limit.
pub const DEFAULT_PAGE: u32 = 100;
/// Maximum number of jobs on a page.
pub const MAX_PAGE: u32 = 1_000;

/// Response to a submit, with status 201 for a new job and 200 for a known one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedBody {
    /// Number of the job, assigned when the submit was committed.
    pub number: u64,
    /// Whether the same job had been submitted before.
    pub known: bool,
}

/// State of a job, as shown to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobViewBody {
    /// Tenant that submitted the job.
    pub tenant: TenantId,
    /// Identifier given by the caller, unique within the tenant.
    pub job: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// Current state of the job.
    pub state: JobState,
    /// Reason of a failure, as text for people. Absent if the job has not failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Time of the submit, in milliseconds since the epoch.
    pub submitted_at_ms: u64,
    /// Time at which the first run was reserved, in milliseconds since the epoch.
    /// Absent before that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_reserved_at_ms: Option<u64>,
    /// Time at which the job reached a final state, in milliseconds since the
    /// epoch. Absent before that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ended_at_ms: Option<u64>,
    /// Steps of the job, in the order in which they were submitted.
    pub steps: Vec<StepViewBody>,
}

/// State of a step, as shown to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepViewBody {
    /// Name of the step.
    pub name: StepName,
    /// Number of tasks in the step.
    pub tasks: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Number of tasks with an open run.
    pub running: u32,
    /// Number of tasks that used up their allowed failures.
    pub failed: u32,
    /// Number of failed runs so far, over all tasks.
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
    /// Tenant whose jobs are listed. Absent for all tenants.
    pub tenant: Option<TenantId>,
    /// State of the jobs that are listed. Absent for all states.
    pub state: Option<JobState>,
    /// Number of the job after which the page starts: `next` of the previous
    /// page. Absent for the first page.
    pub after: Option<u64>,
    /// Maximum number of jobs on the page, from 1 to [`MAX_PAGE`]. Default
    /// [`DEFAULT_PAGE`].
    pub limit: Option<u32>,
}

impl ListQuery {
    /// Converts the query to a filter.
    ///
    /// # Errors
    ///
    /// Fails if the limit is 0 or above [`MAX_PAGE`].
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

/// Response to `GET /v1/jobs`: one page of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobsBody {
    /// Jobs of the page, in order of submission.
    pub jobs: Vec<JobViewBody>,
    /// Value of `after` for the next page. Absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}

/// Explanation of why a job's tasks are not running.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBody {
    /// Lines of the explanation, as text for people.
    pub lines: Vec<String>,
}
