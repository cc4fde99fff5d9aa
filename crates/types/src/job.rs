//! Jobs, steps and tasks as callers submit them, and the states returned to callers.

use crate::{
    EntryAddress, JobId, Labels, LicenceName, Milliseconds, QueueName, RackName, Resources,
    StepName, TenantId, WallTime,
};
use serde::{Deserialize, Serialize};

/// Urgency of a job, set by its caller. It orders only the work of one tenant:
/// urgent tasks start before the other tasks of that tenant.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Starts before the tenant's other work.
    Urgent,
    /// Starts in order of submission.
    #[default]
    Normal,
}

/// Job as submitted by a caller. A second submission with equal content under the
/// same key is the same job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Tenant whose share and resource limit the job counts against.
    pub tenant: TenantId,
    /// Identifier chosen by the caller, unique within the tenant.
    pub job: JobId,
    /// Queue of the job, which also determines its pool of runners.
    pub queue: QueueName,
    /// Urgency within the work of the tenant.
    pub urgency: Urgency,
    /// Time before which no task starts, by the leader's wall clock. `None`: no bound.
    pub start_at: Option<WallTime>,
    /// Opaque text for the runner, used for each step that has no payload of its own.
    pub payload: String,
    /// Steps in the order of submission; their dependencies contain no cycle.
    pub steps: Vec<StepSpec>,
}

/// Group of equal tasks that may run at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Name of the step, unique within the job.
    pub name: StepName,
    /// Steps that must be done before any task of this one starts.
    pub after: Vec<StepName>,
    /// Number of tasks; at least 1.
    pub tasks: u32,
    /// Resources that each run of a task reserves.
    pub resources: Resources,
    /// Labels that a runner needs to run the tasks.
    pub labels: Labels,
    /// Maximum number of concurrent runs of one task; 1 if the caller gives none.
    pub max_copies: u32,
    /// Number of failed runs after which a task is still retried; the next one fails
    /// the task.
    pub allowed_failures: u32,
    /// Maximum duration of a run. A longer run is stopped and counts as failed.
    pub time_limit: Milliseconds,
    /// Opaque text for the runner; if empty, the payload of the job is used.
    pub payload: String,
    /// Rules for the placement of the tasks.
    pub rules: StepRules,
}

/// Rules for when, where and together with which other tasks the tasks of a step
/// run. The default sets no rule.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct StepRules {
    /// Time before which no task of the step starts, by the leader's wall clock. The
    /// start time of the job applies as well. `None`: no bound.
    pub start_at: Option<WallTime>,
    /// Rack in which the tasks should run; other racks are used when it has no free
    /// capacity.
    pub preferred_rack: Option<RackName>,
    /// Maximum number of concurrent runs of the step on one runner. `None`: no limit.
    pub max_per_runner: Option<u32>,
    /// Whether the tasks form a gang, which works only as a whole: their runs are
    /// reserved together, and the end of one of them ends all.
    pub gang: bool,
    /// Whether the tasks of a gang should run within one rack.
    pub same_rack: bool,
    /// Whether the tasks run until the job is cancelled: they start again after each
    /// end of a run, whatever its outcome.
    pub endless: bool,
    /// Duration of one run as estimated by the caller; `None` without an estimate.
    pub expected: Option<Milliseconds>,
    /// Licence of which each run takes one seat, from its reservation until its end is
    /// certain.
    pub licence: Option<LicenceName>,
}

/// Jobs that a caller may see and end, under the configuration in force when it calls.
///
/// Which job an identifier names does not depend on this: the identifier of a job that
/// was submitted by an entry is unique among all such jobs, whatever their tenants.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobAccess {
    /// Tenants whose jobs the caller may see and end.
    pub tenants: Vec<TenantId>,
    /// Entry that is open to all callers: the caller may also see and end the jobs that
    /// were submitted by it. `None` for a caller that uses no such entry.
    pub open_entry: Option<EntryAddress>,
}

impl JobAccess {
    /// Returns whether the caller may see and end a job of this tenant that was submitted
    /// by this entry.
    pub fn allows(&self, tenant: &TenantId, entry: Option<&EntryAddress>) -> bool {
        let is_open = self.open_entry.is_some() && self.open_entry.as_ref() == entry;
        is_open || self.tenants.contains(tenant)
    }
}

/// State of a job, derived from its tasks or set by a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has had a run yet.
    Waiting,
    /// At least one task has had a run.
    Running,
    /// Every task is done. Final.
    Done,
    /// A task failed more often than its step allows. Final.
    Failed,
    /// The caller or an operator cancelled the job. Final.
    Cancelled,
}

impl JobState {
    /// Returns whether the state never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// State of a task, derived from its dependencies, its runs and the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// A step that must be done first is not done.
    Blocked,
    /// The task may start once its start time has passed and a runner has free capacity.
    Ready,
    /// The task has at least one open run.
    Running,
    /// A run of the task ended successfully. Final.
    Done,
    /// The task failed more often than its step allows. Final.
    Failed,
    /// The job was cancelled or failed before the task was done. Final.
    Cancelled,
}

/// Progress of a step as returned to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepView {
    /// Name of the step.
    pub name: StepName,
    /// Number of tasks in the step.
    pub tasks: u32,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks with an open run.
    pub running: u32,
    /// Number of tasks that failed more often than the step allows.
    pub failed: u32,
    /// Number of failed runs of all tasks so far.
    pub failed_runs: u32,
}

/// State and progress of a job as returned to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Tenant that the job belongs to.
    pub tenant: TenantId,
    /// Identifier chosen by the caller.
    pub job: JobId,
    /// Queue that the job was submitted to.
    pub queue: QueueName,
    /// State when the job was read.
    pub state: JobState,
    /// Reason of the failure, as text for people; `None` unless the job failed.
    pub reason: Option<String>,
    /// Time of submission, by the wall clock of the leader that proposed the job.
    pub submitted_at: WallTime,
    /// Time of the reservation of the first run; `None` before it.
    pub first_reserved_at: Option<WallTime>,
    /// Time at which the job reached a final state; `None` before it.
    pub ended_at: Option<WallTime>,
    /// Steps in the order of submission.
    pub steps: Vec<StepView>,
}
