//! Dialling end: one queue and one sender task per destination.
//!
//! A sender task is a tokio task. It connects when the queue has messages, and
//! stops when the queue has been empty for the idle timeout.

use super::Context;
use super::connection::{
    ACKNOWLEDGE_INTERVAL, ACKNOWLEDGE_TIMEOUT, FIRST_CONNECT_TIMEOUT, IDLE_TIMEOUT,
    MAX_CONNECT_TIMEOUT, WRITE_TIMEOUT, dial, within,
};
use super::frame::{Channel, FrameError, OVERHEAD_BYTES};
use super::handshake::{Authenticated, HandshakeError};
use super::queue::{Queue, count_dropped};
use super::traffic::count_sent;
use crate::{PeerMessage, clock, stopped};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use types::Monotonic;

/// Initial backoff between two connection attempts, doubled after each failure.
/// Also the pause after a connection that was closed because of an error.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum backoff between two connection attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Length of a batch of frames in bytes from which the batch is written.
const BATCH_BYTES: usize = 256 * 1024;
/// Length of an acknowledgement, the number of received frames as `u64`, in bytes.
const ACKNOWLEDGEMENT_BYTES: usize = 8;

/// Sender of messages, with one queue and one sender task per destination.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    context: Arc<Context>,
    runtime: Handle,
    destinations: Arc<Destinations>,
}

/// Queues of the destinations that have a sender task, by socket.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    queues: Mutex<BTreeMap<SocketAddr, Arc<Queue>>>,
}

impl Destinations {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Queue>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the daemon at `socket` has just connected to this daemon, so a
    /// connection attempt to it is likely to succeed.
    pub fn record_reachable(&self, socket: SocketAddr) {
        if let Some(queue) = self.lock().get(&socket) {
            queue.record_reachable();
        }
    }

    /// Removes a destination if its queue is empty. Returns whether the destination
    /// was removed. Messages are queued under the same lock, so none is added to a
    /// removed queue.
    fn remove_if_idle(&self, to: SocketAddr, queue: &Queue) -> bool {
        let mut queues = self.lock();
        let idle = queue.is_empty();
        if idle {
            queues.remove(&to);
        }
        idle
    }
}

impl Outgoing {
    /// Creates a sender that has no destinations yet.
    ///
    /// # Panics
    ///
    /// Panics if called outside a tokio runtime.
    pub fn new(context: Arc<Context>, destinations: Arc<Destinations>) -> Self {
        Self {
            context,
            runtime: Handle::current(),
            destinations,
        }
    }

    /// Queues a message. For a new destination, also starts its sender
    /// task.
    pub fn send(&self, to: SocketAddr, message: PeerMessage, stop: &watch::Sender<bool>) {
        let mut queues = self.destinations.lock();
        if let Some(queue) = queues.get(&to) {
            queue.push(message);
            return;
        }
        let queue = Arc::new(Queue::new(self.context.options.queue_length));
        queue.push(message);
        queues.insert(to, queue.clone());
        let destination = Destination {
            to,
            context: self.context.clone(),
            queue,
            destinations: self.destinations.clone(),
        };
        let mut stop = stop.subscribe();
        self.runtime.spawn(async move {
            tokio::select! {
                () = stopped(&mut stop) => {}
                () = destination.run() => {}
            }
        });
    }
}

/// Reason for which the dialling end closed a connection.
#[derive(Debug, thiserror::Error)]
enum CloseReason {
    #[error("idle")]
    Idle,
    #[error("no acknowledgement within the timeout")]
    Unacknowledged,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// State of the sender task of one destination.
struct Destination {
    to: SocketAddr,
    context: Arc<Context>,
    queue: Arc<Queue>,
    destinations: Arc<Destinations>,
}

impl Destination {
    /// Connects and sends while messages are queued. Returns when the queue has been
    /// empty for the idle timeout.
    async fn run(&self) {
        loop {
            let idle = Duration::from_millis(IDLE_TIMEOUT.0);
            if timeout(idle, self.queue.wait_for_message()).await.is_err() {
                if self.destinations.remove_if_idle(self.to, &self.queue) {
                    return;
                }
                continue;
            }
            let Some((stream, authenticated)) = self.connect().await else {
                continue;
            };
            let reason = self.send_until_closed(stream, authenticated).await;
            tracing::debug!(peer = %self.to, reason = %reason, "connection closed");
            if !matches!(reason, CloseReason::Idle) {
                sleep(jittered(MIN_BACKOFF)).await;
            }
        }
    }

    /// Retries connecting until an attempt succeeds. Returns `None` if the queue
    /// becomes empty first, because all messages have exceeded their maximum age.
    async fn connect(&self) -> Option<(TcpStream, Authenticated)> {
        let mut backoff = MIN_BACKOFF;
        let mut timeout = FIRST_CONNECT_TIMEOUT;
        let mut failures = 0u64;
        while !self.queue.is_empty() {
            match self.dial_with_restart(timeout).await {
                Ok(connection) => return Some(connection),
                Err(error) if failures == 0 => {
                    tracing::warn!(peer = %self.to, %error, "peer unreachable, retrying");
                }
                Err(error) => {
                    tracing::debug!(peer = %self.to, %error, failures, "connection attempt failed");
                }
            }
            failures += 1;
            tokio::select! {
                () = sleep(jittered(backoff)) => {}
                () = self.queue.wait_until_reachable() => {}
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
            timeout = (timeout * 2).min(MAX_CONNECT_TIMEOUT);
        }
        None
    }

    /// Dials the destination. Dials again at once if the destination connects to
    /// this daemon in the meantime: packets sent to the destination before its start
    /// are lost, so the first attempt would wait for their retransmission.
    async fn dial_with_restart(
        &self,
        timeout: Duration,
    ) -> Result<(TcpStream, Authenticated), HandshakeError> {
        tokio::select! {
            dialled = dial(&self.context, self.to, timeout) => dialled,
            () = self.queue.wait_until_reachable() => dial(&self.context, self.to, timeout).await,
        }
    }

    async fn send_until_closed(
        &self,
        stream: TcpStream,
        authenticated: Authenticated,
    ) -> CloseReason {
        let (reader, writer) = stream.into_split();
        let acknowledged = AtomicU64::new(0);
        let mut sender = Sender {
            destination: self,
            writer,
            frames: authenticated.client_frames,
            acknowledged: &acknowledged,
            sent: 0,
        };
        tokio::select! {
            reason = sender.send_frames() => reason,
            error = read_acknowledgements(reader, authenticated.server_frames, &acknowledged) => {
                error.into()
            }
        }
    }
}

/// Sending side of one dialled connection.
struct Sender<'a> {
    destination: &'a Destination,
    writer: OwnedWriteHalf,
    frames: Channel,
    acknowledged: &'a AtomicU64,
    sent: u64,
}

impl Sender<'_> {
    /// Sends queued messages until the connection is idle or has failed. Returns the
    /// reason for closing it.
    async fn send_frames(&mut self) -> CloseReason {
        let mut last_sent = clock::now().monotonic;
        let mut progress = Progress {
            acknowledged: 0,
            last_progress: last_sent,
        };
        loop {
            let queued = timeout(
                ACKNOWLEDGE_INTERVAL,
                self.destination.queue.wait_for_message(),
            )
            .await;
            // The clock is read after the wait, so that a suspend of the machine is
            // detected before the next message is sent.
            let now = clock::now().monotonic;
            if progress.update_and_check_stalled(
                self.acknowledged.load(Ordering::Relaxed),
                self.sent,
                now,
            ) {
                return CloseReason::Unacknowledged;
            }
            if now.since(last_sent) >= IDLE_TIMEOUT {
                return CloseReason::Idle;
            }
            if queued.is_ok() {
                if let Err(error) = self.send_batch().await {
                    return error.into();
                }
                last_sent = now;
            }
        }
    }

    async fn send_batch(&mut self) -> Result<(), FrameError> {
        let mut bytes = Vec::new();
        let mut messages = 0;
        while bytes.len() < BATCH_BYTES {
            let Some(message) = self.destination.queue.pop() else {
                break;
            };
            messages += u64::from(self.seal(&message, &mut bytes));
        }
        within(WRITE_TIMEOUT, self.writer.write_all(&bytes)).await??;
        self.sent += messages;
        metrics::counter!("cypressdrum_peer_messages_sent_total").increment(messages);
        Ok(())
    }

    /// Encodes a message and appends its frame to `bytes`. Returns false if the
    /// message is dropped.
    fn seal(&mut self, message: &PeerMessage, bytes: &mut Vec<u8>) -> bool {
        let to = self.destination.to;
        let max = self.destination.context.options.max_frame_bytes;
        let body = match postcard::to_stdvec(message) {
            Ok(body) if body.len() <= max => body,
            Ok(body) => {
                tracing::warn!(peer = %to, bytes = body.len(), max, "dropped message: longer than a frame");
                count_dropped(1);
                return false;
            }
            Err(error) => {
                tracing::warn!(peer = %to, %error, "dropped message: encoding failed");
                count_dropped(1);
                return false;
            }
        };
        bytes.reserve(body.len() + OVERHEAD_BYTES);
        count_sent(message, body.len());
        self.frames.seal(&body, bytes)
    }
}

/// Progress of the acknowledgements of one connection.
struct Progress {
    acknowledged: u64,
    /// Time of the last new acknowledgement, or the last time at which all frames
    /// were acknowledged.
    last_progress: Monotonic,
}

impl Progress {
    /// Updates the progress with the current counts of frames. Returns whether there
    /// was no progress for longer than [`ACKNOWLEDGE_TIMEOUT`].
    fn update_and_check_stalled(&mut self, acknowledged: u64, sent: u64, now: Monotonic) -> bool {
        if acknowledged > self.acknowledged || acknowledged >= sent {
            self.acknowledged = acknowledged;
            self.last_progress = now;
        }
        now.since(self.last_progress) > ACKNOWLEDGE_TIMEOUT
    }
}

/// Reads acknowledgements until the connection fails. Returns the error.
async fn read_acknowledgements(
    mut reader: OwnedReadHalf,
    mut frames: Channel,
    acknowledged: &AtomicU64,
) -> FrameError {
    loop {
        let body = match frames.read(&mut reader, ACKNOWLEDGEMENT_BYTES).await {
            Ok(body) => body,
            Err(error) => return error,
        };
        if let Ok(count) = body.try_into() {
            acknowledged.store(u64::from_le_bytes(count), Ordering::Relaxed);
        }
    }
}

/// Returns a random duration between half of `pause` and the whole of it.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}
