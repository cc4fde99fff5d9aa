//! Lines of output, in the formats of the HTTP interface.

use api::cancel::{CancelledBody, JobKeyBody};
use api::decision::DecisionLine;
use api::rejection::RejectionBody;
use api::runner::{HeartbeatAnswerBody, OrderAnswerBody, OrderBody, RunText};
use api::version::ConfiguredBody;
use api::view::SubmittedBody;
use serde::Serialize;
use transport::{OperationReply, Rejection, RunnerUpdate};

/// Line of output, written as one JSON object.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum OutputLine {
    /// Decision, in the format of `GET /v1/decisions`.
    Decision(Box<DecisionLine>),
    /// Any other event of the replay.
    Event(Box<EventLine>),
}

/// Line of output for an event other than a decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventLine {
    /// A line of input was accepted.
    Accepted {
        /// Number of the line of input, from 1.
        line: u64,
        /// Virtual wall time of the answer, in milliseconds.
        at_ms: u64,
        /// Body that the HTTP interface answers with. `None` if it answers without one.
        #[serde(skip_serializing_if = "Option::is_none")]
        answer: Option<AnswerBody>,
    },
    /// A line of input was rejected by the coordinator.
    #[serde(rename = "refused")]
    Rejected {
        /// Number of the line of input, from 1.
        line: u64,
        /// Virtual wall time of the answer, in milliseconds.
        at_ms: u64,
        /// Code and message of the rejection.
        #[serde(flatten)]
        rejection: RejectionBody,
    },
    /// An order was sent to a runner, which answered at once.
    Order {
        /// Virtual wall time of the order, in milliseconds.
        at_ms: u64,
        /// Order as its runner receives it.
        order: OrderBody,
        /// Answer of the runner. `None` if the runner is unknown or its answer has no
        /// body.
        #[serde(skip_serializing_if = "Option::is_none")]
        answer: Option<OrderAnswerBody>,
    },
    /// Counts over the whole input, as the last line.
    Summary(Summary),
}

/// Body of an answer of the HTTP interface.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(untagged)]
pub enum AnswerBody {
    /// Answer to a submit.
    Submitted(SubmittedBody),
    /// Answer to a cancel.
    Cancelled(CancelledBody),
    /// Answer to a configuration or a configuration update.
    Configured(ConfiguredBody),
    /// Answer to a heartbeat.
    Heartbeat(HeartbeatAnswerBody),
}

/// Counts over the whole input.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Summary {
    /// Lines of input that were processed.
    pub lines: u64,
    /// Jobs accepted. A job that is submitted again counts once.
    pub jobs: u64,
    /// Jobs that reached a final state.
    pub ended: u64,
    /// Tasks placed on a runner in order to start.
    pub placed: u64,
    /// Tasks placed in shadow queues.
    pub placed_in_shadow: u64,
    /// Orders sent to runners.
    pub orders: u64,
    /// Lines of input rejected by the coordinator.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests without an answer at the end of the input.
    pub unanswered: u64,
    /// Answers to orders in the input that were not used by any order.
    pub unused_answers: u64,
}

impl AnswerBody {
    /// Converts the reply to a request. Returns `None` for replies to operations that
    /// no line of input can hold.
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

    /// Converts the update that answers a heartbeat.
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
