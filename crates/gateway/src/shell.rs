//! The gateway's tokio shell: peer socket, HTTP, clock.

mod connection;
mod driver;
mod http;
mod requests;

use crate::{Gateway, GatewayOptions};
use admin::Readiness;
use axum::Router;
use connection::LimitedListener;
use driver::Driver;
pub use driver::{Replica, ShownReplica};
use http::Server;
pub use requests::{Answer, Requests};
use std::future::IntoFuture;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use types::NodeId;

/// Part of the grace time kept for closing HTTP connections.
const CLOSING_PART: u32 = 4;

/// What the shell needs beyond the core's settings.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: GatewayOptions,
    /// Peer listener.
    pub transport: transport::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: transport::ClusterKey,
    /// HTTP listener for callers and operators; also livez, readyz, metrics.
    pub http_listen: SocketAddr,
    /// Longest time to end after a polite stop.
    pub grace: types::Milliseconds,
}

/// Why a gateway ended.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// The peer listener cannot be used.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The HTTP listener cannot be used.
    #[error("cannot listen on {listen}: {source}")]
    Http {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a gateway until `stop` turns true.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), GatewayError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| GatewayError::Http { listen, source })?;
    run_on(listener, options, stop).await
}

/// What the routes of a gateway are made from.
#[derive(Debug, Clone)]
pub struct RouteContext {
    /// Where to ask.
    pub requests: Requests,
    /// The configuration replica.
    pub replica: watch::Receiver<ShownReplica>,
    /// Whether the gateway should get traffic.
    pub readiness: Readiness,
    /// Turns true when the gateway is to stop.
    pub stop: watch::Receiver<bool>,
    /// The gateway's identity.
    pub node: NodeId,
}

/// Runs a gateway until `stop` turns true, behind routes of the caller's own in
/// place of the interface of the `api` crate.
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

/// As [`run`], on an HTTP socket that is bound already.
///
/// After the stop, waiting requests are finished and new ones rejected; when
/// the grace time is nearly over, what still waits is rejected as well, and
/// connections that do not end are cut off.
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
    let (shown, replica) = watch::channel(None);
    let driver = Driver::new(gateway, transport.clone(), readiness.clone(), shown);
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
