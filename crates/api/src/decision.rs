//! JSON bodies: the decision log, a line each.

use crate::BodyError;
use crate::cancel::JobKeyBody;
use crate::job::JobState;
use scheduler::{Decision, DecisionKind, NotPlacedReason};
use serde::{Deserialize, Serialize};
use transport::{DecisionEntry, DecisionEvent};
use types::{Outcome, QueueName, RunClose, RunnerId, TenantId, WallTime};

/// Most lines asked of the leader at once.
pub const MAX_DECISIONS: u32 = 1_000;

/// Query of `GET /v1/decisions`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionsQuery {
    /// Number of the last line seen; 0 for the oldest kept.
    #[serde(default)]
    pub after: u64,
    /// Term of that line. With it, a reader that comes back after a change of
    /// leader gets the new leader's lines from the beginning.
    pub term: Option<u64>,
    /// Whether to go on with new lines as they come.
    #[serde(default)]
    pub follow: bool,
    /// Lines in a reply that does not follow, or in one poll of one that does.
    pub limit: Option<u32>,
}

impl DecisionsQuery {
    /// The limit, once it is found fair.
    ///
    /// # Errors
    ///
    /// Fails if the limit lies outside its bounds.
    pub fn checked_limit(&self) -> Result<u32, BodyError> {
        let limit = self.limit.unwrap_or(MAX_DECISIONS);
        if limit == 0 || limit > MAX_DECISIONS {
            let message = format!("must lie between 1 and {MAX_DECISIONS}");
            return Err(BodyError::new("limit", message));
        }
        Ok(limit)
    }
}

/// One line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Its number; rises by one within a leader's term.
    pub number: u64,
    /// Term of the leader that decided.
    pub term: u64,
    /// Leader's wall time, in milliseconds since the epoch.
    pub at_ms: u64,
    /// The job, when it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobKeyBody>,
    /// What happened.
    #[serde(flatten)]
    pub event: EventBody,
}

/// What happened. Tasks read `<job number>.<step>.<task>`, runs
/// `<term>-<sequence>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventBody {
    /// A task was given to a runner.
    Placed {
        /// The queue.
        queue: QueueName,
        /// The tenant.
        tenant: TenantId,
        /// The task.
        task: String,
        /// The run.
        run: String,
        /// The runner.
        runner: RunnerId,
        /// Tenants that were runnable when one was drawn.
        runnable_tenants: u32,
        /// True in a shadow queue: nothing will be started.
        shadow: bool,
    },
    /// A task stays where it is.
    NotPlaced {
        /// The queue.
        queue: QueueName,
        /// The tenant.
        tenant: TenantId,
        /// The task.
        task: String,
        /// Why, in short.
        reason: Reason,
        /// Why, for people.
        message: String,
    },
    /// The record took the reservation; its order leaves.
    Ordered {
        /// The run.
        run: String,
        /// The task.
        task: String,
        /// The runner.
        runner: RunnerId,
    },
    /// The record closed a run.
    Closed {
        /// The run.
        run: String,
        /// The task.
        task: String,
        /// The runner.
        runner: RunnerId,
        /// How it ended.
        outcome: Close,
        /// What the runner said about a failure.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        message: Option<String>,
    },
    /// A job reached a final state.
    JobEnded {
        /// The state.
        state: JobState,
    },
}

/// Why a task stays where it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The tenant's runs hold its resource limit.
    #[serde(rename = "tenant_at_ceiling")]
    TenantAtLimit,
    /// What is left below its resource limit is reserved for its more urgent queues.
    #[serde(rename = "ceiling_kept_for_urgent")]
    LimitReservedForUrgent,
    /// No seat of its licence is free.
    NoSeat,
    /// The tenant is above its share.
    TenantAboveShare,
    /// The runners that could take it are draining or unresponsive.
    RunnersAway,
    /// No runner has enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No runner with enough free capacity carries the labels.
    NoRunnerWithLabels,
    /// The only free capacity is on a runner on probation.
    RunnerOnProbation,
    /// A runner is kept free for a larger task.
    #[serde(rename = "held_for_larger_task")]
    ReservedForLargerTask,
    /// Its start time or backoff has not come.
    BeforeItsTime,
    /// A step before it is not done.
    WaitingForStep,
    /// The queue is paused.
    QueuePaused,
    /// The queue only decides and logs.
    QueueShadow,
    /// No runner has reported yet.
    NoRunnerKnown,
    /// It has all the runs it may have.
    AlreadyRunning,
}

impl From<&NotPlacedReason> for Reason {
    fn from(reason: &NotPlacedReason) -> Self {
        match reason {
            NotPlacedReason::TenantAtLimit => Self::TenantAtLimit,
            NotPlacedReason::LimitReservedForUrgent => Self::LimitReservedForUrgent,
            NotPlacedReason::TenantAboveShare => Self::TenantAboveShare,
            NotPlacedReason::NoSeat => Self::NoSeat,
            NotPlacedReason::RunnersAway => Self::RunnersAway,
            NotPlacedReason::NoCapacity => Self::NoCapacity,
            NotPlacedReason::NoRunnerWithLabels => Self::NoRunnerWithLabels,
            NotPlacedReason::RunnerOnProbation => Self::RunnerOnProbation,
            NotPlacedReason::ReservedForLargerTask { .. } => Self::ReservedForLargerTask,
            NotPlacedReason::BeforeItsTime { .. } => Self::BeforeItsTime,
            NotPlacedReason::WaitingForStep => Self::WaitingForStep,
            NotPlacedReason::QueuePaused => Self::QueuePaused,
            NotPlacedReason::QueueShadow => Self::QueueShadow,
            NotPlacedReason::NoRunnerKnown => Self::NoRunnerKnown,
            NotPlacedReason::AlreadyRunning => Self::AlreadyRunning,
        }
    }
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Close {
    /// The task did its work.
    Done,
    /// The task failed.
    Failed,
    /// Stopped; no failure.
    Stopped,
    /// It never started and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// Its run lease expired without a report; no failure.
    Lost,
    /// The runner rejected it; no failure.
    #[serde(rename = "refused")]
    Rejected,
    /// It ran past its time limit; a failure.
    TimedOut,
}

impl From<&RunClose> for Close {
    fn from(close: &RunClose) -> Self {
        match close {
            RunClose::Ended(Outcome::Done) => Self::Done,
            RunClose::Ended(Outcome::Failed(_)) => Self::Failed,
            RunClose::Ended(Outcome::Stopped) => Self::Stopped,
            RunClose::Revoked => Self::Revoked,
            RunClose::Lost => Self::Lost,
            RunClose::Rejected => Self::Rejected,
            RunClose::TimedOut => Self::TimedOut,
        }
    }
}

impl From<DecisionEntry> for DecisionLine {
    fn from(entry: DecisionEntry) -> Self {
        let (WallTime(at_ms), event) = timed(entry.event);
        Self {
            number: entry.number,
            term: entry.term.0,
            at_ms,
            job: entry.job.map(JobKeyBody::from),
            event,
        }
    }
}

/// When it happened, and what.
fn timed(event: DecisionEvent) -> (WallTime, EventBody) {
    match event {
        DecisionEvent::Dispatch(decision) => (decision.at, dispatched(decision)),
        DecisionEvent::Ordered {
            run,
            task,
            runner,
            at,
        } => {
            let event = EventBody::Ordered {
                run: run.to_string(),
                task: task.to_string(),
                runner,
            };
            (at, event)
        }
        DecisionEvent::Closed {
            run,
            task,
            runner,
            close,
            at,
        } => {
            let event = EventBody::Closed {
                run: run.to_string(),
                task: task.to_string(),
                runner,
                outcome: Close::from(&close),
                message: failure_message(close),
            };
            (at, event)
        }
        DecisionEvent::JobEnded { state, at } => {
            let state = state.into();
            (at, EventBody::JobEnded { state })
        }
    }
}

fn dispatched(decision: Decision) -> EventBody {
    let Decision {
        queue,
        tenant,
        kind,
        ..
    } = decision;
    match kind {
        DecisionKind::Placed {
            reservation,
            runnable_tenants,
            shadow,
        } => EventBody::Placed {
            queue,
            tenant,
            task: reservation.task.to_string(),
            run: reservation.run.to_string(),
            runner: reservation.runner,
            runnable_tenants,
            shadow,
        },
        DecisionKind::NotPlaced { task, reason } => EventBody::NotPlaced {
            queue,
            tenant,
            task: task.to_string(),
            reason: Reason::from(&reason),
            message: reason.to_string(),
        },
    }
}

fn failure_message(close: RunClose) -> Option<String> {
    match close {
        RunClose::Ended(Outcome::Failed(message)) => Some(message),
        _ => None,
    }
}
