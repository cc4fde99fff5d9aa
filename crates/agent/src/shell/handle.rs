//! The handle by which HTTP handlers send requests to the task that owns the core.

use crate::HeartbeatAnswer;
use api::runner::OrdersUrl;
use tokio::sync::{mpsc, oneshot};
use transport::{Rejection, RejectionCode};
use types::{Milliseconds, RunnerId, RunnerReport};

/// Maximum number of requests queued for the core. Further requests are rejected.
const QUEUE_LENGTH: usize = 512;
/// Time after which a client should retry a rejected request.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// A request of an HTTP handler to the core, with the channel for the answer.
#[derive(Debug)]
pub enum CoreRequest {
    /// Checks whether a token allows sending heartbeats.
    Authorize {
        /// Bearer token of the HTTP request. `None` if the request has none.
        token: Option<String>,
        /// Channel for the result: `Ok` if the token is valid.
        answer: oneshot::Sender<Result<(), Rejection>>,
    },
    /// Processes a heartbeat of an authorized runner.
    Heartbeat {
        /// Heartbeat that the runner sent.
        report: RunnerReport,
        /// URL to which orders for the runner are sent. `None` if the order sender needs no
        /// URL.
        orders_url: Option<OrdersUrl>,
        /// Channel for the answer to the runner.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// Returns what the leader answered since the last heartbeat of a runner.
    Updates {
        /// Runner whose answers are requested.
        runner: RunnerId,
        /// Channel for the answers of the leader.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
}

/// Sending end of the channel from the HTTP handlers to the core.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    sender: mpsc::Sender<CoreRequest>,
}

/// Creates the channel from the HTTP handlers to the core, and returns both ends.
pub fn channel() -> (CoreHandle, mpsc::Receiver<CoreRequest>) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (CoreHandle { sender }, receiver)
}

impl CoreHandle {
    /// Checks whether a token allows sending heartbeats.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the token does not, or if the core is overloaded or
    /// stopping.
    pub async fn authorize(&self, token: Option<String>) -> Result<(), Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.send(CoreRequest::Authorize { token, answer })?;
        receiver.await.unwrap_or_else(|_| Err(stopping_rejection()))
    }

    /// Sends a heartbeat to the core, and returns the answer for the runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the core is overloaded or stopping.
    pub async fn heartbeat(
        &self,
        report: RunnerReport,
        orders_url: Option<OrdersUrl>,
    ) -> Result<HeartbeatAnswer, Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.send(CoreRequest::Heartbeat {
            report,
            orders_url,
            answer,
        })?;
        receiver.await.map_err(|_| stopping_rejection())
    }

    /// Returns what the leader answered since the last heartbeat of a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the core is overloaded or stopping.
    pub async fn updates(&self, runner: RunnerId) -> Result<HeartbeatAnswer, Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.send(CoreRequest::Updates { runner, answer })?;
        receiver.await.map_err(|_| stopping_rejection())
    }

    fn send(&self, request: CoreRequest) -> Result<(), Rejection> {
        self.sender.try_send(request).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => rejection(
                RejectionCode::Overloaded,
                "too many heartbeats wait for this agent",
                Some(RETRY_AFTER),
            ),
            mpsc::error::TrySendError::Closed(_) => stopping_rejection(),
        })
    }
}

fn stopping_rejection() -> Rejection {
    rejection(
        RejectionCode::Unavailable,
        "the agent is stopping",
        Some(RETRY_AFTER),
    )
}

/// Creates a rejection with an empty list of configuration problems.
pub fn rejection(
    code: RejectionCode,
    message: impl Into<String>,
    retry_after: Option<Milliseconds>,
) -> Rejection {
    Rejection {
        code,
        message: message.into(),
        retry_after,
        problems: Vec::new(),
    }
}
