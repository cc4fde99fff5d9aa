//! The way of a request from an HTTP handler to the core and back.

use crate::{Caller, TicketId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::{Milliseconds, Monotonic};

/// Requests handed over and not yet seen by the core.
const QUEUE_LENGTH: usize = 1_024;
/// When to come back if that queue is full or this process ends.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// The final answer to a request.
pub type Answer = Result<OperationReply, Rejection>;

/// A request on its way to the core.
#[derive(Debug)]
pub struct Question {
    /// Its number.
    pub ticket: TicketId,
    /// Who asks.
    pub caller: Caller,
    /// When the caller stops waiting.
    pub deadline: Monotonic,
    /// What is asked.
    pub operation: Operation,
    /// Where the answer goes; closed when the caller went away.
    pub answer: oneshot::Sender<Answer>,
}

/// The core's end.
#[derive(Debug)]
pub struct Inbox {
    /// Requests.
    pub questions: mpsc::Receiver<Question>,
    /// Requests whose callers went away. No more than there are requests.
    pub abandoned: mpsc::UnboundedReceiver<TicketId>,
}

/// The handlers' end.
#[derive(Debug, Clone)]
pub struct Requests {
    questions: mpsc::Sender<Question>,
    abandoned: mpsc::UnboundedSender<TicketId>,
    next_ticket: Arc<AtomicU64>,
}

/// Both ends.
pub fn channel() -> (Requests, Inbox) {
    let (questions, questions_seen) = mpsc::channel(QUEUE_LENGTH);
    let (abandoned, abandoned_seen) = mpsc::unbounded_channel();
    let requests = Requests {
        questions,
        abandoned,
        next_ticket: Arc::default(),
    };
    let inbox = Inbox {
        questions: questions_seen,
        abandoned: abandoned_seen,
    };
    (requests, inbox)
}

impl Requests {
    /// Asks, and waits for the one final answer. Dropping the future tells the
    /// core that the caller went away.
    pub async fn ask(
        &self,
        caller: Caller,
        time_left: Milliseconds,
        operation: Operation,
    ) -> Answer {
        let ticket = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (answer, answered) = oneshot::channel();
        let question = Question {
            ticket,
            caller,
            deadline: transport::clock::now().monotonic + time_left,
            operation,
            answer,
        };
        match self.questions.try_send(question) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                return Err(reject(
                    RejectionCode::Overloaded,
                    "this gateway is overloaded",
                ));
            }
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(ending()),
        }
        let mut pending = Pending {
            ticket,
            answered: Some(answered),
            abandoned: &self.abandoned,
        };
        pending.answer().await
    }
}

/// A question without its answer; it is abandoned when dropped.
struct Pending<'a> {
    ticket: TicketId,
    answered: Option<oneshot::Receiver<Answer>>,
    abandoned: &'a mpsc::UnboundedSender<TicketId>,
}

impl Pending<'_> {
    async fn answer(&mut self) -> Answer {
        let Some(answered) = &mut self.answered else {
            return Err(ending());
        };
        let answer = answered.await.unwrap_or_else(|_| Err(ended_unanswered()));
        self.answered = None;
        answer
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        // The receiver goes first: a core that has not seen the question yet
        // finds its answer closed and drops it.
        if self.answered.take().is_some() {
            // An error means that the core has ended.
            let _ = self.abandoned.send(self.ticket);
        }
    }
}

/// The core ended with the request: whether it was sent is not known here.
fn ended_unanswered() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "this gateway stopped before the answer: it may or may not be taken",
    )
}

fn ending() -> Rejection {
    reject(RejectionCode::Unavailable, "this gateway has stopped")
}

fn reject(code: RejectionCode, message: &str) -> Rejection {
    Rejection {
        code,
        message: message.to_owned(),
        retry_after: Some(RETRY_AFTER),
        problems: Vec::new(),
    }
}
