//! Lines of output, in the forms of the outer interface.

use api::cancel::{CancelledBody, JobKeyBody};
use api::decision::DecisionLine;
use api::rejection::RejectionBody;
use api::runner::{HeartbeatAnswerBody, OrderAnswerBody, OrderBody, RunText};
use api::version::ConfiguredBody;
use api::view::SubmittedBody;
use serde::Serialize;
use transport::{OperationReply, Rejection, RunnerUpdate};

/// A line of output.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OutputLine {
    /// A decision, as `GET /v1/decisions` gives it.
    Decision(Box<DecisionLine>),
    /// Anything else.
    Event(Box<EventLine>),
}

/// A line that is no decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventLine {
    /// A line of input was taken.
    Accepted {
        /// Its number, from 1.
        line: u64,
        /// Virtual time of the answer.
        at_ms: u64,
        /// What the interface answers with; none where it answers nothing.
        #[serde(skip_serializing_if = "Option::is_none")]
        answer: Option<AnswerBody>,
    },
    /// A line of input was rejected by the coordinator.
    #[serde(rename = "refused")]
    Rejected {
        /// Its number, from 1.
        line: u64,
        /// Virtual time of the answer.
        at_ms: u64,
        /// Code and message.
        #[serde(flatten)]
        rejection: RejectionBody,
    },
    /// An order went to a runner, which answered at once.
    Order {
        /// Virtual time of the order.
        at_ms: u64,
        /// The order.
        order: OrderBody,
        /// What the runner said.
        #[serde(skip_serializing_if = "Option::is_none")]
        answer: Option<OrderAnswerBody>,
    },
    /// The last line.
    Summary(Summary),
}

/// What the interface answers with.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum AnswerBody {
    /// To a submit.
    Submitted(SubmittedBody),
    /// To a cancel.
    Cancelled(CancelledBody),
    /// To a configuration.
    Configured(ConfiguredBody),
    /// To a heartbeat.
    Heartbeat(HeartbeatAnswerBody),
}

/// Counts over the whole input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Summary {
    /// Lines of input.
    pub lines: u64,
    /// Jobs taken; one sent again counts once.
    pub jobs: u64,
    /// Jobs that reached a final state.
    pub ended: u64,
    /// Tasks placed to be started.
    pub placed: u64,
    /// Tasks placed in shadow queues.
    pub placed_in_shadow: u64,
    /// Orders to runners.
    pub orders: u64,
    /// Lines rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests without an answer at the end of the input.
    pub unanswered: u64,
    /// Answers to orders given in the input that no order came for.
    pub unused_answers: u64,
}

impl AnswerBody {
    /// The answer to a request; none for replies no line asks for.
    pub(crate) fn from_reply(reply: OperationReply) -> Option<Self> {
        match reply {
            OperationReply::Submitted { number, known } => Some(Self::Submitted(SubmittedBody {
                number: number.0,
                known,
            })),
            OperationReply::Cancelled {
                cancelled,
                finished,
                unknown,
            } => Some(Self::Cancelled(CancelledBody {
                cancelled,
                finished,
                unknown: unknown.into_iter().map(JobKeyBody::from).collect(),
            })),
            OperationReply::Configured { version, known } => {
                Some(Self::Configured(ConfiguredBody {
                    version: version.0,
                    known,
                }))
            }
            _ => None,
        }
    }

    /// The answer to a heartbeat.
    pub(crate) fn from_update(update: RunnerUpdate) -> Self {
        Self::Heartbeat(HeartbeatAnswerBody {
            term: update.term.0,
            confirmed: Some(update.confirmed.0),
            incarnation: update.incarnation.0,
            lease_ms: update.lease.0,
            recorded: update.recorded.into_iter().map(RunText).collect(),
            stop: update.stop.into_iter().map(RunText).collect(),
        })
    }
}

impl EventLine {
    pub(crate) fn rejected(line: u64, at_ms: u64, rejection: Rejection) -> Self {
        let rejection = rejection.into();
        Self::Rejected {
            line,
            at_ms,
            rejection,
        }
    }
}

impl From<EventLine> for OutputLine {
    fn from(line: EventLine) -> Self {
        Self::Event(Box::new(line))
    }
}
