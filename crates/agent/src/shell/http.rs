//! The HTTP interface for runners.

use super::question::{Questions, rejection};
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

/// Longest heartbeat, in bytes; a longer one gets 413.
const MAX_BODY_BYTES: usize = 1024 * 1024;
const BEARER: &str = "Bearer ";

/// Routes for runners, the admin ones among them.
pub fn router(questions: Questions, readiness: Readiness) -> Router {
    Router::new()
        .route(HEARTBEAT_ROUTE, post(heartbeat))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(questions)
        .merge(admin::routes(readiness))
}

async fn heartbeat(
    State(questions): State<Questions>,
    ConnectInfo(sender): ConnectInfo<SocketAddr>,
    Path(runner): Path<String>,
    headers: HeaderMap,
    body: Bytes,
) -> Result<Json<HeartbeatAnswerBody>, Failure> {
    let answer = take_heartbeat(&questions, sender, runner, &headers, &body).await;
    let outcome = if answer.is_ok() { "taken" } else { "refused" };
    metrics::counter!("cypressdrum_agent_heartbeats_total", "outcome" => outcome).increment(1);
    Ok(Json(body_of(answer?)))
}

async fn take_heartbeat(
    questions: &Questions,
    sender: SocketAddr,
    runner: String,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<HeartbeatAnswer, Failure> {
    questions.authorize(token(headers)).await?;
    let runner = RunnerId::new(runner).map_err(invalid)?;
    let body: HeartbeatBody = api::runner::read(body).map_err(invalid)?;
    let (report, orders_url) = body.into_report(runner).map_err(invalid)?;
    check_orders_host(&orders_url, sender)?;
    Ok(questions.heartbeat(report, Some(orders_url)).await?)
}

/// An agent sends orders to its runner's own machine alone, so that no
/// heartbeat can make it talk to another.
fn check_orders_host(orders_url: &OrdersUrl, sender: SocketAddr) -> Result<(), Failure> {
    let host = orders_url.socket().ip();
    if host.is_loopback() || host == sender.ip() {
        return Ok(());
    }
    Err(invalid(format!(
        "orders_url: must be on the runner's own machine, {} or a loopback address",
        sender.ip()
    )))
}

fn token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix(BEARER).map(str::to_owned)
}

fn body_of(answer: HeartbeatAnswer) -> HeartbeatAnswerBody {
    let texts = |runs: Vec<RunId>| runs.into_iter().map(RunText).collect();
    HeartbeatAnswerBody {
        term: answer.term.0,
        confirmed: answer.confirmed.map(|sequence| sequence.0),
        incarnation: answer.incarnation.0,
        lease_ms: answer.lease.0,
        recorded: texts(answer.recorded),
        stop: texts(answer.stop),
    }
}

fn invalid(problem: impl ToString) -> Failure {
    Failure(rejection(RejectionCode::Invalid, problem.to_string(), None))
}

/// A rejection as an HTTP answer.
#[derive(Debug)]
struct Failure(Rejection);

impl From<Rejection> for Failure {
    fn from(rejection: Rejection) -> Self {
        Self(rejection)
    }
}

impl IntoResponse for Failure {
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
