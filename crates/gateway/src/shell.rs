//! The gateway's tokio shell: peer socket, HTTP, clock.

use crate::GatewayOptions;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::watch;

/// What the shell needs beyond the core's settings.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: GatewayOptions,
    /// Peer listener.
    pub transport: peer::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: peer::ClusterKey,
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

/// Runs a gateway until `stop` turns true.
pub async fn run(options: ShellOptions, stop: watch::Receiver<bool>) -> Result<(), GatewayError> {
    let _ = (options, stop);
    todo!()
}
