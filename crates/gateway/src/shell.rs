//! The tokio shell of a gateway: transport, HTTP listener and clock.

mod connection;
mod driver;
mod http;
mod requests;

use crate::{Gateway, GatewayOptions};
use admin::Readiness;
use axum::Router;
use connection::LimitedListener;
use driver::Driver;
pub use driver::{Replica, ValidReplica};
use http::Server;
pub use requests::{Answer, Requests};
use std::future::IntoFuture;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use types::NodeId;

/// Divisor of the grace time that gives the part reserved for closing HTTP connections.
const CLOSING_DIVISOR: u32 = 4;

/// Options of a gateway process.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Options of the core.
    pub core: GatewayOptions,
    /// Options of the connections to other daemons.
    pub transport: transport::TransportOptions,
    /// Key by which the daemons of a cluster authenticate each other.
    pub cluster_key: transport::ClusterKey,
    /// Socket of the HTTP interface for callers and operators, which also serves
    /// `/livez`, `/readyz` and `/metrics`.
    pub http_listen: SocketAddr,
    /// Maximum time from the stop signal to the end of the process, in milliseconds.
    pub grace: types::Milliseconds,
}

/// Error that ends a gateway process.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The transport cannot be started.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The HTTP listener could not be bound or failed.
    #[error("cannot listen on {listen}: {source}")]
    Http {
        /// Socket of the listener.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Runs a gateway until `stop` becomes true.
///
/// # Errors
///
/// Returns a [`GatewayError`] if a listener cannot be bound or fails.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), GatewayError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| GatewayError::Http { listen, source })?;
    run_with_listener(listener, options, stop).await
}

/// Resources that custom routes of a gateway share.
#[derive(Debug, Clone)]
pub struct RouteContext {
    /// Channel to the core.
    pub requests: Requests,
    /// Configuration replica, updated when its version changes.
    pub replica: watch::Receiver<ValidReplica>,
    /// Whether the gateway should receive traffic.
    pub readiness: Readiness,
    /// Stop signal: becomes true when the shutdown begins.
    pub stop: watch::Receiver<bool>,
    /// Identity of the gateway.
    pub node: NodeId,
}

/// Runs a gateway until `stop` becomes true, with `routes` instead of the HTTP
/// interface of the `api` crate.
///
/// # Errors
///
/// Returns a [`GatewayError`] if a listener cannot be bound or fails.
pub async fn run_with_routes(
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    routes: impl FnOnce(RouteContext) -> Router,
) -> Result<(), GatewayError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| GatewayError::Http { listen, source })?;
    serve(listener, options, stop, routes).await
}

/// Runs a gateway as [`run`] does, on an HTTP socket that is already bound.
///
/// After the stop signal, the gateway rejects new requests and waits for the answers to
/// the pending ones. Shortly before the end of the grace time, it rejects the requests
/// that are still pending and closes the remaining connections.
///
/// # Errors
///
/// Returns a [`GatewayError`] if a listener cannot be bound or fails.
pub async fn run_with_listener(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
) -> Result<(), GatewayError> {
    serve(listener, options, stop, |context| {
        let server = Server::new(context.requests, context.node, context.stop);
        http::router(server, context.readiness)
    })
    .await
}

async fn serve(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    routes: impl FnOnce(RouteContext) -> Router,
) -> Result<(), GatewayError> {
    let listen = options.http_listen;
    let address = options.core.address.clone();
    let started =
        transport::Transport::start(options.transport, options.cluster_key, address.clone());
    let (transport, incoming) = started.await?;
    let readiness = Readiness::starting();
    let (requests, inbox) = requests::channel();
    let gateway = Gateway::new(options.core, transport::clock::now());
    let (replica_sender, replica) = watch::channel(None);
    let driver = Driver::new(
        gateway,
        transport.clone(),
        readiness.clone(),
        replica_sender,
    );
    let context = RouteContext {
        requests,
        replica,
        readiness,
        stop: stop.clone(),
        node: address.node,
    };
    let (driver_stopped, mut driver_stop) = watch::channel(false);
    let grace = Duration::from_millis(options.grace.0);
    let closing = grace / CLOSING_DIVISOR;

    let serving = axum::serve(LimitedListener::new(listener), routes(context))
        .with_graceful_shutdown(async move { transport::stopped(&mut driver_stop).await })
        .into_future();
    let driving = async {
        driver.run(inbox, incoming, stop, grace - closing).await;
        driver_stopped.send_replace(true);
        tokio::time::sleep(closing).await;
    };
    let result = tokio::select! {
        result = serving => result.map_err(|source| GatewayError::Http { listen, source }),
        () = driving => Ok(()),
    };
    transport.shutdown().await;
    result
}
