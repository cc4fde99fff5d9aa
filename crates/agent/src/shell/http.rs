//! The HTTP interface for runners.

use super::handle::{CoreHandle, rejection};
use crate::HeartbeatAnswer;
use admin::Readiness;
use api::rejection::RejectionBody;
use api::runner::{HEARTBEAT_ROUTE, HeartbeatAnswerBody, HeartbeatBody, OrdersUrl, RunText};
use axum::body::Bytes;
use axum::extract::{ConnectInfo, DefaultBodyLimit, Path, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use std::net::SocketAddr;
use transport::{Rejection, RejectionCode};
use types::{RunId, RunnerId};

/// Maximum length of a heartbeat, in bytes. A longer one is answered with 413.
const MAX_BODY_BYTES: usize = 1024 * 1024;
const BEARER_PREFIX: &str = "Bearer ";

/// Returns the routes for runners and those of the admin interface.
pub fn router(core: CoreHandle, readiness: Readiness) -> Router {
    Router::new()
        .route(HEARTBEAT_ROUTE, post(heartbeat))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(core)
        .merge(admin::routes(readiness))
}

async fn heartbeat(
    State(core): State<CoreHandle>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    Path(runner): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<HeartbeatAnswerBody>, RejectedHeartbeat> {
    let answer = receive_heartbeat(&core, sender, runner, &headers, &body).await;
    let outcome = if answer.is_ok() { "taken" } else { "refused" };
    metrics::counter!("cypressdrum_agent_heartbeats_total", "outcome" => outcome).increment(1);
    Ok(Json(answer_body(answer?)))
}

async fn receive_heartbeat(
    core: &CoreHandle,
    sender: SocketAddr,
    runner: String,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<HeartbeatAnswer, RejectedHeartbeat> {
    core.authorize(bearer_token(headers)).await?;
    let runner = RunnerId::new(runner).map_err(|error| invalid(&error))?;
    let body: HeartbeatBody = api::runner::read(body).map_err(|error| invalid(&error))?;
    let (report, orders_url) = body.into_report(runner).map_err(|error| invalid(&error))?;
    check_orders_host(&orders_url, sender)?;
    Ok(core.heartbeat(report, Some(orders_url)).await?)
}

/// Checks that the URL for orders is on the runner's own machine, so that no heartbeat can
/// redirect the agent's orders to another machine.
fn check_orders_host(orders_url: &OrdersUrl, sender: SocketAddr) -> Result<(), RejectedHeartbeat> {
    let host = orders_url.socket().ip();
    if host.is_loopback() || host == sender.ip() {
        return Ok(());
    }
    Err(invalid(&format!(
        "orders_url: must be on the runner's own machine, {} or a loopback address",
        sender.ip()
    )))
}

/// Returns the bearer token of a request. `None` if the request has none.
fn bearer_token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(BEARER_PREFIX).map(str::to_owned)
}

fn answer_body(answer: HeartbeatAnswer) -> HeartbeatAnswerBody {
    let run_texts = |runs: Vec<RunId>| runs.into_iter().map(RunText).collect();
    HeartbeatAnswerBody {
        term: answer.term.0,
        confirmed: answer.confirmed.map(|sequence| sequence.0),
        incarnation: answer.incarnation.0,
        lease_ms: answer.lease.0,
        recorded: run_texts(answer.recorded),
        stop: run_texts(answer.stop),
    }
}

fn invalid(error: &impl ToString) -> RejectedHeartbeat {
    RejectedHeartbeat(rejection(RejectionCode::Invalid, error.to_string(), None))
}

/// Rejection of a heartbeat, as an HTTP response.
#[derive(Debug)]
struct RejectedHeartbeat(Rejection);

impl From<Rejection> for RejectedHeartbeat {
    fn from(rejection: Rejection) -> Self {
        Self(rejection)
    }
}

impl IntoResponse for RejectedHeartbeat {
    fn into_response(self) -> Response {
        let body = RejectionBody::from(self.0);
        let status = StatusCode::from_u16(body.code.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let retry_after = body.retry_after_seconds().map(HeaderValue::from);
        let mut response = (status, Json(body)).into_response();
        if let Some(seconds) = retry_after {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}
