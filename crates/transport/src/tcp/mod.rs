//! The framed, authenticated TCP transport between daemons.
//!
//! A connection carries messages in one direction, from the daemon that dialled
//! it. The listening end only acknowledges the frames that it has read, which lets
//! the dialling end detect a dead connection. Answers use another connection, to
//! the sender's socket.

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

/// Options of the transport.
#[derive(Debug, Clone)]
pub struct TransportOptions {
    /// Socket to listen on. Its IP is also the source of outgoing connections.
    pub listen: SocketAddr,
    /// Maximum number of messages queued for one destination. When the queue is
    /// full, the oldest message is dropped.
    pub queue_length: usize,
    /// Maximum length of an encoded message in bytes. The sender drops a longer
    /// message; a receiver closes a connection whose frame announces more.
    pub max_frame_bytes: usize,
}

/// A failure to start the transport.
#[derive(Debug, Error)]
pub enum TransportError {
    /// Binding the listener failed.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// Socket of the listener.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// State that all tasks of one transport share.
#[derive(Debug)]
struct Context {
    options: TransportOptions,
    key: ClusterKey,
    own: Address,
}

/// Sends messages to other daemons, over one connection to each socket, which is
/// established on demand.
///
/// Clones share the connections. All tasks end when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Transport {
    context: Arc<Context>,
    outgoing: Outgoing,
    /// Each task has a receiver, and ends when the value is true or the sender is
    /// dropped.
    stop: Arc<watch::Sender<bool>>,
}

impl Transport {
    /// Starts listening, and returns the transport with the inbox of received
    /// messages.
    ///
    /// `own` is the address that other daemons connect to. If its port is 0, the
    /// port of the listener takes its place.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError::Listen`] if the listener cannot be bound.
    pub async fn start(
        options: TransportOptions,
        key: ClusterKey,
        own: Address,
    ) -> Result<(Self, Inbox), TransportError> {
        let listen = options.listen;
        let listen_error = |source| TransportError::Listen { listen, source };
        let listener = TcpListener::bind(listen).await.map_err(listen_error)?;
        let bound = listener.local_addr().map_err(listen_error)?;
        let mut own = own;
        if own.socket.port() == 0 {
            own.socket.set_port(bound.port());
        }
        let context = Arc::new(Context { options, key, own });
        let (sender, inbox) = inbox::channel();
        let (stop, stopped) = watch::channel(false);
        let destinations = Arc::<Destinations>::default();
        let shared = incoming::ListenerContext {
            context: context.clone(),
            destinations: destinations.clone(),
            inbox: sender,
        };
        tokio::spawn(incoming::listen(listener, shared, stopped));
        let transport = Self {
            outgoing: Outgoing::new(context.clone(), destinations),
            context,
            stop: Arc::new(stop),
        };
        Ok((transport, inbox))
    }

    /// Returns the address of this daemon, as other daemons know it.
    pub fn own(&self) -> &Address {
        &self.context.own
    }

    /// Queues a message for the daemon at `to`. The message may be lost without
    /// notice.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        if !*self.stop.borrow() {
            self.outgoing.send(to, message, &self.stop);
        }
    }

    /// Closes the listener and all connections, and waits until all tasks have ended.
    /// Queued messages are lost.
    pub async fn shutdown(&self) {
        self.stop.send_replace(true);
        self.stop.closed().await;
    }
}
