//! The listening end: takes connections and turns their frames into
//! envelopes.

use super::connection::{ABANDONED_TIMEOUT, ACKNOWLEDGE_INTERVAL, WRITE_TIMEOUT, accept, within};
use super::frame::{Channel, FrameError};
use super::handshake::{HandshakeError, Proven};
use super::inbox::Arriving;
use super::outgoing::Destinations;
use super::traffic::count_received;
use super::{Context, stopped};
use crate::Envelope;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use types::Address;

/// Connections that have not proved themselves yet; more are closed at once. After
/// a power loss, and when a leader changes, a whole fleet dials at once; what is
/// closed dials again and costs more than its proof.
const MAX_UNPROVEN: usize = 1_024;
/// Pause after the system rejected to accept, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What all connections that are taken share.
#[derive(Debug, Clone)]
pub(super) struct Listening {
    /// Keys, limits and the own address.
    pub context: Arc<Context>,
    /// Told of every daemon that connects.
    pub destinations: Arc<Destinations>,
    /// Takes what arrives.
    pub arriving: Arriving,
}

/// Accepts connections until the transport ends.
pub(super) async fn listen(
    listener: TcpListener,
    listening: Listening,
    mut stop: watch::Receiver<bool>,
) {
    let unproven = Arc::new(Semaphore::new(MAX_UNPROVEN));
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
        let Ok(permit) = unproven.clone().try_acquire_owned() else {
            tracing::warn!(peer = %from, "closed connection: too many unauthenticated connections");
            continue;
        };
        let serving = serve(stream, from, listening.clone(), permit);
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
    listening: Listening,
    permit: OwnedSemaphorePermit,
) {
    let context = &listening.context;
    let proven = match accept(context, &mut stream).await {
        Ok(proven) => proven,
        Err(error) => return log_rejection(from, &error),
    };
    drop(permit);
    let Proven {
        peer,
        client_frames,
        server_frames,
    } = proven;
    listening.destinations.record_contact(peer.socket);
    let (reader, writer) = stream.into_split();
    let max_bytes = context.options.max_frame_bytes;
    let accepted = AtomicU64::new(0);
    let mut incoming = Incoming {
        peer: &peer,
        arriving: &listening.arriving,
        accepted: &accepted,
    };
    let reader = tokio::io::BufReader::new(reader);
    let reason = tokio::select! {
        reason = incoming.take_frames(reader, client_frames, max_bytes) => reason,
        reason = acknowledge(writer, server_frames, &accepted) => reason,
    };
    match reason {
        FrameError::Closed(error) => {
            tracing::debug!(peer = %from, node = %peer.node, %error, "connection closed")
        }
        error => tracing::warn!(peer = %from, node = %peer.node, %error, "connection closed"),
    }
}

fn log_rejection(from: SocketAddr, error: &HandshakeError) {
    match error {
        HandshakeError::Closed(_) => {
            tracing::debug!(peer = %from, %error, "connection closed during handshake")
        }
        _ => tracing::warn!(peer = %from, %error, "handshake failed"),
    }
}

/// The frames of one connection.
struct Incoming<'a> {
    peer: &'a Address,
    arriving: &'a Arriving,
    accepted: &'a AtomicU64,
}

impl Incoming<'_> {
    /// Hands on what arrives, until the connection ends.
    async fn take_frames(
        &mut self,
        mut reader: impl AsyncRead + Unpin,
        mut frames: Channel,
        max_bytes: usize,
    ) -> FrameError {
        loop {
            let reading = frames.read(&mut reader, max_bytes);
            let body = match within(ABANDONED_TIMEOUT, reading).await {
                Ok(Ok(body)) => body,
                Ok(Err(error)) => return error,
                Err(error) => return error.into(),
            };
            self.hand_on(&body).await;
            self.accepted.fetch_add(1, Ordering::Relaxed);
        }
    }

    async fn hand_on(&self, body: &[u8]) {
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
        self.arriving.put(envelope).await;
    }
}

/// Tells the dialling end from time to time how many frames were taken.
async fn acknowledge(
    mut writer: OwnedWriteHalf,
    mut frames: Channel,
    accepted: &AtomicU64,
) -> FrameError {
    let mut acknowledged = 0;
    loop {
        tokio::time::sleep(ACKNOWLEDGE_INTERVAL).await;
        let count = accepted.load(Ordering::Relaxed);
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
