//! JSON bodies of orders to runners and of the runners' answers.

use super::{RunText, RunnerBodyError, with_field};
use serde::{Deserialize, Serialize};
use types::{
    HeartbeatSequence, JobId, JobKey, Milliseconds, OrderAnswer, OrderKind, OrderSequence,
    RejectionReason, Resources, RunId, RunSpec, RunnerId, RunnerIncarnation, RunnerOrder, StepName,
    TenantId, Term,
};

/// An order to a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderBody {
    /// Term of the leader that gave the order.
    pub term: u64,
    /// Sequence number of the order within its term.
    pub sequence: u64,
    /// Name of the runner that the order is for.
    pub runner: String,
    /// Incarnation of the runner that the order is for.
    pub incarnation: u64,
    /// Action that the runner is to take.
    pub order: OrderName,
    /// Run that the order concerns.
    pub run: RunText,
    /// Description of the run to start. Absent unless `order` is `start`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<StartBody>,
}

/// Action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderName {
    /// Start the run, unless it is already known or revoked, or the heartbeat in
    /// `basis` is too old.
    Start,
    /// Stop the run if it is active.
    Stop,
    /// Never start the run from now on, and answer with its state.
    #[serde(rename = "void")]
    Revoke,
}

/// Description of a run to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// Tenant that submitted the job.
    pub tenant: String,
    /// Identifier of the job, given by the caller.
    pub job: String,
    /// Name of the step within the job.
    pub step: String,
    /// Index of the task in the step, from 0.
    pub task: u32,
    /// Number of the run among the runs of its task, from 1. Default 1.
    #[serde(default = "first_attempt")]
    pub attempt: u32,
    /// Checkpoint of an earlier run of the task, from which to continue. Absent
    /// if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// Resources that the run may use.
    pub resources: Resources,
    /// Time after which the runner stops the run, in milliseconds.
    pub time_limit_ms: u64,
    /// Payload of the step, or of the job if the step has none.
    pub payload: String,
    /// Sequence number of the heartbeat on whose free resources the order is
    /// based.
    #[serde(rename = "basis")]
    pub based_on: u64,
    /// Run lease, in milliseconds. The runner rejects the start if it sent
    /// heartbeat `basis` longer ago than this.
    pub lease_ms: u64,
}

/// Answer of a runner to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderAnswerBody {
    /// Result of the order.
    pub answer: AnswerName,
    /// Reason of a rejection. Absent unless `answer` is `refused`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ReasonName>,
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerName {
    /// The run has started.
    Started,
    /// The run is stopping. A later heartbeat reports its end.
    Stopping,
    /// The run never started on this runner and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// The run is active and continues.
    #[serde(rename = "held")]
    Active,
    /// The run has ended. Heartbeats list it in `ended`.
    Ended,
    /// The order was rejected and nothing was done.
    #[serde(rename = "refused")]
    Rejected,
}

/// Reason why a runner rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonName {
    /// The runner has seen a higher term.
    StaleTerm,
    /// The order is for another incarnation of the runner.
    OtherIncarnation,
    /// The heartbeat in `basis` is too old or unknown.
    #[serde(rename = "stale_basis")]
    StaleHeartbeat,
    /// The run has already been started, ended or revoked.
    KnownRun,
    /// The runner does not have enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The runner is draining.
    Draining,
    /// The runner reports itself unhealthy and has done nothing.
    Unhealthy,
}

impl From<&RunnerOrder> for OrderBody {
    fn from(order: &RunnerOrder) -> Self {
        let (name, start) = match &order.kind {
            OrderKind::Start {
                run,
                based_on,
                lease,
            } => {
                let start = StartBody::new(run, *based_on, *lease);
                (OrderName::Start, Some(start))
            }
            OrderKind::Stop { .. } => (OrderName::Stop, None),
            OrderKind::Revoke { .. } => (OrderName::Revoke, None),
        };
        Self {
            term: order.term.0,
            sequence: order.sequence.0,
            runner: order.runner.to_string(),
            incarnation: order.incarnation.0,
            order: name,
            run: RunText(order.kind.run()),
            start,
        }
    }
}

impl TryFrom<OrderBody> for RunnerOrder {
    type Error = RunnerBodyError;

    fn try_from(body: OrderBody) -> Result<Self, RunnerBodyError> {
        let run = body.run.0;
        let kind = match (body.order, body.start) {
            (OrderName::Start, Some(start)) => start.into_kind(run)?,
            (OrderName::Start, None) => return Err(start_error("be there for a start")),
            (_, Some(_)) => return Err(start_error("be left out unless the order is a start")),
            (OrderName::Stop, None) => OrderKind::Stop { run },
            (OrderName::Revoke, None) => OrderKind::Revoke { run },
        };
        Ok(Self {
            term: Term(body.term),
            sequence: OrderSequence(body.sequence),
            runner: with_field("runner", RunnerId::new(body.runner))?,
            incarnation: RunnerIncarnation(body.incarnation),
            name: None,
            kind,
        })
    }
}

fn first_attempt() -> u32 {
    1
}

fn start_error(must: &'static str) -> RunnerBodyError {
    RunnerBodyError::Contradiction {
        field: "start",
        must,
    }
}

impl StartBody {
    fn new(run: &RunSpec, based_on: HeartbeatSequence, lease: Milliseconds) -> Self {
        Self {
            tenant: run.job.tenant.to_string(),
            job: run.job.job.to_string(),
            step: run.step.to_string(),
            task: run.task,
            attempt: run.attempt,
            checkpoint: run.checkpoint.clone(),
            resources: run.resources,
            time_limit_ms: run.time_limit.0,
            payload: run.payload.clone(),
            based_on: based_on.0,
            lease_ms: lease.0,
        }
    }

    fn into_kind(self, run: RunId) -> Result<OrderKind, RunnerBodyError> {
        let job = JobKey {
            tenant: with_field("start.tenant", TenantId::new(self.tenant))?,
            job: with_field("start.job", JobId::new(self.job))?,
        };
        let run = RunSpec {
            attempt: self.attempt,
            checkpoint: self.checkpoint,
            run,
            job,
            step: with_field("start.step", StepName::new(self.step))?,
            task: self.task,
            resources: self.resources,
            time_limit: Milliseconds(self.time_limit_ms),
            payload: self.payload,
        };
        Ok(OrderKind::Start {
            run,
            based_on: HeartbeatSequence(self.based_on),
            lease: Milliseconds(self.lease_ms),
        })
    }
}

impl OrderAnswerBody {
    /// Creates the body of a runner's answer. Returns `None` for
    /// [`OrderAnswer::Unknown`], which runners do not send.
    pub fn from_answer(answer: &OrderAnswer) -> Option<Self> {
        let (answer, reason) = match answer {
            OrderAnswer::Started => (AnswerName::Started, None),
            OrderAnswer::Stopping => (AnswerName::Stopping, None),
            OrderAnswer::Revoked => (AnswerName::Revoked, None),
            OrderAnswer::Active => (AnswerName::Active, None),
            OrderAnswer::Ended => (AnswerName::Ended, None),
            OrderAnswer::Rejected(reason) => (AnswerName::Rejected, Some((*reason).into())),
            OrderAnswer::Unknown => return None,
        };
        Some(Self { answer, reason })
    }
}

impl TryFrom<OrderAnswerBody> for OrderAnswer {
    type Error = RunnerBodyError;

    fn try_from(body: OrderAnswerBody) -> Result<Self, RunnerBodyError> {
        match (body.answer, body.reason) {
            (AnswerName::Rejected, Some(reason)) => Ok(Self::Rejected(reason.into())),
            (AnswerName::Rejected, None) => Err(reason_error("be there for a refusal")),
            (_, Some(_)) => Err(reason_error("be left out unless the answer is a refusal")),
            (AnswerName::Started, None) => Ok(Self::Started),
            (AnswerName::Stopping, None) => Ok(Self::Stopping),
            (AnswerName::Revoked, None) => Ok(Self::Revoked),
            (AnswerName::Active, None) => Ok(Self::Active),
            (AnswerName::Ended, None) => Ok(Self::Ended),
        }
    }
}

fn reason_error(must: &'static str) -> RunnerBodyError {
    RunnerBodyError::Contradiction {
        field: "reason",
        must,
    }
}

impl From<RejectionReason> for ReasonName {
    fn from(reason: RejectionReason) -> Self {
        match reason {
            RejectionReason::StaleTerm => Self::StaleTerm,
            RejectionReason::OtherIncarnation => Self::OtherIncarnation,
            RejectionReason::StaleHeartbeat => Self::StaleHeartbeat,
            RejectionReason::KnownRun => Self::KnownRun,
            RejectionReason::NoCapacity => Self::NoCapacity,
            RejectionReason::Draining => Self::Draining,
            RejectionReason::Unhealthy => Self::Unhealthy,
        }
    }
}

impl From<ReasonName> for RejectionReason {
    fn from(name: ReasonName) -> Self {
        match name {
            ReasonName::StaleTerm => Self::StaleTerm,
            ReasonName::OtherIncarnation => Self::OtherIncarnation,
            ReasonName::StaleHeartbeat => Self::StaleHeartbeat,
            ReasonName::KnownRun => Self::KnownRun,
            ReasonName::NoCapacity => Self::NoCapacity,
            ReasonName::Draining => Self::Draining,
            ReasonName::Unhealthy => Self::Unhealthy,
        }
    }
}
