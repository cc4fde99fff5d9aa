//! The dialling end: a queue and a task for each destination.

use super::connection::{
    ACKNOWLEDGE_INTERVAL, ACKNOWLEDGE_TIMEOUT, FIRST_CONNECT_TIMEOUT, IDLE_TIMEOUT,
    LAST_CONNECT_TIMEOUT, WRITE_TIMEOUT, dial, within,
};
use super::frame::{Channel, FrameError, OVERHEAD_BYTES};
use super::handshake::{HandshakeError, Proven};
use super::queue::{Queue, count_dropped};
use super::traffic::count_sent;
use super::{Context, stopped};
use crate::{PeerMessage, clock};
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

/// Shortest and longest pause between two dials.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Frames written at once come to about this many bytes.
const WRITE_BYTES: usize = 256 * 1024;
/// Bytes of an acknowledgement.
const ACKNOWLEDGEMENT_BYTES: usize = 8;

/// All destinations.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    context: Arc<Context>,
    runtime: Handle,
    destinations: Arc<Destinations>,
}

/// What is dialled, or has been lately.
#[derive(Debug, Default)]
pub(super) struct Destinations {
    queues: Mutex<BTreeMap<SocketAddr, Arc<Queue>>>,
}

impl Destinations {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Queue>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the daemon at a socket has just connected here: it is up, and
    /// the link is whole.
    pub fn record_contact(&self, socket: SocketAddr) {
        if let Some(queue) = self.lock().get(&socket) {
            queue.record_reachable();
        }
    }

    /// Forgets a destination that has nothing waiting; false if it has. A
    /// message is queued under the same lock, so none is lost between.
    fn retire(&self, to: SocketAddr, queue: &Queue) -> bool {
        let mut queues = self.lock();
        let idle = queue.is_empty();
        if idle {
            queues.remove(&to);
        }
        idle
    }
}

impl Outgoing {
    /// Must be called inside the runtime.
    pub fn new(context: Arc<Context>, destinations: Arc<Destinations>) -> Self {
        Self {
            context,
            runtime: Handle::current(),
            destinations,
        }
    }

    /// Queues a message, and starts a task for a new destination.
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

/// Why a connection ended.
#[derive(Debug, thiserror::Error)]
enum Ended {
    #[error("idle")]
    Idle,
    #[error("nothing is acknowledged any more")]
    Unacknowledged,
    #[error(transparent)]
    Frame(#[from] FrameError),
}

/// The task of one destination.
struct Destination {
    to: SocketAddr,
    context: Arc<Context>,
    queue: Arc<Queue>,
    destinations: Arc<Destinations>,
}

impl Destination {
    /// Connects whenever something waits; ends when nothing has for long.
    async fn run(&self) {
        loop {
            let idle = Duration::from_millis(IDLE_TIMEOUT.0);
            if timeout(idle, self.queue.filled()).await.is_err() {
                if self.destinations.retire(self.to, &self.queue) {
                    return;
                }
                continue;
            }
            let Some((stream, proven)) = self.connect().await else {
                continue;
            };
            let ended = self.carry(stream, proven).await;
            tracing::debug!(peer = %self.to, reason = %ended, "connection closed");
            if !matches!(ended, Ended::Idle) {
                sleep(jittered(MIN_BACKOFF)).await;
            }
        }
    }

    /// Dials until it works, or until nothing waits any more.
    async fn connect(&self) -> Option<(TcpStream, Proven)> {
        let mut backoff = MIN_BACKOFF;
        let mut timeout = FIRST_CONNECT_TIMEOUT;
        let mut failures = 0u64;
        while !self.queue.is_empty() {
            match self.dial_or_hear(timeout).await {
                Ok(connection) => return Some(connection),
                Err(error) if failures == 0 => {
                    tracing::warn!(peer = %self.to, %error, "peer unreachable, retrying");
                }
                Err(error) => {
                    tracing::debug!(peer = %self.to, %error, failures, "connection attempt failed")
                }
            }
            failures += 1;
            tokio::select! {
                () = sleep(jittered(backoff)) => {}
                () = self.queue.reachable() => {}
            }
            backoff = (backoff * 2).min(MAX_BACKOFF);
            timeout = (timeout * 2).min(LAST_CONNECT_TIMEOUT);
        }
        None
    }

    /// Dials, and dials anew when the other end is heard of meanwhile: what
    /// was sent to it before it was up is lost.
    async fn dial_or_hear(&self, timeout: Duration) -> Result<(TcpStream, Proven), HandshakeError> {
        tokio::select! {
            dialled = dial(&self.context, self.to, timeout) => dialled,
            () = self.queue.reachable() => dial(&self.context, self.to, timeout).await,
        }
    }

    async fn carry(&self, stream: TcpStream, proven: Proven) -> Ended {
        let (reader, writer) = stream.into_split();
        let acknowledged = AtomicU64::new(0);
        let mut sender = Sender {
            destination: self,
            writer,
            frames: proven.client_frames,
            acknowledged: &acknowledged,
            sent: 0,
        };
        tokio::select! {
            ended = sender.send_frames() => ended,
            error = read_acknowledgements(reader, proven.server_frames, &acknowledged) => {
                error.into()
            }
        }
    }
}

/// The frames of one connection.
struct Sender<'a> {
    destination: &'a Destination,
    writer: OwnedWriteHalf,
    frames: Channel,
    acknowledged: &'a AtomicU64,
    sent: u64,
}

impl Sender<'_> {
    /// Sends what is queued until the connection is idle or dead.
    async fn send_frames(&mut self) -> Ended {
        let mut last_sent = clock::now().monotonic;
        let mut progress = Progress {
            acknowledged: 0,
            at: last_sent,
        };
        loop {
            let filled = timeout(ACKNOWLEDGE_INTERVAL, self.destination.queue.filled()).await;
            // After a freeze this is the first look at the clock.
            let now = clock::now().monotonic;
            if progress.is_stalled(self.acknowledged.load(Ordering::Relaxed), self.sent, now) {
                return Ended::Unacknowledged;
            }
            if now.since(last_sent) >= IDLE_TIMEOUT {
                return Ended::Idle;
            }
            if filled.is_ok() {
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
        while bytes.len() < WRITE_BYTES {
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

    /// Adds a message's frame; false when it is dropped.
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

/// When the other end last acknowledged something new.
struct Progress {
    acknowledged: u64,
    at: Monotonic,
}

impl Progress {
    fn is_stalled(&mut self, acknowledged: u64, sent: u64, now: Monotonic) -> bool {
        if acknowledged > self.acknowledged || acknowledged >= sent {
            self.acknowledged = acknowledged;
            self.at = now;
        }
        now.since(self.at) > ACKNOWLEDGE_TIMEOUT
    }
}

/// Records acknowledgements until the connection ends.
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

/// Between half of a pause and the whole of it.
fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..=1.0))
}
