//! Tasks and runs as the state machine publishes them to the scheduler.

use crate::{
    EndpointName, JobNumber, Labels, LicenceName, Milliseconds, QueueName, Resources, RunId,
    RunnerId, RunnerIncarnation, StepRules, TaskRef, TenantId, Urgency, WallTime,
};
use serde::{Deserialize, Serialize};

/// Minimal metadata published for a task that may start. Corresponds to the
/// `jobs:<id>` entry of the Job Pump, but with one entry for each task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskMeta {
    /// Reference to the task.
    pub task: TaskRef,
    /// Tenant of the job.
    pub tenant: TenantId,
    /// Queue of the job.
    pub queue: QueueName,
    /// Urgency of the job; urgent tasks start before the tenant's other tasks.
    pub urgency: Urgency,
    /// Resources that each run of the task reserves.
    pub resources: Resources,
    /// Labels that a runner needs to run the task.
    pub labels: Labels,
    /// Maximum number of concurrent runs of the task.
    pub max_copies: u32,
    /// Time before which the task does not start: a start time or the end of a retry
    /// backoff. `None`: no bound.
    pub not_before: Option<WallTime>,
    /// Placement rules of the step.
    pub rules: StepRules,
    /// Number of tasks in the step, which is the number of members if it is a gang.
    pub step_tasks: u32,
}

/// Run that is reserved and not closed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Task that the run is an attempt at.
    pub task: TaskRef,
    /// Number of the run among the runs of its task, from 1.
    pub attempt: u32,
    /// Tenant whose resource limit the run counts against.
    pub tenant: TenantId,
    /// Queue of the job.
    pub queue: QueueName,
    /// Runner that the run is reserved on.
    pub runner: RunnerId,
    /// Incarnation of the runner that the run is reserved on.
    pub incarnation: RunnerIncarnation,
    /// Endpoint of that runner; `None` if unknown.
    pub endpoint: Option<EndpointName>,
    /// Resources that the run holds.
    pub resources: Resources,
    /// Maximum duration of the run.
    pub time_limit: Milliseconds,
    /// Duration as estimated by the caller; `None` without an estimate.
    pub expected: Option<Milliseconds>,
    /// Licence of which the run takes a seat; `None` if it needs none.
    pub licence: Option<LicenceName>,
    /// Time of the reservation, by the wall clock of the leader that proposed it.
    pub reserved_at: WallTime,
    /// Whether the runner stops the run at the end of the run lease, as reported before
    /// the reservation. If not, the run stays open however long the runner is
    /// unresponsive.
    pub self_stop: bool,
}

/// Placement of a run by the scheduler. It is committed before the order to start the
/// run is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// Identifier of the new run.
    pub run: RunId,
    /// Task to run.
    pub task: TaskRef,
    /// Runner to run the task on.
    pub runner: RunnerId,
    /// Incarnation of the runner that reported the free resources.
    pub incarnation: RunnerIncarnation,
    /// Endpoint of that runner; `None` if unknown.
    pub endpoint: Option<EndpointName>,
    /// Whether that runner stops its own runs at the end of the run lease.
    pub self_stop: bool,
}

/// Number of a job with its tenant and identifier, for messages to people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedJob {
    /// Number of the job.
    pub number: JobNumber,
    /// Tenant and identifier chosen by the caller.
    pub key: crate::JobKey,
}
