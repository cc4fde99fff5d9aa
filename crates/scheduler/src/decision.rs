//! Decisions of the scheduler and their reasons.

use serde::{Deserialize, Serialize};
use std::fmt;
use types::{QueueName, Reservation, RunnerId, TaskRef, TenantId, WallTime};

/// One decision of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Wall time of the leader.
    pub at: WallTime,
    /// The queue.
    pub queue: QueueName,
    /// The tenant of the task.
    pub tenant: TenantId,
    /// The decision.
    pub kind: DecisionKind,
}

/// Kind of a decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionKind {
    /// The task was placed on a runner.
    Placed {
        /// The reservation, to be committed.
        reservation: Reservation,
        /// Number of tenants that were runnable when one was drawn.
        runnable_tenants: u32,
        /// Whether the queue is in shadow mode, so that nothing is started.
        shadow: bool,
    },
    /// The tenant's first task was not placed. Reported when the reason changes,
    /// not at every pull.
    NotPlaced {
        /// The task.
        task: TaskRef,
        /// The reason.
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
    /// No seat of the licence is free, or more urgent work waits for it.
    NoSeat,
    /// The tenant is above its share while one below its share waits.
    TenantAboveShare,
    /// The runners that could take the task are draining or unresponsive.
    RunnersAway,
    /// No runner of the pool has the resources free.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No runner has the labels.
    NoRunnerWithLabels,
    /// Only a runner on probation has the resources free.
    RunnerOnProbation,
    /// A runner with the resources free is reserved for a task that starves.
    #[serde(rename = "held_for_larger_task")]
    ReservedForLargerTask {
        /// The runner.
        runner: RunnerId,
    },
    /// The task's start time, or the end of its backoff, is in the future.
    BeforeItsTime {
        /// The earliest start.
        not_before: WallTime,
    },
    /// A step that the task's step depends on is not done.
    WaitingForStep,
    /// The queue is paused.
    QueuePaused,
    /// The queue is in shadow mode.
    QueueShadow,
    /// No runner of the pool has reported to this leader yet.
    NoRunnerKnown,
    /// The task has as many open runs as it may have.
    AlreadyRunning,
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
            Self::AlreadyRunning => formatter.write_str("it has all the runs it may have"),
        }
    }
}
