//! Delivery of orders to runners. Each order is sent at most once.

use api::runner::{OrderAnswerBody, OrderBody, OrdersUrl};
use reqwest::{Client, Response, StatusCode};
use std::time::Duration;
use types::{Milliseconds, Monotonic, OrderAnswer, RunnerOrder};

/// Maximum length of a runner's answer, in bytes. A longer one counts as no answer.
const MAX_ANSWER_BYTES: usize = 64 * 1024;
/// Connect timeout. Runners are on the same machine as the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends orders to runners over HTTP.
#[derive(Debug, Clone)]
pub struct HttpOrderSender {
    client: Client,
    freeze_after: Milliseconds,
}

impl HttpOrderSender {
    /// Creates a sender with a timeout for answers. It sends no order that the core issued
    /// `freeze_after` or longer ago.
    pub fn new(timeout: Milliseconds, freeze_after: Milliseconds) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(Duration::from_millis(timeout.0))
            .build()?;
        Ok(Self {
            client,
            freeze_after,
        })
    }

    async fn send(&self, url: &OrdersUrl, order: &RunnerOrder) -> Option<OrderAnswer> {
        let body = OrderBody::from(order);
        let request = self.client.post(url.to_string()).json(&body);
        let response = request.send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let bytes = read_bounded(response).await?;
        let body: OrderAnswerBody = api::runner::read(&bytes).ok()?;
        OrderAnswer::try_from(body).ok()
    }
}

/// Interface by which an agent sends orders to runners.
pub trait OrderSender: Clone + Send + Sync + 'static {
    /// Sends an order that the core issued at `issued_at`, and waits for the answer.
    ///
    /// `url` is the runner's URL for orders, or `None` if no heartbeat contained one.
    ///
    /// Returns [`OrderAnswer::Unknown`] without a valid answer. The runner may or may not
    /// have received the order then, and the order is never sent again.
    fn deliver(
        &self,
        url: Option<&OrdersUrl>,
        order: &RunnerOrder,
        issued_at: Monotonic,
    ) -> impl Future<Output = OrderAnswer> + Send;
}

impl OrderSender for HttpOrderSender {
    async fn deliver(
        &self,
        url: Option<&OrdersUrl>,
        order: &RunnerOrder,
        issued_at: Monotonic,
    ) -> OrderAnswer {
        // The process may have been suspended since the core issued the order.
        let age = transport::clock::now().monotonic.since(issued_at);
        let answer = match url {
            Some(url) if age < self.freeze_after => self.send(url, order).await,
            _ => None,
        };
        if answer.is_none() {
            tracing::warn!(runner = %order.runner, run = %order.kind.run(), "order unanswered, outcome unknown");
        }
        answer.unwrap_or(OrderAnswer::Unknown)
    }
}

/// Reads the body of a response. Returns `None` if it is longer than
/// [`MAX_ANSWER_BYTES`] or incomplete.
async fn read_bounded(mut response: Response) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if bytes.len() + chunk.len() > MAX_ANSWER_BYTES {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
}
