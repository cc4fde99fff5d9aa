//! Decisions of the scheduler and their reasons.

use serde::{Deserialize, Serialize};
use std::fmt;
use types::{QueueName, Reservation, RunnerId, TaskRef, TenantId, WallTime};

/// Decision of the scheduler on one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision, by the leader's wall clock.
    pub at: WallTime,
    /// Queue of the task.
    pub queue: QueueName,
    /// Tenant that owns the task.
    pub tenant: TenantId,
    /// Outcome of the decision with its details.
    pub kind: DecisionKind,
}

/// Outcome of a decision: a task is placed, or a tenant's first task is not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionKind {
    /// The task was placed on a runner.
    Placed {
        /// Reservation of the run, which the leader has yet to commit. In
        /// shadow mode it is not committed.
        reservation: Reservation,
        /// Number of tenants that were runnable when one was drawn, counted
        /// once for each queue.
        runnable_tenants: u32,
        /// Whether the queue is in shadow mode, so that nothing is started.
        shadow: bool,
    },
    /// The tenant's first task was not placed. Reported when the reason changes,
    /// not at every pull.
    NotPlaced {
        /// First pending task of the tenant in the queue.
        task: TaskRef,
        /// Reason at the time of the decision.
        reason: NotPlacedReason,
    },
}

/// Reason why a task was not placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotPlacedReason {
    /// The task would exceed the tenant's resource limit.
    #[serde(rename = "tenant_at_ceiling")]
    TenantAtLimit,
    /// The task would use the headroom of the tenant's more urgent queues.
    #[serde(rename = "ceiling_kept_for_urgent")]
    LimitReservedForUrgent,
    /// No seat of the task's licence is free, or tasks of more urgent queues
    /// wait for the free ones.
    NoSeat,
    /// The tenant uses more than its share of the pool, and a tenant below its
    /// share has pending tasks.
    TenantAboveShare,
    /// All runners that have the labels are draining or unresponsive.
    RunnersAway,
    /// No available runner of the pool has the resources free.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No runner of the pool has all labels that the task requires.
    NoRunnerWithLabels,
    /// Only a runner on probation has the resources free.
    RunnerOnProbation,
    /// A runner with the resources free is reserved for a task that starves.
    #[serde(rename = "held_for_larger_task")]
    ReservedForLargerTask {
        /// Runner that is reserved.
        runner: RunnerId,
    },
    /// The task's start time, or the end of its backoff, is in the future.
    BeforeItsTime {
        /// End of the wait: the start time, or the end of the backoff.
        not_before: WallTime,
    },
    /// A step that the task's step depends on is not done.
    WaitingForStep,
    /// The queue is paused, or the configuration does not name it.
    QueuePaused,
    /// The queue is in shadow mode, so that none of its tasks start.
    QueueShadow,
    /// No runner of the pool has reported to this leader yet.
    NoRunnerKnown,
    /// The task has as many open runs as it may have.
    AlreadyRunning,
    /// A runner has the resources free only in the part that is left to more
    /// urgent queues.
    ReservedForUrgent {
        /// Runner with these resources.
        runner: RunnerId,
    },
}

impl fmt::Display for NotPlacedReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TenantAtLimit => formatter.write_str("the tenant is at its ceiling"),
            Self::LimitReservedForUrgent => {
                formatter.write_str("what is left below the ceiling is kept for more urgent work")
            }
            Self::NoSeat => formatter.write_str("no seat of its licence is free"),
            Self::TenantAboveShare => {
                formatter.write_str("the tenant is above its share while others below theirs wait")
            }
            Self::RunnersAway => {
                formatter.write_str("the runners that could take it leave or are silent")
            }
            Self::NoCapacity => formatter.write_str("no runner of the pool has room"),
            Self::NoRunnerWithLabels => {
                formatter.write_str("no runner with room carries the labels asked for")
            }
            Self::RunnerOnProbation => {
                formatter.write_str("the only room is on a runner on probation")
            }
            Self::ReservedForLargerTask { runner } => {
                write!(formatter, "runner {runner} is kept free for a larger task")
            }
            Self::BeforeItsTime { not_before } => {
                write!(formatter, "it may not start before {}", not_before.0)
            }
            Self::WaitingForStep => formatter.write_str("a step it depends on is not done"),
            Self::QueuePaused => formatter.write_str("the queue is paused"),
            Self::QueueShadow => formatter.write_str("the queue is in shadow mode"),
            Self::NoRunnerKnown => {
                formatter.write_str("no runner of the pool has reported to this leader yet")
            }
            Self::ReservedForUrgent { runner } => write!(
                formatter,
                "what runner {runner} has free is reserved for more urgent work"
            ),
            Self::AlreadyRunning => formatter.write_str("it has all the runs it may have"),
        }
    }
}
