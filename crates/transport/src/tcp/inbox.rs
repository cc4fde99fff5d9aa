//! Received messages that wait for the core, in lanes of descending priority.
//!
//! A core that is overloaded for a moment must still process leases and
//! keep-alives. Otherwise the sessions of its peers expire, all of them reconnect
//! at once, and the overload grows. Messages that keep leases and sessions alive
//! therefore never wait behind work, and neither waits behind requests, which can
//! be sent again or rejected.

use crate::{Envelope, PeerMessage};
use std::time::Instant;
use tokio::sync::mpsc;
use types::Milliseconds;

/// Capacity of one lane, in messages. Senders wait while the lane for liveness or
/// for work is full.
const LANE_CAPACITY: usize = 1_024;

/// Priority of a received message, highest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Elections, replication, discovery, sessions and their leases, and the
    /// configuration that they confirm.
    Liveness,
    /// Heartbeats of runners, orders, and answers to either or to requests.
    Work,
    /// Requests of callers and operators.
    Requests,
}

impl Lane {
    /// Returns the lane of a message. A relay has the lane of the message that it
    /// carries.
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

/// A received message with the time at which it was received.
#[derive(Debug)]
pub struct Arrival {
    /// The message with its sender.
    pub envelope: Envelope,
    /// Lane in which it waited.
    pub lane: Lane,
    /// Time at which it was read from its connection.
    received_at: Instant,
}

impl Arrival {
    /// Returns the time since the message was received, in milliseconds.
    pub fn waited(&self) -> Milliseconds {
        let waited = self.received_at.elapsed().as_millis();
        Milliseconds(u64::try_from(waited).unwrap_or(u64::MAX))
    }
}

/// The receiving end of the inbox.
#[derive(Debug)]
pub struct Inbox {
    liveness: mpsc::Receiver<Arrival>,
    work: mpsc::Receiver<Arrival>,
    requests: mpsc::Receiver<Arrival>,
}

/// The sending end of the inbox, which connections share.
#[derive(Debug, Clone)]
pub(super) struct InboxSender {
    liveness: mpsc::Sender<Arrival>,
    work: mpsc::Sender<Arrival>,
    requests: mpsc::Sender<Arrival>,
}

/// Creates an empty inbox and returns both of its ends.
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
    /// Adds a message. Waits while its lane is full, except that a request is
    /// dropped then: its gateway sends it again, and the connection must continue
    /// to carry messages of the other lanes.
    pub(super) async fn put(&self, envelope: Envelope) {
        let lane = Lane::of(&envelope.body);
        let arrival = Arrival {
            envelope,
            lane,
            received_at: Instant::now(),
        };
        // An error means that the daemon is about to stop, or that the lane for
        // requests is full.
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
    /// Receives the next message without its lane; see [`Inbox::arrival`].
    pub async fn recv(&mut self) -> Option<Envelope> {
        let arrival = self.arrival().await?;
        Some(arrival.envelope)
    }

    /// Waits for a message and returns the one of the highest priority. Returns
    /// `None` when the transport has stopped.
    pub async fn arrival(&mut self) -> Option<Arrival> {
        tokio::select! {
            biased;
            Some(arrival) = self.liveness.recv() => Some(arrival),
            Some(arrival) = self.work.recv() => Some(arrival),
            Some(arrival) = self.requests.recv() => Some(arrival),
            else => None,
        }
    }

    /// Returns the message of the highest priority without waiting, or `None` if
    /// there is no message.
    pub fn try_arrival(&mut self) -> Option<Arrival> {
        let urgent = self.liveness.try_recv().or_else(|_| self.work.try_recv());
        urgent.or_else(|_| self.requests.try_recv()).ok()
    }

    /// Returns the number of messages that wait in a lane.
    pub fn waiting(&self, lane: Lane) -> usize {
        match lane {
            Lane::Liveness => self.liveness.len(),
            Lane::Work => self.work.len(),
            Lane::Requests => self.requests.len(),
        }
    }
}
