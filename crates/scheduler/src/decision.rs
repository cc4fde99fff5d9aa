//! Decisions with their reasons.

use serde::{Deserialize, Serialize};
use std::fmt;
use types::{QueueName, Reservation, RunnerId, TaskRef, TenantId, WallTime};

/// One decision of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Leader's wall time.
    pub at: WallTime,
    /// The queue.
    pub queue: QueueName,
    /// The tenant whose task it is about.
    pub tenant: TenantId,
    /// What was decided.
    pub kind: DecisionKind,
}

/// What was decided.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionKind {
    /// The task goes to this runner under this run.
    Placed {
        /// The choice, to be committed.
        reservation: Reservation,
        /// Tenants that were runnable when one was drawn.
        runnable_tenants: u32,
        /// True in a shadow queue: nothing will be started.
        shadow: bool,
    },
    /// The tenant's next task stays where it is. Reported when the reason
    /// changes, not at every pull.
    NotPlaced {
        /// The task.
        task: TaskRef,
        /// Why.
        reason: NotPlacedReason,
    },
}

/// Why a task was not placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotPlacedReason {
    /// The tenant's runs hold its resource limit.
    #[serde(rename = "tenant_at_ceiling")]
    TenantAtLimit,
    /// What is left below the resource limit is kept for more urgent queues of the
    /// tenant.
    #[serde(rename = "ceiling_kept_for_urgent")]
    LimitReservedForUrgent,
    /// No seat of the licence is free, or more urgent work waits for it.
    NoSeat,
    /// The tenant is above its share and another one below its own waits.
    TenantAboveShare,
    /// The runners that could take it leave or are silent.
    RunnersAway,
    /// No runner of the pool has room.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No runner with room carries the labels.
    NoRunnerWithLabels,
    /// The only room left is on a runner on probation.
    RunnerOnProbation,
    /// A runner is kept free for an older, larger task.
    #[serde(rename = "held_for_larger_task")]
    ReservedForLargerTask {
        /// The runner.
        runner: RunnerId,
    },
    /// Its start time or backoff has not come.
    BeforeItsTime {
        /// When it comes.
        not_before: WallTime,
    },
    /// A step before it is not done.
    WaitingForStep,
    /// The queue is paused.
    QueuePaused,
    /// The queue only decides and logs.
    QueueShadow,
    /// No runner of the pool has reported to this leader yet.
    NoRunnerKnown,
    /// It has all the runs it may have.
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
