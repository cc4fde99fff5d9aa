//! The coordinator's tokio shell: sockets, disk thread, clock.

use crate::CoordinatorOptions;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::sync::watch;

/// What the shell needs beyond the core's settings.
#[derive(Debug, Clone)]
pub struct ShellOptions {
    /// Settings of the core.
    pub core: CoordinatorOptions,
    /// Peer listener.
    pub transport: peer::TransportOptions,
    /// Shared key of the cluster.
    pub cluster_key: peer::ClusterKey,
    /// Admin listener.
    pub admin_listen: SocketAddr,
    /// Data folder.
    pub data: PathBuf,
    /// Longest time to hand over after a polite stop.
    pub grace: types::Milliseconds,
}

/// Why a coordinator ended.
#[derive(Debug, Error)]
pub enum CoordinatorError {
    /// The data folder cannot be used.
    #[error(transparent)]
    Storage(#[from] storage::StorageError),
    /// The peer listener cannot be used.
    #[error(transparent)]
    Transport(#[from] peer::TransportError),
    /// The admin listener cannot be used.
    #[error("cannot listen on {listen}: {source}")]
    Admin {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Runs a coordinator until `stop` turns true and all is handed over.
pub async fn run(
    options: ShellOptions,
    stop: watch::Receiver<bool>,
) -> Result<(), CoordinatorError> {
    let _ = (options, stop);
    todo!()
}
