//! Orders to runners and their answers.

use super::{RunText, RunnerBodyError, in_field};
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
    /// Term of the leader that gave it.
    pub term: u64,
    /// Place among that term's orders.
    pub sequence: u64,
    /// The runner it is for.
    pub runner: String,
    /// The incarnation of the runner it is for.
    pub incarnation: u64,
    /// What to do.
    pub order: OrderName,
    /// The run it is about.
    pub run: RunText,
    /// What to start; there for a start alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<StartBody>,
}

/// What an order asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderName {
    /// Start the run, unless it is known, revoked, or the basis is too old.
    Start,
    /// Stop the run if it is held.
    Stop,
    /// Never start the run from now on; answer with its state.
    #[serde(rename = "void")]
    Revoke,
}

/// What to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartBody {
    /// Tenant of the job.
    pub tenant: String,
    /// The caller's identifier of the job.
    pub job: String,
    /// The step.
    pub step: String,
    /// Position in the step, from 0.
    pub task: u32,
    /// Number of the run among those of its task, from 1.
    #[serde(default = "first_attempt")]
    pub attempt: u32,
    /// What an earlier run of the task saved, to go on from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
    /// What it may use.
    pub resources: Resources,
    /// The runner stops it after this time, in milliseconds.
    pub time_limit_ms: u64,
    /// The step's text.
    pub payload: String,
    /// The heartbeat whose free resources led to this order.
    #[serde(rename = "basis")]
    pub based_on: u64,
    /// Refuse the start this long after heartbeat `based_on` was sent, in
    /// milliseconds.
    pub lease_ms: u64,
}

/// A runner's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderAnswerBody {
    /// What became of it.
    pub answer: AnswerName,
    /// Why it was rejected; there for a rejection alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<ReasonName>,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerName {
    /// The run is going.
    Started,
    /// The run is stopping; its end will be in a heartbeat.
    Stopping,
    /// The run never started here and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// The run is held and goes on.
    #[serde(rename = "held")]
    Active,
    /// The run has ended; heartbeats list it.
    Ended,
    /// Nothing was done.
    #[serde(rename = "refused")]
    Rejected,
}

/// Why an order was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonName {
    /// A higher term has been seen.
    StaleTerm,
    /// The order is for another incarnation of the runner.
    OtherIncarnation,
    /// The basis heartbeat is too old or unknown.
    #[serde(rename = "stale_basis")]
    StaleHeartbeat,
    /// The run was revoked, started or ended before.
    KnownRun,
    /// There is not enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The runner is draining.
    Draining,
    /// The runner is not well.
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
            (OrderName::Start, None) => return Err(start_must("be there for a start")),
            (_, Some(_)) => return Err(start_must("be left out unless the order is a start")),
            (OrderName::Stop, None) => OrderKind::Stop { run },
            (OrderName::Revoke, None) => OrderKind::Revoke { run },
        };
        Ok(Self {
            term: Term(body.term),
            sequence: OrderSequence(body.sequence),
            runner: in_field("runner", RunnerId::new(body.runner))?,
            incarnation: RunnerIncarnation(body.incarnation),
            name: None,
            kind,
        })
    }
}

fn first_attempt() -> u32 {
    1
}

fn start_must(must: &'static str) -> RunnerBodyError {
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
            tenant: in_field("start.tenant", TenantId::new(self.tenant))?,
            job: in_field("start.job", JobId::new(self.job))?,
        };
        let run = RunSpec {
            attempt: self.attempt,
            checkpoint: self.checkpoint,
            run,
            job,
            step: in_field("start.step", StepName::new(self.step))?,
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
    /// The body of a runner's answer; none for [`OrderAnswer::Unknown`], which
    /// no runner gives.
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
            (AnswerName::Rejected, None) => Err(reason_must("be there for a refusal")),
            (_, Some(_)) => Err(reason_must("be left out unless the answer is a refusal")),
            (AnswerName::Started, None) => Ok(Self::Started),
            (AnswerName::Stopping, None) => Ok(Self::Stopping),
            (AnswerName::Revoked, None) => Ok(Self::Revoked),
            (AnswerName::Active, None) => Ok(Self::Active),
            (AnswerName::Ended, None) => Ok(Self::Ended),
        }
    }
}

fn reason_must(must: &'static str) -> RunnerBodyError {
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
