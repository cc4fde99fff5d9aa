//! The HTTP side: routes and a listener that stops politely.

use crate::readiness::Readiness;
use crate::recorder::render;
use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::IntoResponse;
use axum::routing::get;
use std::future::IntoFuture;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Path that answers as long as the process runs.
pub const LIVEZ: &str = "/livez";
/// Path that answers whether the process should get traffic.
pub const READYZ: &str = "/readyz";
/// Path of the metrics.
pub const METRICS: &str = "/metrics";

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Open connections get this long to end after the stop.
const CONNECTION_GRACE: Duration = Duration::from_secs(2);

/// Why a listener ended.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The socket cannot be listened on.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The listener failed later.
    #[error("the listener on {listen} failed: {source}")]
    Serve {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Routes of the admin listener, to be merged into a daemon's own router or
/// served alone.
pub fn routes(readiness: Readiness) -> Router {
    Router::new()
        .route(LIVEZ, get(live))
        .route(READYZ, get(ready))
        .route(METRICS, get(metrics))
        .with_state(readiness)
}

/// Listens and serves until `stop` turns true or its sender is gone; open
/// connections then get two seconds to end.
///
/// # Errors
///
/// Fails if the socket cannot be bound or the listener fails.
pub async fn serve(
    listen: SocketAddr,
    router: Router,
    stop: watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let listener = bind(listen).await?;
    serve_on(listener, router, stop).await
}

/// Binds the socket, with an error that names it.
///
/// # Errors
///
/// Fails if the socket cannot be bound.
pub async fn bind(listen: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(listen)
        .await
        .map_err(|source| ServeError::Listen { listen, source })
}

/// As [`serve`], on a socket that is bound already.
///
/// # Errors
///
/// Fails if the listener fails.
pub async fn serve_on(
    listener: TcpListener,
    router: Router,
    stop: watch::Receiver<bool>,
) -> Result<(), ServeError> {
    let listen = listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    let serving = axum::serve(listener, router)
        .with_graceful_shutdown(stopped(stop.clone()))
        .into_future();
    tokio::select! {
        ended = serving => ended.map_err(|source| ServeError::Serve { listen, source }),
        () = stopped_and_grace_over(stop) => {
            tracing::info!(%listen, "closed connections that outlived the grace period");
            Ok(())
        }
    }
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    // An error means that the sender is gone, which is a stop as well.
    let _ = stop.wait_for(|stopping| *stopping).await;
}

async fn stopped_and_grace_over(stop: watch::Receiver<bool>) {
    stopped(stop).await;
    tokio::time::sleep(CONNECTION_GRACE).await;
}

async fn live() -> &'static str {
    "ok\n"
}

async fn ready(State(readiness): State<Readiness>) -> (StatusCode, String) {
    match readiness.reason_not_ready() {
        None => (StatusCode::OK, "ok\n".to_owned()),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
    }
}

async fn metrics() -> impl IntoResponse {
    ([(header::CONTENT_TYPE, PROMETHEUS_TEXT)], render())
}
