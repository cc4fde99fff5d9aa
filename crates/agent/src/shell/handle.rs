//! The handle by which HTTP handlers send requests to the task that owns the core.

use crate::HeartbeatAnswer;
use api::runner::OrdersUrl;
use tokio::sync::{mpsc, oneshot};
use transport::{Rejection, RejectionCode};
use types::{Milliseconds, RunnerId, RunnerReport};

/// Maximum number of requests that the core has not received yet.
const QUEUE_LENGTH: usize = 512;
/// Retry time of a rejected request.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// A request for the core, with the channel for its answer.
#[derive(Debug)]
pub enum CoreRequest {
    /// Checks whether a token allows sending heartbeats.
    Authorize {
        /// Token of the HTTP request, if it has one.
        token: Option<String>,
        /// Channel for the answer.
        answer: oneshot::Sender<Result<(), Rejection>>,
    },
    /// Processes a heartbeat of an authorized runner.
    Heartbeat {
        /// The heartbeat.
        report: RunnerReport,
        /// URL at which the runner takes orders. `None` if the order sender knows it.
        orders_url: Option<OrdersUrl>,
        /// Channel for the answer.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// Reads the leader's answers since the last heartbeat of a runner.
    Updates {
        /// Name of the runner.
        runner: RunnerId,
        /// Channel for the answer.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
}

/// The handlers' end of the channel to the core.
#[derive(Debug, Clone)]
pub struct CoreHandle {
    sender: mpsc::Sender<CoreRequest>,
}

/// Creates a channel, and returns both of its ends.
pub fn channel() -> (CoreHandle, mpsc::Receiver<CoreRequest>) {
    let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
    (CoreHandle { sender }, receiver)
}

impl CoreHandle {
    /// Checks whether a token allows sending heartbeats.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if it does not, or if the core cannot answer.
    pub async fn authorize(&self, token: Option<String>) -> Result<(), Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.send(CoreRequest::Authorize { token, answer })?;
        receiver.await.unwrap_or_else(|_| Err(stopping()))
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
        receiver.await.map_err(|_| stopping())
    }

    /// Returns the leader's answers since the last heartbeat of a runner.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] if the core is overloaded or stopping.
    pub async fn updates(&self, runner: RunnerId) -> Result<HeartbeatAnswer, Rejection> {
        let (answer, receiver) = oneshot::channel();
        self.send(CoreRequest::Updates { runner, answer })?;
        receiver.await.map_err(|_| stopping())
    }

    fn send(&self, request: CoreRequest) -> Result<(), Rejection> {
        self.sender.try_send(request).map_err(|error| match error {
            mpsc::error::TrySendError::Full(_) => rejection(
                RejectionCode::Overloaded,
                "too many heartbeats wait for this agent",
                Some(RETRY_AFTER),
            ),
            mpsc::error::TrySendError::Closed(_) => stopping(),
        })
    }
}

fn stopping() -> Rejection {
    rejection(
        RejectionCode::Unavailable,
        "the agent is stopping",
        Some(RETRY_AFTER),
    )
}

/// Creates a rejection without problems of a configuration.
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
