//! JSON bodies of the decision log, one line per event.

use crate::BodyError;
use crate::cancel::JobKeyBody;
use crate::job::JobState;
use scheduler::{Decision, DecisionKind, NotPlacedReason};
use serde::{Deserialize, Serialize};
use transport::{DecisionEntry, DecisionEvent};
use types::{Outcome, QueueName, RunClose, RunnerId, TenantId, WallTime};

/// Maximum number of lines that one request to the leader returns.
pub const MAX_DECISIONS: u32 = 1_000;

/// Query of `GET /v1/decisions`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DecisionsQuery {
    /// Number of the last line that the client has read. 0, the default, starts
    /// at the oldest line kept.
    #[serde(default)]
    pub after: u64,
    /// Term of line `after`. With it, a client that resumes after a change of
    /// leader gets the new leader's lines from the first one. Absent if the
    /// client does not resume.
    pub term: Option<u64>,
    /// Whether the response continues with new lines as they are logged.
    /// Default `false`.
    #[serde(default)]
    pub follow: bool,
    /// Maximum number of lines in the response, or in one poll of a response
    /// that follows. From 1 to [`MAX_DECISIONS`], which is the default.
    pub limit: Option<u32>,
}

impl DecisionsQuery {
    /// Returns the limit, or the default if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the limit is 0 or above [`MAX_DECISIONS`].
    pub fn checked_limit(&self) -> Result<u32, BodyError> {
        let limit = self.limit.unwrap_or(MAX_DECISIONS);
        if limit == 0 || limit > MAX_DECISIONS {
            let message = format!("must lie between 1 and {MAX_DECISIONS}");
            return Err(BodyError::new("limit", message));
        }
        Ok(limit)
    }
}

/// One line of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionLine {
    /// Number of the line. Rises by one within the term of one leader.
    pub number: u64,
    /// Term of the leader that logged the line.
    pub term: u64,
    /// Wall time of the leader, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Key of the job. Absent if the leader does not know the job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<JobKeyBody>,
    /// Event, with its fields at the top level of the line.
    #[serde(flatten)]
    pub event: EventBody,
}

/// Event of the decision log. Tasks are written as `<job number>.<step>.<task>`,
/// runs as `<term>-<sequence>`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventBody {
    /// A task was placed on a runner.
    Placed {
        /// Queue of the task.
        queue: QueueName,
        /// Tenant of the task.
        tenant: TenantId,
        /// Task that was placed.
        task: String,
        /// Run that was reserved for the task.
        run: String,
        /// Runner that the task was placed on.
        runner: RunnerId,
        /// Number of tenants that were runnable when one was drawn.
        runnable_tenants: u32,
        /// Whether the queue is in mode `shadow`, so that nothing starts.
        shadow: bool,
    },
    /// The first task of a tenant was not placed. Logged when the reason changes,
    /// not for every attempt.
    NotPlaced {
        /// Queue of the task.
        queue: QueueName,
        /// Tenant of the task.
        tenant: TenantId,
        /// Task that was not placed.
        task: String,
        /// Reason, for programs.
        reason: Reason,
        /// Reason, as text for people.
        message: String,
    },
    /// A reservation was committed, and the order to start its run is sent.
    Ordered {
        /// Run that was reserved.
        run: String,
        /// Task of the run.
        task: String,
        /// Runner that the order is sent to.
        runner: RunnerId,
    },
    /// The close of a run was committed.
    Closed {
        /// Run that was closed.
        run: String,
        /// Task of the run.
        task: String,
        /// Runner that the run was bound to.
        runner: RunnerId,
        /// Outcome of the run.
        outcome: Close,
        /// Reason of a failure as reported by the runner. Absent unless
        /// `outcome` is `failed`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        message: Option<String>,
    },
    /// A job reached a final state.
    JobEnded {
        /// Final state of the job.
        state: JobState,
    },
}

/// Reason why a task was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The task would exceed the tenant's resource limit.
    #[serde(rename = "tenant_at_ceiling")]
    TenantAtLimit,
    /// The rest of the tenant's resource limit is reserved for its more urgent
    /// queues.
    #[serde(rename = "ceiling_kept_for_urgent")]
    LimitReservedForUrgent,
    /// No seat of the licence is free, or more urgent work waits for it.
    NoSeat,
    /// The tenant is above its share while one below its share waits.
    TenantAboveShare,
    /// The runners that could take the task are draining or unresponsive.
    RunnersAway,
    /// No runner of the pool has enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// No runner with enough free capacity has the labels of the step.
    NoRunnerWithLabels,
    /// Only a runner on probation has enough free capacity.
    RunnerOnProbation,
    /// The runner with enough free capacity is reserved for a larger task.
    #[serde(rename = "held_for_larger_task")]
    ReservedForLargerTask,
    /// The start time of the task, or the end of its backoff, is in the future.
    BeforeItsTime,
    /// A step that the task's step depends on is not done.
    WaitingForStep,
    /// The queue is paused.
    QueuePaused,
    /// The queue is in shadow mode: decisions are logged and nothing starts.
    QueueShadow,
    /// No runner of the pool has reported to this leader yet.
    NoRunnerKnown,
    /// The task has as many open runs as it may have.
    AlreadyRunning,
    /// What the runner has free is reserved for more urgent queues.
    ReservedForUrgent,
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
            NotPlacedReason::ReservedForUrgent { .. } => Self::ReservedForUrgent,
        }
    }
}

/// Outcome with which a run was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Close {
    /// The task succeeded.
    Done,
    /// The task failed.
    Failed,
    /// The run was stopped. Not a failure of the task.
    Stopped,
    /// The run never started and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// The run lease expired without a report. Not a failure of the task.
    Lost,
    /// The runner rejected the order to start. Not a failure of the task.
    #[serde(rename = "refused")]
    Rejected,
    /// The run exceeded its time limit. A failure of the task.
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
        let (WallTime(at_ms), event) = time_and_body(entry.event);
        Self {
            number: entry.number,
            term: entry.term.0,
            at_ms,
            job: entry.job.map(JobKeyBody::from),
            event,
        }
    }
}

/// Returns the time and the body of an event.
fn time_and_body(event: DecisionEvent) -> (WallTime, EventBody) {
    match event {
        DecisionEvent::Dispatch(decision) => (decision.at, decision_body(decision)),
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

fn decision_body(decision: Decision) -> EventBody {
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
