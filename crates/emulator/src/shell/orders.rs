//! The runner's HTTP listener for orders.

use api::runner::{OrderAnswerBody, OrderBody, RunnerBodyError};
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use types::{OrderAnswer, RunnerOrder};

/// Where orders are posted.
pub const PATH: &str = "/orders";
/// Longest order, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Orders that may wait for the runner.
const MAX_WAITING: usize = 256;

/// An order that arrived, and where its answer goes.
#[derive(Debug)]
pub struct ReceivedOrder {
    /// The order.
    pub order: RunnerOrder,
    /// Takes the answer.
    pub answer: oneshot::Sender<OrderAnswer>,
}

/// Both ends of the way from the listener to the runner.
pub fn channel() -> (mpsc::Sender<ReceivedOrder>, mpsc::Receiver<ReceivedOrder>) {
    mpsc::channel(MAX_WAITING)
}

/// Serves until it is dropped.
pub async fn serve(listener: TcpListener, orders: mpsc::Sender<ReceivedOrder>) {
    let router = Router::new()
        .route(PATH, post(take_order))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(orders);
    // Accept errors are retried inside; nothing else ends it.
    let _ = axum::serve(listener, router).await;
}

async fn take_order(
    State(orders): State<mpsc::Sender<ReceivedOrder>>,
    body: Bytes,
) -> Result<Json<OrderAnswerBody>, (StatusCode, String)> {
    let rejected = |error: RunnerBodyError| (StatusCode::BAD_REQUEST, error.to_string());
    let order = read_order(&body).map_err(rejected)?;
    let (answer, answered) = oneshot::channel();
    let stopped = || (StatusCode::SERVICE_UNAVAILABLE, "stopped".to_owned());
    let received = ReceivedOrder { order, answer };
    orders.send(received).await.map_err(|_| stopped())?;
    let answer = answered.await.map_err(|_| stopped())?;
    let body = OrderAnswerBody::from_answer(&answer).ok_or_else(stopped)?;
    Ok(Json(body))
}

fn read_order(body: &[u8]) -> Result<RunnerOrder, RunnerBodyError> {
    let body: OrderBody = api::runner::read(body)?;
    RunnerOrder::try_from(body)
}
