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

/// One in this many parts of the grace time is reserved for closing HTTP connections.
const CLOSING_PART: u32 = 4;

/// Options of the shell.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Options of the core.
    pub core: GatewayOptions,
    /// Options of the transport.
    pub transport: transport::TransportOptions,
    /// Key that all daemons of the cluster share.
    pub cluster_key: transport::ClusterKey,
    /// HTTP listener for callers and operators, and for livez, readyz and metrics.
    pub http_listen: SocketAddr,
    /// Maximum time from the stop signal to the end, in milliseconds.
    pub grace: types::Milliseconds,
}

/// A failure of a gateway.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The transport cannot be started.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The HTTP listener failed.
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
    run_on(listener, options, stop).await
}

/// What custom routes of a gateway need.
#[derive(Debug, Clone)]
pub struct RouteContext {
    /// Channel to the core.
    pub requests: Requests,
    /// The configuration replica.
    pub replica: watch::Receiver<ValidReplica>,
    /// Whether the gateway should get traffic.
    pub readiness: Readiness,
    /// Becomes true when the gateway is to stop.
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
/// After the stop, the gateway rejects new requests and waits for pending ones. When
/// the grace time is nearly over, it rejects those as well and closes the remaining
/// connections.
///
/// # Errors
///
/// Returns a [`GatewayError`] if a listener cannot be bound or fails.
pub async fn run_on(
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
    let own = options.core.address.clone();
    let started = transport::Transport::start(options.transport, options.cluster_key, own.clone());
    let (transport, arriving) = started.await?;
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
        node: own.node,
    };
    let (finished, mut finished_seen) = watch::channel(false);
    let grace = Duration::from_millis(options.grace.0);
    let closing = grace / CLOSING_PART;

    let serving = axum::serve(LimitedListener::new(listener), routes(context))
        .with_graceful_shutdown(async move { transport::stopped(&mut finished_seen).await })
        .into_future();
    let driving = async {
        driver.run(inbox, arriving, stop, grace - closing).await;
        finished.send_replace(true);
        tokio::time::sleep(closing).await;
    };
    let ended = tokio::select! {
        ended = serving => ended.map_err(|source| GatewayError::Http { listen, source }),
        () = driving => Ok(()),
    };
    transport.shutdown().await;
    ended
}
