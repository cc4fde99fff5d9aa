//! Queue of received messages, in lanes of descending priority.
//!
//! A daemon under a short overload must still process leases and keep-alives.
//! Otherwise the sessions of its peers expire, all peers reconnect at once, and
//! the overload grows. Messages that renew leases and sessions therefore have
//! priority over work, and both have priority over requests, which can be retried
//! or rejected.

use crate::{Envelope, PeerMessage};
use std::time::Instant;
use tokio::sync::mpsc;
use types::Milliseconds;

/// Capacity of one lane in messages. A connection waits while the lane for
/// liveness or for work is full.
const LANE_CAPACITY: usize = 1_024;

/// Priorities of received messages, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Elections, replication, discovery, keep-alives, session leases, and the
    /// configuration that follows a lease.
    Liveness,
    /// Heartbeats of runners, orders, the replies to both, and replies to
    /// requests.
    Work,
    /// Requests of callers and operators.
    Requests,
}

impl Lane {
    /// Returns the lane of a message. A relay uses the lane of its body.
    pub fn of(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Request(_) => Self::Requests,
            PeerMessage::AgentReport(_)
            | PeerMessage::OrderResults { .. }
            | PeerMessage::RunnerUpdate(_)
            | PeerMessage::Orders { .. }
            | PeerMessage::Reply(_) => Self::Work,
            PeerMessage::Relay(relay) => Self::of(&relay.body),
            PeerMessage::Discover
            | PeerMessage::Members(_)
            | PeerMessage::Bootstrap(_)
            | PeerMessage::Raft { .. }
            | PeerMessage::KeepAlive(_)
            | PeerMessage::Lease(_)
            | PeerMessage::NotLeader { .. }
            | PeerMessage::Configuration { .. } => Self::Liveness,
        }
    }

    /// Returns the name of the lane in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Liveness => "liveness",
            Self::Work => "work",
            Self::Requests => "requests",
        }
    }
}

/// A received message with its lane and the time of its receipt.
#[derive(Debug)]
pub struct Arrival {
    /// Message with its sender.
    pub envelope: Envelope,
    /// Lane in which the message was queued.
    pub lane: Lane,
    /// Time at which the message was read from its connection.
    received_at: Instant,
}

impl Arrival {
    /// Returns the time since the receipt of the message, in milliseconds.
    pub fn queue_time(&self) -> Milliseconds {
        let queue_time = self.received_at.elapsed().as_millis();
        Milliseconds(u64::try_from(queue_time).unwrap_or(u64::MAX))
    }
}

/// Receiving end of the inbox.
#[derive(Debug)]
pub struct Inbox {
    liveness: mpsc::Receiver<Arrival>,
    work: mpsc::Receiver<Arrival>,
    requests: mpsc::Receiver<Arrival>,
}

/// Sending end of the inbox, shared by all connections.
#[derive(Debug, Clone)]
pub(super) struct InboxSender {
    liveness: mpsc::Sender<Arrival>,
    work: mpsc::Sender<Arrival>,
    requests: mpsc::Sender<Arrival>,
}

/// Creates an empty inbox and returns its sending and its receiving end.
pub(super) fn channel() -> (InboxSender, Inbox) {
    let (liveness, liveness_receiver) = mpsc::channel(LANE_CAPACITY);
    let (work, work_receiver) = mpsc::channel(LANE_CAPACITY);
    let (requests, requests_receiver) = mpsc::channel(LANE_CAPACITY);
    let sender = InboxSender {
        liveness,
        work,
        requests,
    };
    let inbox = Inbox {
        liveness: liveness_receiver,
        work: work_receiver,
        requests: requests_receiver,
    };
    (sender, inbox)
}

impl InboxSender {
    /// Appends a message to its lane. Waits while the lane is full. A request is
    /// dropped instead: its gateway sends it again, and the connection must not
    /// block messages of the other lanes.
    pub(super) async fn put(&self, envelope: Envelope) {
        let lane = Lane::of(&envelope.body);
        let arrival = Arrival {
            envelope,
            lane,
            received_at: Instant::now(),
        };
        // An error means that the daemon is stopping or that the lane for requests
        // is full.
        match lane {
            Lane::Liveness => drop(self.liveness.send(arrival).await),
            Lane::Work => drop(self.work.send(arrival).await),
            Lane::Requests => {
                if self.requests.try_send(arrival).is_err() {
                    metrics::counter!("cypressdrum_peer_requests_dropped_total").increment(1);
                }
            }
        }
    }
}

impl Inbox {
    /// Waits for the next message like [`Inbox::recv_arrival`], and returns the message
    /// without its lane. Returns `None` when the transport has stopped.
    pub async fn recv(&mut self) -> Option<Envelope> {
        let arrival = self.recv_arrival().await?;
        Some(arrival.envelope)
    }

    /// Waits until a message is queued, and returns the first message of the lane
    /// with the highest priority. Returns `None` when the transport has stopped.
    pub async fn recv_arrival(&mut self) -> Option<Arrival> {
        tokio::select! {
            biased;
            Some(arrival) = self.liveness.recv() => Some(arrival),
            Some(arrival) = self.work.recv() => Some(arrival),
            Some(arrival) = self.requests.recv() => Some(arrival),
            else => None,
        }
    }

    /// Returns the first message of the lane with the highest priority, or `None`
    /// if no message is queued.
    pub fn try_recv_arrival(&mut self) -> Option<Arrival> {
        let first = self.liveness.try_recv().or_else(|_| self.work.try_recv());
        first.or_else(|_| self.requests.try_recv()).ok()
    }

    /// Returns the number of messages queued in a lane.
    pub fn queued(&self, lane: Lane) -> usize {
        match lane {
            Lane::Liveness => self.liveness.len(),
            Lane::Work => self.work.len(),
            Lane::Requests => self.requests.len(),
        }
    }
}
