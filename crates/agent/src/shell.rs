//! The tokio shell of an agent: transport, HTTP listener for runners and clock.

mod delivery;
mod driver;
mod handle;
mod http;
mod key;

use crate::{Agent, AgentOptions};
use admin::Readiness;
use axum::Router;
use delivery::HttpOrderSender;
pub use delivery::OrderSender;
use driver::Driver;
pub use handle::CoreHandle;
use std::future::IntoFuture;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Divisor of the grace time that gives the part for closing HTTP connections.
const CLOSING_DIVISOR: u32 = 4;
/// Time for sending the last messages before the transport is shut down.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// Listeners, cluster key and grace time of the agent, and the options of its core.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Identity, timeouts and seeds of the core.
    pub core: AgentOptions,
    /// Listener and limits of the connections to other daemons.
    pub transport: transport::TransportOptions,
    /// Key that all daemons of the cluster share.
    pub cluster_key: transport::ClusterKey,
    /// Socket of the HTTP listener for runners, and for `/livez`, `/readyz` and `/metrics`.
    pub http_listen: SocketAddr,
    /// Maximum duration of a graceful shutdown, in milliseconds.
    pub grace: types::Milliseconds,
}

/// An error that ends the agent.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The transport to other daemons cannot be started.
    #[error(transparent)]
    Transport(#[from] transport::TransportError),
    /// The HTTP listener cannot be bound or failed.
    #[error("cannot listen on {listen}: {source}")]
    Http {
        /// Socket of the listener.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client for orders cannot be created.
    #[error("cannot create the HTTP client for orders: {0}")]
    Client(#[from] reqwest::Error),
}

/// Runs an agent until `stop` becomes true.
///
/// # Errors
///
/// Returns an [`AgentError`] if a listener cannot be bound or fails.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| AgentError::Http { listen, source })?;
    run_with_listener(listener, options, stop).await
}

/// Runs an agent as [`run`] does, on an HTTP socket that is already bound.
///
/// After `stop` becomes true, the agent accepts no new orders and waits for the answers to
/// delivered ones, at most for the grace time. It accepts heartbeats until then.
///
/// # Errors
///
/// Returns an [`AgentError`] if a listener cannot be bound or fails.
pub async fn run_with_listener(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
) -> Result<(), AgentError> {
    let order_sender = HttpOrderSender::new(options.core.order_timeout, options.core.freeze_after)?;
    serve(listener, options, stop, order_sender, http::router).await
}

/// Runs an agent until `stop` becomes true, for runners with another interface than that of
/// the `api` crate: `order_sender` sends them orders, and `routes` creates the routes for
/// their requests.
///
/// # Errors
///
/// Returns an [`AgentError`] if a listener cannot be bound or fails.
pub async fn run_with_order_sender<S: OrderSender>(
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    order_sender: S,
    routes: impl FnOnce(CoreHandle, Readiness) -> Router,
) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| AgentError::Http { listen, source })?;
    serve(listener, options, stop, order_sender, routes).await
}

async fn serve<S: OrderSender>(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    order_sender: S,
    routes: impl FnOnce(CoreHandle, Readiness) -> Router,
) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let mut core = options.core;
    let own = core.address.clone();
    let started = transport::Transport::start(options.transport, options.cluster_key, own);
    let (transport, inbox) = started.await?;
    // Replaces port 0 by the port that the operating system assigned.
    core.address = transport.own().clone();
    let readiness = Readiness::starting();
    let (handle, requests) = handle::channel();
    let agent = Agent::new(core, transport::clock::now());
    let driver = Driver::new(agent, transport.clone(), order_sender, readiness.clone());
    let (finished, mut finished_receiver) = watch::channel(false);
    let grace = Duration::from_millis(options.grace.0);
    let closing_grace = grace / CLOSING_DIVISOR;

    let service = routes(handle, readiness).into_make_service_with_connect_info::<SocketAddr>();
    let serving = axum::serve(listener, service)
        .with_graceful_shutdown(async move { transport::stopped(&mut finished_receiver).await })
        .into_future();
    let driving = async {
        driver
            .run(requests, inbox, stop, grace - closing_grace)
            .await;
        tokio::time::sleep(FLUSH_TIME.min(closing_grace)).await;
        finished.send_replace(true);
        tokio::time::sleep(closing_grace).await;
    };
    let result = tokio::select! {
        served = serving => served.map_err(|source| AgentError::Http { listen, source }),
        () = driving => Ok(()),
    };
    transport.shutdown().await;
    result
}
