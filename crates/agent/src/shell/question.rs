//! What HTTP handlers ask of the task that owns the core.

use crate::HeartbeatAnswer;
use api::runner::OrdersUrl;
use tokio::sync::{mpsc, oneshot};
use transport::{Rejection, RejectionCode};
use types::{Milliseconds, RunnerId, RunnerReport};

/// Questions that may wait for the core; more are rejected at once.
const MAX_WAITING: usize = 512;
/// When a rejected runner should come back.
const RETRY_AFTER: Milliseconds = Milliseconds(500);

/// A question with the way back for its answer.
#[derive(Debug)]
pub enum Question {
    /// May the bearer of this token send heartbeats?
    Authorize {
        /// The token, if there was one.
        token: Option<String>,
        /// Where the answer goes.
        answer: oneshot::Sender<Result<(), Rejection>>,
    },
    /// A heartbeat of an authorized runner.
    Heartbeat {
        /// The heartbeat.
        report: RunnerReport,
        /// Where the runner takes orders; none where the carrier knows.
        orders_url: Option<OrdersUrl>,
        /// Where the answer goes.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
    /// What the leader has answered since the last heartbeat of a runner.
    Updates {
        /// The runner.
        runner: RunnerId,
        /// Where the answer goes.
        answer: oneshot::Sender<HeartbeatAnswer>,
    },
}

/// The handlers' end.
#[derive(Debug, Clone)]
pub struct Questions {
    sender: mpsc::Sender<Question>,
}

/// Both ends of the way to the core.
pub fn channel() -> (Questions, mpsc::Receiver<Question>) {
    let (sender, receiver) = mpsc::channel(MAX_WAITING);
    (Questions { sender }, receiver)
}

impl Questions {
    /// Asks whether the bearer of a token may send heartbeats.
    pub async fn authorize(&self, token: Option<String>) -> Result<(), Rejection> {
        let (answer, answered) = oneshot::channel();
        self.ask(Question::Authorize { token, answer })?;
        answered.await.unwrap_or_else(|_| Err(stopping()))
    }

    /// Hands in a heartbeat.
    pub async fn heartbeat(
        &self,
        report: RunnerReport,
        orders_url: Option<OrdersUrl>,
    ) -> Result<HeartbeatAnswer, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.ask(Question::Heartbeat {
            report,
            orders_url,
            answer,
        })?;
        answered.await.map_err(|_| stopping())
    }

    /// Asks what the leader has answered meanwhile, without a heartbeat.
    pub async fn updates(&self, runner: RunnerId) -> Result<HeartbeatAnswer, Rejection> {
        let (answer, answered) = oneshot::channel();
        self.ask(Question::Updates { runner, answer })?;
        answered.await.map_err(|_| stopping())
    }

    fn ask(&self, question: Question) -> Result<(), Rejection> {
        self.sender.try_send(question).map_err(|error| match error {
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

/// A rejection without problems of a configuration.
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
