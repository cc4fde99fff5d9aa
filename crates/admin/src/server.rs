//! HTTP server: routes, and a listener with graceful shutdown.

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

/// Path that returns 200 as long as the process runs.
pub const LIVEZ: &str = "/livez";
/// Path that returns 200 while the daemon is ready, and 503 with the reason
/// while it is not.
pub const READYZ: &str = "/readyz";
/// Path that returns the metrics as Prometheus text.
pub const METRICS: &str = "/metrics";

/// Content type of the Prometheus text format.
const PROMETHEUS_TEXT: &str = "text/plain; version=0.0.4; charset=utf-8";
/// Time for which open connections may continue after the stop.
const CONNECTION_GRACE: Duration = Duration::from_secs(2);

/// Error of a listener.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The socket cannot be bound.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// Socket address of the listener.
        listen: SocketAddr,
        /// Error of the bind.
        source: std::io::Error,
    },
    /// The listener failed while it was serving.
    #[error("the listener on {listen} failed: {source}")]
    Serve {
        /// Socket address of the listener.
        listen: SocketAddr,
        /// Error of the server.
        source: std::io::Error,
    },
}

/// Returns the routes of the admin listener, which are merged into a daemon's own
/// router or served on a socket of their own.
pub fn routes(readiness: Readiness) -> Router {
    Router::new()
        .route(LIVEZ, get(live))
        .route(READYZ, get(ready))
        .route(METRICS, get(metrics))
        .with_state(readiness)
}

/// Binds the socket and serves `router` until `stop` becomes true or its sender
/// is dropped. Open connections are closed two seconds later.
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

/// Binds the socket.
///
/// # Errors
///
/// Fails if the socket cannot be bound. The error names the socket.
pub async fn bind(listen: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(listen)
        .await
        .map_err(|source| ServeError::Listen { listen, source })
}

/// Serves like [`serve`], on a socket that is already bound.
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
    let server = axum::serve(listener, router)
        .with_graceful_shutdown(wait_for_stop(stop.clone()))
        .into_future();
    tokio::select! {
        result = server => result.map_err(|source| ServeError::Serve { listen, source }),
        () = wait_for_grace_period(stop) => {
            tracing::info!(%listen, "closed connections that outlived the grace period");
            Ok(())
        }
    }
}

async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also stops the listener.
    let _ = stop.wait_for(|stopping| *stopping).await;
}

/// Waits for the stop, and then until open connections must be closed.
async fn wait_for_grace_period(stop: watch::Receiver<bool>) {
    wait_for_stop(stop).await;
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
