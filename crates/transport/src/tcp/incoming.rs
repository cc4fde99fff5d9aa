//! Listening end: accepts connections and delivers the received messages to the
//! inbox.

use super::Context;
use super::connection::{ACKNOWLEDGE_INTERVAL, READ_TIMEOUT, WRITE_TIMEOUT, accept, within};
use super::frame::{Channel, FrameError};
use super::handshake::{Authenticated, HandshakeError};
use super::inbox::InboxSender;
use super::outgoing::Destinations;
use super::traffic::count_received;
use crate::{Envelope, stopped};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use types::Address;

/// Maximum number of connections in the handshake. Further connections are closed
/// at once.
///
/// The limit is high because after a power loss or a change of leader all daemons
/// of the cluster connect at the same time. A peer whose connection is closed
/// dials again, which costs more than the handshake.
const MAX_UNAUTHENTICATED: usize = 1_024;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// State shared by all accepted connections.
#[derive(Debug, Clone)]
pub(super) struct ListenerContext {
    /// Cluster key, options and the address of this daemon.
    pub context: Arc<Context>,
    /// Destinations, to record which daemons have connected to this one.
    pub destinations: Arc<Destinations>,
    /// Sending end of the inbox for received messages.
    pub inbox: InboxSender,
}

/// Accepts connections until the transport stops.
pub(super) async fn listen(
    listener: TcpListener,
    shared: ListenerContext,
    mut stop: watch::Receiver<bool>,
) {
    let unauthenticated = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED));
    loop {
        let accepted = tokio::select! {
            () = stopped(&mut stop) => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                tracing::warn!(%error, "accepting a connection failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = unauthenticated.clone().try_acquire_owned() else {
            tracing::warn!(peer = %from, "closed connection: too many unauthenticated connections");
            continue;
        };
        let serving = serve(stream, from, shared.clone(), permit);
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped(&mut stop) => {}
                () = serving => {}
            }
        });
    }
}

async fn serve(
    mut stream: TcpStream,
    from: SocketAddr,
    shared: ListenerContext,
    permit: OwnedSemaphorePermit,
) {
    let context = &shared.context;
    let authenticated = match accept(context, &mut stream).await {
        Ok(authenticated) => authenticated,
        Err(error) => return log_rejection(from, &error),
    };
    drop(permit);
    let Authenticated {
        peer,
        client_frames,
        server_frames,
    } = authenticated;
    shared.destinations.record_reachable(peer.socket);
    let (reader, writer) = stream.into_split();
    let max_bytes = context.options.max_frame_bytes;
    let received = AtomicU64::new(0);
    let mut incoming = Incoming {
        peer: &peer,
        inbox: &shared.inbox,
        received: &received,
    };
    let reader = tokio::io::BufReader::new(reader);
    let reason = tokio::select! {
        reason = incoming.receive_frames(reader, client_frames, max_bytes) => reason,
        reason = acknowledge(writer, server_frames, &received) => reason,
    };
    match reason {
        FrameError::Closed(error) => {
            tracing::debug!(peer = %from, node = %peer.node, %error, "connection closed");
        }
        error => tracing::warn!(peer = %from, node = %peer.node, %error, "connection closed"),
    }
}

fn log_rejection(from: SocketAddr, error: &HandshakeError) {
    match error {
        HandshakeError::Closed(_) => {
            tracing::debug!(peer = %from, %error, "connection closed during handshake");
        }
        _ => tracing::warn!(peer = %from, %error, "handshake failed"),
    }
}

/// Receiving side of one accepted connection.
struct Incoming<'a> {
    peer: &'a Address,
    inbox: &'a InboxSender,
    received: &'a AtomicU64,
}

impl Incoming<'_> {
    /// Receives frames and delivers their messages until the connection fails.
    /// Returns the error.
    async fn receive_frames(
        &mut self,
        mut reader: impl AsyncRead + Unpin,
        mut frames: Channel,
        max_bytes: usize,
    ) -> FrameError {
        loop {
            let reading = frames.read(&mut reader, max_bytes);
            let body = match within(READ_TIMEOUT, reading).await {
                Ok(Ok(body)) => body,
                Ok(Err(error)) => return error,
                Err(error) => return error.into(),
            };
            self.deliver(&body).await;
            self.received.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn deliver(&self, body: &[u8]) {
        metrics::counter!("cypressdrum_peer_messages_received_total").increment(1);
        let length = body.len();
        let body = match postcard::from_bytes(body) {
            Ok(body) => body,
            Err(error) => {
                tracing::warn!(node = %self.peer.node, %error, "dropped undecodable message");
                return;
            }
        };
        count_received(&body, length);
        let envelope = Envelope {
            from: self.peer.clone(),
            via: None,
            body,
        };
        self.inbox.put(envelope).await;
    }
}

/// Sends the number of received frames to the dialling end, at most once per
/// [`ACKNOWLEDGE_INTERVAL`]. Returns the error that ended the connection.
async fn acknowledge(
    mut writer: OwnedWriteHalf,
    mut frames: Channel,
    received: &AtomicU64,
) -> FrameError {
    let mut acknowledged = 0;
    loop {
        tokio::time::sleep(ACKNOWLEDGE_INTERVAL).await;
        let count = received.load(Ordering::Relaxed);
        if count == acknowledged {
            continue;
        }
        let mut bytes = Vec::new();
        frames.seal(&count.to_le_bytes(), &mut bytes);
        match within(WRITE_TIMEOUT, writer.write_all(&bytes)).await {
            Ok(Ok(())) => acknowledged = count,
            Ok(Err(error)) | Err(error) => return error.into(),
        }
    }
}
