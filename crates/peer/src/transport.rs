//! Framed, authenticated TCP between daemons.

use crate::{Envelope, PeerMessage};
use std::net::SocketAddr;
use thiserror::Error;
use tokio::sync::mpsc;
use types::Address;

/// The key shared by all daemons of a cluster. Both ends of a connection
/// prove that they hold it, with fresh nonces; it is never sent or logged.
#[derive(Clone)]
pub struct ClusterKey {
    _secret: Vec<u8>,
}

impl ClusterKey {
    /// A key from the bytes of the operator's secret.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            _secret: secret.into(),
        }
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// Where to listen and how much to hold.
#[derive(Debug, Clone)]
pub struct TransportOptions {
    /// Socket to listen on; outgoing connections leave from its IP.
    pub listen: SocketAddr,
    /// Messages held for one destination; the oldest go first when it is full.
    pub queue_length: usize,
    /// Longest frame in bytes; a longer one ends the connection.
    pub max_frame_bytes: usize,
}

/// What can go wrong when the transport starts.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The socket cannot be listened on.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// The socket.
        listen: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Sends messages to sockets, over one connection each, dialled when needed.
#[derive(Debug, Clone)]
pub struct Transport {}

impl Transport {
    /// Listens, and gives the stream of what arrives.
    pub async fn start(
        options: TransportOptions,
        key: ClusterKey,
        own: Address,
    ) -> Result<(Self, mpsc::Receiver<Envelope>), TransportError> {
        let _ = (options, key, own);
        todo!()
    }

    /// Queues a message. It may be lost; nothing is said then.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        let _ = (to, message);
        todo!()
    }
}
