//! The channel by which HTTP handlers send requests to the core and receive answers.

use crate::{Caller, TicketId};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{mpsc, oneshot};
use transport::{Operation, OperationReply, Rejection, RejectionCode};
use types::{Milliseconds, Monotonic};

/// Maximum number of requests that the core has not received yet.
const QUEUE_LENGTH: usize = 1_024;
/// Retry time of a request that the core did not answer.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// Final answer to a request: the reply to the operation, or a rejection.
pub type Answer = Result<OperationReply, Rejection>;

/// Request that a handler sends to the core.
#[derive(Debug)]
pub struct CoreRequest {
    /// Number of the request.
    pub ticket: TicketId,
    /// Sender of the request.
    pub caller: Caller,
    /// Time on the monotonic clock at which an unanswered request is rejected.
    pub deadline: Monotonic,
    /// Requested operation.
    pub operation: Operation,
    /// Channel for the answer. Closed if the caller has closed its connection.
    pub answer: oneshot::Sender<Answer>,
}

/// Receiving end of the channel, which the task of the core owns.
#[derive(Debug)]
pub struct Inbox {
    /// Requests that the core has not received yet.
    pub requests: mpsc::Receiver<CoreRequest>,
    /// Requests whose callers closed their connections. Bounded by the number of
    /// requests.
    pub abandoned: mpsc::UnboundedReceiver<TicketId>,
}

/// Sending end of the channel, which all handlers share.
#[derive(Debug, Clone)]
pub struct Requests {
    sender: mpsc::Sender<CoreRequest>,
    abandoned: mpsc::UnboundedSender<TicketId>,
    next_ticket: Arc<AtomicU64>,
}

/// Creates a channel between the handlers and the core, and returns both of its ends.
pub fn channel() -> (Requests, Inbox) {
    let (sender, received_requests) = mpsc::channel(QUEUE_LENGTH);
    let (abandoned, received_abandoned) = mpsc::unbounded_channel();
    let requests = Requests {
        sender,
        abandoned,
        next_ticket: Arc::default(),
    };
    let inbox = Inbox {
        requests: received_requests,
        abandoned: received_abandoned,
    };
    (requests, inbox)
}

impl Requests {
    /// Sends a request to the core, and waits for its final answer. If the future is
    /// dropped, the core abandons the request.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the operation was not carried out, or if its outcome
    /// is unknown.
    pub async fn execute(
        &self,
        caller: Caller,
        time_left: Milliseconds,
        operation: Operation,
    ) -> Answer {
        let ticket = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        let request = CoreRequest {
            ticket,
            caller,
            deadline: transport::clock::now().monotonic + time_left,
            operation,
            answer,
        };
        match self.sender.try_send(request) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => {
                return Err(reject(
                    RejectionCode::Overloaded,
                    "this gateway is overloaded",
                ));
            }
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(stopped()),
        }
        let mut unanswered = UnansweredRequest {
            ticket,
            receiver: Some(receiver),
            abandoned: &self.abandoned,
        };
        unanswered.answer().await
    }
}

/// Request without an answer. If it is dropped, the core abandons the request.
struct UnansweredRequest<'a> {
    ticket: TicketId,
    receiver: Option<oneshot::Receiver<Answer>>,
    abandoned: &'a mpsc::UnboundedSender<TicketId>,
}

impl UnansweredRequest<'_> {
    async fn answer(&mut self) -> Answer {
        let Some(receiver) = &mut self.receiver else {
            return Err(stopped());
        };
        let answer = receiver
            .await
            .unwrap_or_else(|_| Err(stopped_before_answer()));
        self.receiver = None;
        answer
    }
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        // The receiver is dropped first, so that a core which has not received the
        // request yet finds its channel closed and ignores it.
        if self.receiver.take().is_some() {
            // An error means that the core has stopped.
            let _ = self.abandoned.send(self.ticket);
        }
    }
}

/// Rejects a request that the core received but did not answer before it stopped. The
/// request may have been sent to the leader, so its outcome is unknown.
fn stopped_before_answer() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "this gateway stopped before the answer: it may or may not be taken",
    )
}

/// Rejects a request that the core did not receive because it had stopped.
fn stopped() -> Rejection {
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
