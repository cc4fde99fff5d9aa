//! HTTP server that accepts orders.

use api::runner::{OrderAnswerBody, OrderBody, RunnerBodyError};
use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, State};
use axum::http::StatusCode;
use axum::routing::post;
use axum::{Json, Router};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use types::{OrderAnswer, RunnerOrder};

/// Path that orders are posted to.
pub const PATH: &str = "/orders";
/// Maximum length of the body of an order, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Capacity of the order channel.
const MAX_WAITING: usize = 256;

/// Order that was received, with the channel for its answer.
#[derive(Debug)]
pub struct ReceivedOrder {
    /// Order as read from the request.
    pub order: RunnerOrder,
    /// Sender for the runner's answer.
    pub answer: oneshot::Sender<OrderAnswer>,
}

/// Creates the channel from the server to the runner.
pub fn channel() -> (mpsc::Sender<ReceivedOrder>, mpsc::Receiver<ReceivedOrder>) {
    mpsc::channel(MAX_WAITING)
}

/// Serves orders until the future is dropped.
pub async fn serve(listener: TcpListener, orders: mpsc::Sender<ReceivedOrder>) {
    let router = Router::new()
        .route(PATH, post(take_order))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(orders);
    // `axum::serve` retries accept errors and ends for no other reason.
    let _ = axum::serve(listener, router).await;
}

async fn take_order(
    State(orders): State<mpsc::Sender<ReceivedOrder>>,
    body: Bytes,
) -> Result<Json<OrderAnswerBody>, (StatusCode, String)> {
    let rejected = |error: RunnerBodyError| (StatusCode::BAD_REQUEST, error.to_string());
    let order = read_order(&body).map_err(rejected)?;
    let (answer, answer_receiver) = oneshot::channel();
    let stopped = || (StatusCode::SERVICE_UNAVAILABLE, "stopped".to_owned());
    let received = ReceivedOrder { order, answer };
    orders.send(received).await.map_err(|_| stopped())?;
    let answer = answer_receiver.await.map_err(|_| stopped())?;
    let body = OrderAnswerBody::from_answer(&answer).ok_or_else(stopped)?;
    Ok(Json(body))
}

fn read_order(body: &[u8]) -> Result<RunnerOrder, RunnerBodyError> {
    let body: OrderBody = api::runner::read(body)?;
    RunnerOrder::try_from(body)
}
