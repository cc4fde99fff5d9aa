//! Framed, authenticated TCP transport between daemons.
//!
//! A connection carries messages in one direction, from the dialling end to the
//! listening end. In the other direction, the listening end only acknowledges
//! received frames, so that the dialling end detects a failed connection. Replies
//! use a separate connection, to the socket of the original sender.

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

/// Listening socket and limits of a transport.
#[derive(Debug, Clone)]
pub struct TransportOptions {
    /// Socket to listen on. Outgoing connections use the same source IP address.
    pub listen: SocketAddr,
    /// Maximum number of messages queued for one destination. When the queue is
    /// full, the oldest message is dropped.
    pub queue_length: usize,
    /// Maximum length of an encoded message in bytes. A sender drops a longer
    /// message; a receiver closes the connection if a frame header announces a
    /// longer one.
    pub max_frame_bytes: usize,
}

/// A failure to start the transport.
#[derive(Debug, Error)]
pub enum TransportError {
    /// The listener could not be bound.
    #[error("cannot listen on {listen}: {source}")]
    Listen {
        /// Socket of the listener.
        listen: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// State shared by all tasks of a transport.
#[derive(Debug)]
struct Context {
    options: TransportOptions,
    key: ClusterKey,
    own: Address,
}

/// Sends messages to other daemons, over one connection per destination socket
/// that is established on demand.
///
/// Clones share the connections. All tasks stop when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Transport {
    context: Arc<Context>,
    outgoing: Outgoing,
    /// Stop signal: each task has a receiver and stops when the value is true or
    /// the sender is dropped.
    stop: Arc<watch::Sender<bool>>,
}

impl Transport {
    /// Starts to listen, and returns the transport with the inbox for received
    /// messages.
    ///
    /// `own` is the address under which other daemons connect to this daemon. A
    /// port of 0 is replaced by the port of the listener.
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

    /// Returns the address under which other daemons connect to this daemon.
    pub fn own(&self) -> &Address {
        &self.context.own
    }

    /// Queues a message for the daemon at `to`. The message may be lost without an
    /// error. After [`Transport::shutdown`] it is discarded.
    pub fn send(&self, to: SocketAddr, message: PeerMessage) {
        if !*self.stop.borrow() {
            self.outgoing.send(to, message, &self.stop);
        }
    }

    /// Closes the listener and all connections, and waits until all tasks have
    /// stopped. Queued messages are discarded.
    pub async fn shutdown(&self) {
        self.stop.send_replace(true);
        self.stop.closed().await;
    }
}
