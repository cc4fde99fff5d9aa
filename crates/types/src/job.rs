//! Jobs, steps and tasks: what callers submit, and the states they read back.

use crate::{
    JobId, Labels, LicenceName, Milliseconds, QueueName, RackName, Resources, StepName, TenantId,
    WallTime,
};
use serde::{Deserialize, Serialize};

/// How soon a job's caller needs it. An order within a tenant's own work:
/// an urgent task goes before that tenant's others.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Before the tenant's other work.
    Urgent,
    /// In order of submission.
    #[default]
    Normal,
}

/// A job as submitted. Equal content under the same key is the same job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The tenant that pays for it.
    pub tenant: TenantId,
    /// The caller's identifier, unique within the tenant.
    pub job: JobId,
    /// The queue, and so the pool of runners.
    pub queue: QueueName,
    /// Order within the tenant's work.
    pub urgency: Urgency,
    /// No task starts before this time, judged by the leader's clock.
    pub start_at: Option<WallTime>,
    /// Opaque text for the runner, for every step that has none of its own.
    pub payload: String,
    /// Steps; dependencies among them have no cycle.
    pub steps: Vec<StepSpec>,
}

/// A group of equal tasks that may run side by side.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Name, unique within the job.
    pub name: StepName,
    /// Steps that must be done before any task of this one starts.
    pub after: Vec<StepName>,
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What one task needs.
    pub resources: Resources,
    /// Labels its runner must carry.
    pub labels: Labels,
    /// Copies of one task that may run at once; 1 unless asked for.
    pub max_copies: u32,
    /// Failed runs that one task may have and still be tried again.
    pub allowed_failures: u32,
    /// A run still going after this time is stopped and counts as failed.
    pub time_limit: Milliseconds,
    /// Opaque text for the runner.
    pub payload: String,
    /// When, where and with which others its tasks run.
    pub rules: StepRules,
}

/// When, where and with which others the tasks of a step run. The default asks
/// for nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct StepRules {
    /// No task of the step starts before this time, judged by the leader's
    /// clock; beside the time of the whole job.
    pub start_at: Option<WallTime>,
    /// The rack where its tasks run best; others will do when it has no free capacity.
    pub preferred_rack: Option<RackName>,
    /// Most runs of the step that one runner holds at once; none is no limit.
    pub max_per_runner: Option<u32>,
    /// The tasks work only all together: they are reserved as one, and one
    /// end of a run ends all of them.
    pub gang: bool,
    /// The tasks of a gang run best within one rack.
    pub same_rack: bool,
    /// The tasks run until the job is cancelled, and start again however a run
    /// of them ends.
    pub endless: bool,
    /// About how long one run takes, by its caller.
    pub expected: Option<Milliseconds>,
    /// Each run takes a seat of this licence, from its reservation until it is
    /// certain that it is over.
    pub licence: Option<LicenceName>,
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Nothing of it has a run yet.
    Waiting,
    /// At least one task has had a run.
    Running,
    /// Every task ended done. Final.
    Done,
    /// A task used up its allowed failures. Final.
    Failed,
    /// Cancelled by its caller or an operator. Final.
    Cancelled,
}

impl JobState {
    /// True for a state that never changes again.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::Failed | Self::Cancelled)
    }
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// A step before it is not done.
    Blocked,
    /// May start when its time has come and a runner has free capacity.
    Ready,
    /// Has at least one open run.
    Running,
    /// Ended done. Final.
    Done,
    /// Used up its allowed failures. Final.
    Failed,
    /// Its job was cancelled or failed. Final.
    Cancelled,
}

/// A step as shown to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepView {
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

/// A job as shown to callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its tenant.
    pub tenant: TenantId,
    /// The caller's identifier.
    pub job: JobId,
    /// Its queue.
    pub queue: QueueName,
    /// Its state.
    pub state: JobState,
    /// Why it failed, for people.
    pub reason: Option<String>,
    /// When the record took it.
    pub submitted_at: WallTime,
    /// When its first run was reserved.
    pub first_reserved_at: Option<WallTime>,
    /// When it reached a final state.
    pub ended_at: Option<WallTime>,
    /// Its steps in order.
    pub steps: Vec<StepView>,
}
