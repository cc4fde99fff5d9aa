//! The agent's tokio shell: peer socket, the runner's HTTP, clock.

mod delivery;
mod driver;
mod http;
mod key;
mod question;

use crate::{Agent, AgentOptions};
use admin::Readiness;
use axum::Router;
use delivery::HttpOrderSender;
pub use delivery::OrderSender;
use driver::Driver;
pub use question::Questions;
use std::future::IntoFuture;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Part of the grace time kept for closing HTTP connections.
const CLOSING_PART: u32 = 4;
/// Time for the last messages to leave before the transport closes.
const FAREWELL: Duration = Duration::from_millis(50);

/// What the shell needs beyond the core's settings.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: AgentOptions,
    /// Peer listener.
    pub transport: transport::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: transport::ClusterKey,
    /// HTTP listener for runners; also livez, readyz and metrics.
    pub http_listen: SocketAddr,
    /// Longest time to end after a polite stop.
    pub grace: types::Milliseconds,
}

/// Why an agent ended.
#[derive(Debug, Error)]
pub enum AgentError {
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
    /// The HTTP client for orders cannot be made.
    #[error("cannot make the client for orders: {0}")]
    Client(#[from] reqwest::Error),
}

/// Runs an agent until `stop` turns true.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| AgentError::Http { listen, source })?;
    run_on(listener, options, stop).await
}

/// As [`run`], on an HTTP socket that is bound already.
///
/// After the stop no new order is taken; answers to delivered ones are awaited
/// and passed on, within the grace time. Runners are served until then.
pub async fn run_on(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
) -> Result<(), AgentError> {
    let order_sender = HttpOrderSender::new(options.core.order_timeout, options.core.freeze_after)?;
    serve(listener, options, stop, order_sender, http::router).await
}

/// Runs an agent until `stop` turns true, whose runners speak another
/// interface than that of the `api` crate: `order_sender` brings them orders, and
/// `routes` takes what they send.
pub async fn run_with_order_sender<C: OrderSender>(
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    order_sender: C,
    routes: impl FnOnce(Questions, Readiness) -> Router,
) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let listener = TcpListener::bind(listen)
        .await
        .map_err(|source| AgentError::Http { listen, source })?;
    serve(listener, options, stop, order_sender, routes).await
}

async fn serve<C: OrderSender>(
    listener: TcpListener,
    options: ShellOptions,
    stop: watch::Receiver<bool>,
    order_sender: C,
    routes: impl FnOnce(Questions, Readiness) -> Router,
) -> Result<(), AgentError> {
    let listen = options.http_listen;
    let mut core = options.core;
    let own = core.address.clone();
    let started = transport::Transport::start(options.transport, options.cluster_key, own);
    let (transport, arriving) = started.await?;
    // A port of 0 in the settings stands for the one that was found.
    core.address = transport.own().clone();
    let readiness = Readiness::starting();
    let (questions, inbox) = question::channel();
    let agent = Agent::new(core, transport::clock::now());
    let driver = Driver::new(agent, transport.clone(), order_sender, readiness.clone());
    let (finished, mut finished_seen) = watch::channel(false);
    let grace = Duration::from_millis(options.grace.0);
    let closing = grace / CLOSING_PART;

    let service = routes(questions, readiness).into_make_service_with_connect_info::<SocketAddr>();
    let serving = axum::serve(listener, service)
        .with_graceful_shutdown(async move { transport::stopped(&mut finished_seen).await })
        .into_future();
    let driving = async {
        driver.run(inbox, arriving, stop, grace - closing).await;
        tokio::time::sleep(FAREWELL.min(closing)).await;
        finished.send_replace(true);
        tokio::time::sleep(closing).await;
    };
    let ended = tokio::select! {
        ended = serving => ended.map_err(|source| AgentError::Http { listen, source }),
        () = driving => Ok(()),
    };
    transport.shutdown().await;
    ended
}
