//! The agent's tokio shell: peer socket, the runner's HTTP, clock.

use crate::AgentOptions;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::watch;

/// What the shell needs beyond the core's settings.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: AgentOptions,
    /// Peer listener.
    pub transport: peer::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: peer::ClusterKey,
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
    Transport(#[from] peer::TransportError),
    /// The HTTP listener cannot be used.
    #[error("cannot listen on {listen}: {source}")]
    Http {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Runs an agent until `stop` turns true.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), AgentError> {
    let _ = (options, stop);
    todo!()
}
