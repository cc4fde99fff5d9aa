//! The runner's HTTP listener for orders.

use api::runner::{OrderAnswerBody, OrderBody};
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

/// An order with the way back for its answer.
pub type Ordered = (RunnerOrder, oneshot::Sender<OrderAnswer>);

/// Both ends of the way from the listener to the runner.
pub fn channel() -> (mpsc::Sender<Ordered>, mpsc::Receiver<Ordered>) {
    mpsc::channel(MAX_WAITING)
}

/// Serves until it is dropped.
pub async fn serve(listener: TcpListener, orders: mpsc::Sender<Ordered>) {
    let router = Router::new()
        .route(PATH, post(take_order))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(orders);
    // Accept errors are retried inside; nothing else ends it.
    let _ = axum::serve(listener, router).await;
}

async fn take_order(
    State(orders): State<mpsc::Sender<Ordered>>,
    body: Bytes,
) -> Result<Json<OrderAnswerBody>, (StatusCode, String)> {
    let order = read_order(&body).map_err(|problem| (StatusCode::BAD_REQUEST, problem))?;
    let (answer, answered) = oneshot::channel();
    let stopped = || (StatusCode::SERVICE_UNAVAILABLE, "stopped".to_owned());
    orders.send((order, answer)).await.map_err(|_| stopped())?;
    let answer = answered.await.map_err(|_| stopped())?;
    let body = OrderAnswerBody::from_answer(&answer).ok_or_else(stopped)?;
    Ok(Json(body))
}

fn read_order(body: &[u8]) -> Result<RunnerOrder, String> {
    let body: OrderBody = api::runner::read(body).map_err(|problem| problem.to_string())?;
    RunnerOrder::try_from(body).map_err(|problem| problem.to_string())
}
