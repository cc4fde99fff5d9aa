//! What the scheduler knows of tasks and runs, as the state machine reports it.

use crate::{
    EndpointName, JobNumber, Labels, LicenceName, Milliseconds, QueueName, Resources, RunId,
    RunnerId, RunnerIncarnation, StepRules, TaskRef, TenantId, Urgency, WallTime,
};
use serde::{Deserialize, Serialize};

/// The minimal metadata published for a task that may start (source: the
/// `jobs:<id>` entry of the Job Pump, here one for each task).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskMeta {
    /// The task.
    pub task: TaskRef,
    /// Whose it is.
    pub tenant: TenantId,
    /// Its queue.
    pub queue: QueueName,
    /// Urgent tasks go before the tenant's others.
    pub urgency: Urgency,
    /// What one run holds.
    pub resources: Resources,
    /// Labels its runner must carry.
    pub labels: Labels,
    /// Copies that may run at once.
    pub max_copies: u32,
    /// Not before this time: the job's start time or a retry's backoff.
    pub not_before: Option<WallTime>,
    /// The rules of its step.
    pub rules: StepRules,
    /// Tasks of its step: the members, where it is a gang.
    pub step_tasks: u32,
}

/// A run that is reserved and not closed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenRun {
    /// The run.
    pub run: RunId,
    /// Its task.
    pub task: TaskRef,
    /// Number of the run among those of its task, from 1.
    pub attempt: u32,
    /// Whose resource limit it counts against.
    pub tenant: TenantId,
    /// Its queue.
    pub queue: QueueName,
    /// The runner it is bound to.
    pub runner: RunnerId,
    /// The incarnation of the runner it is bound to.
    pub incarnation: RunnerIncarnation,
    /// Endpoint of that runner, if that is known.
    pub endpoint: Option<EndpointName>,
    /// What it holds.
    pub resources: Resources,
    /// Its time limit.
    pub time_limit: Milliseconds,
    /// About how long it takes, by its caller.
    pub expected: Option<Milliseconds>,
    /// The licence of which it takes a seat.
    pub licence: Option<LicenceName>,
    /// When the record took the reservation.
    pub reserved_at: WallTime,
    /// Whether its runner stops it at the end of the run lease, as it said
    /// when it was chosen. If not, the run stays bound however long the runner is unresponsive.
    pub self_stop: bool,
}

/// A choice of the scheduler, to be committed before its order may leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The new run.
    pub run: RunId,
    /// The task chosen.
    pub task: TaskRef,
    /// The runner chosen.
    pub runner: RunnerId,
    /// The incarnation of the runner that reported the free resources.
    pub incarnation: RunnerIncarnation,
    /// Endpoint of that runner, if that is known.
    pub endpoint: Option<EndpointName>,
    /// Whether that runner stops its own runs at the end of the run lease.
    pub self_stop: bool,
}

/// A job's number with the caller's names, for messages to people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedJob {
    /// Number in the record.
    pub number: JobNumber,
    /// The caller's names.
    pub key: crate::JobKey,
}
