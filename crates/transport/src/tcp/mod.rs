//! Framed, authenticated TCP between daemons.
//!
//! A connection carries messages one way, from the daemon that dialled it; the
//! other end only acknowledges what it read, so that a dead connection is
//! noticed. Answers go by a connection of their own to the sender's socket.

mod connection;
mod frame;
mod handshake;
pub mod inbox;
mod incoming;
mod key;
mod outgoing;
mod queue;
mod traffic;

pub use handshake::PROTOCOL_VERSION;
pub use key::ClusterKey;

use crate::PeerMessage;
use inbox::Inbox;
use outgoing::{Destinations, Outgoing};
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::watch;
use types::Address;

/// Where to listen and how much to hold.
#[derive(Debug, Clone)]
pub struct TransportOptions {
    /// Socket to listen on; outgoing connections leave from its IP.
    pub listen: SocketAddr,
    /// Messages held for one destination; the oldest go first when it is full.
    pub queue_length: usize,
    /// Longest message in bytes. A longer one is dropped by its sender; a frame
    /// that announces more ends the connection.
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

/// What all tasks of one transport share.
#[derive(Debug)]
struct Context {
    options: TransportOptions,
    key: ClusterKey,
    own: Address,
}

/// Sends messages to sockets, over one connection each, dialled when needed.
/// All tasks end when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Transport {
    context: Arc<Context>,
    outgoing: Outgoing,
    /// Every task holds a receiver and ends when it is told, or when the last
    /// transport is gone.
    stop: Arc<watch::Sender<bool>>,
}

impl Transport {
    /// Listens, and gives the stream of what arrives. `own` holds the socket
    /// that others are to dial; a port of 0 stands for the one listened on.
    pub async fn start(
        options: TransportOptions,
        key: ClusterKey,
        own: Address,
    ) -> Result<(Self, Inbox), TransportError> {
        let listen = options.listen;
        let rejected = |source| TransportError::Listen { listen, source };
        let listener = TcpListener::bind(listen).await.map_err(rejected)?;
        let bound = listener.local_addr().map_err(rejected)?;
        let mut own = own;
        if own.socket.port() == 0 {
            own.socket.set_port(bound.port());
        }
        let context = Arc::new(Context { options, key, own });
        let (arriving, inbox) = inbox::inbox();
        let (stop, stopped) = watch::channel(false);
        let destinations = Arc::<Destinations>::default();
        let listening = incoming::Listening {
            context: context.clone(),
            destinations: destinations.clone(),
            arriving,
        };
        tokio::spawn(incoming::listen(listener, listening, stopped));
        let transport = Self {
            outgoing: Outgoing::new(context.clone(), destinations),
            context,
            stop: Arc::new(stop),
        };
        Ok((transport, inbox))
    }

    /// The daemon's own address, as others know it.
    pub fn own(&self) -> &Address {
        &self.context.own
    }

    /// Queues a message. It may be lost; nothing is said then.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        if !*self.stop.borrow() {
            self.outgoing.send(to, message, &self.stop);
        }
    }

    /// Closes listener and connections, and waits until all tasks have ended.
    /// What is queued is lost.
    pub async fn shutdown(&self) {
        self.stop.send_replace(true);
        self.stop.closed().await;
    }
}

/// Waits until the transport is to end.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the last transport was dropped.
    let _ = stop.wait_for(|stop| *stop).await;
}
