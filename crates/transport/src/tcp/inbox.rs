//! What has arrived and waits for the daemon's core, most pressing first.
//!
//! A core that is behind for a moment must still hear who leads and who is
//! alive, or the sessions of all that wait for it end, all come back at once,
//! and it is further behind than before. So what keeps leases and sessions alive never
//! waits behind the work, and neither waits behind requests, which can be sent
//! again or rejected.

use crate::{Envelope, PeerMessage};
use std::time::Instant;
use tokio::sync::mpsc;
use types::Milliseconds;

/// Envelopes held of one kind. When work or what keeps leases and sessions alive fills
/// its places, senders wait.
const LENGTH: usize = 1_024;

/// How pressing a message is, most pressing first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lane {
    /// Elections, replication, discovery, sessions and their leases, and the
    /// configuration that they confirm.
    Liveness,
    /// Heartbeats of runners, orders and all answers.
    Work,
    /// Requests of callers and operators.
    Requests,
}

impl Lane {
    /// Where a message waits. One that is passed on for another daemon waits
    /// with what it carries.
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

    /// Its name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Liveness => "liveness",
            Self::Work => "work",
            Self::Requests => "requests",
        }
    }
}

/// A message that has arrived.
#[derive(Debug)]
pub struct Arrival {
    /// The message with its sender.
    pub envelope: Envelope,
    /// Where it waited.
    pub lane: Lane,
    /// When it had been read off its connection.
    since: Instant,
}

impl Arrival {
    /// How long it has waited up to now.
    pub fn waited(&self) -> Milliseconds {
        let waited = self.since.elapsed().as_millis();
        Milliseconds(u64::try_from(waited).unwrap_or(u64::MAX))
    }
}

/// The receiving end of what has arrived.
#[derive(Debug)]
pub struct Inbox {
    liveness: mpsc::Receiver<Arrival>,
    work: mpsc::Receiver<Arrival>,
    requests: mpsc::Receiver<Arrival>,
}

/// The end that connections put messages into.
#[derive(Debug, Clone)]
pub(super) struct Arriving {
    liveness: mpsc::Sender<Arrival>,
    work: mpsc::Sender<Arrival>,
    requests: mpsc::Sender<Arrival>,
}

/// Both ends.
pub(super) fn inbox() -> (Arriving, Inbox) {
    let (liveness, liveness_arrived) = mpsc::channel(LENGTH);
    let (work, work_arrived) = mpsc::channel(LENGTH);
    let (requests, requests_arrived) = mpsc::channel(LENGTH);
    let arriving = Arriving {
        liveness,
        work,
        requests,
    };
    let inbox = Inbox {
        liveness: liveness_arrived,
        work: work_arrived,
        requests: requests_arrived,
    };
    (arriving, inbox)
}

impl Arriving {
    /// Puts a message in. A request for which there is no place is dropped: the
    /// connection that it came by must go on, and its gateway sends it again.
    pub(super) async fn put(&self, envelope: Envelope) {
        let lane = Lane::of(&envelope.body);
        let arrival = Arrival {
            envelope,
            lane,
            since: Instant::now(),
        };
        // An error means that the daemon listens no more, and is about to end,
        // or that a request found no place.
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
    /// The most pressing message alone; see [`Inbox::arrival`].
    pub async fn recv(&mut self) -> Option<Envelope> {
        let arrival = self.arrival().await?;
        Some(arrival.envelope)
    }

    /// The most pressing message; waits for one. None when the transport has
    /// ended.
    pub async fn arrival(&mut self) -> Option<Arrival> {
        tokio::select! {
            biased;
            Some(arrival) = self.liveness.recv() => Some(arrival),
            Some(arrival) = self.work.recv() => Some(arrival),
            Some(arrival) = self.requests.recv() => Some(arrival),
            else => None,
        }
    }

    /// The most pressing message, if one is there.
    pub fn try_arrival(&mut self) -> Option<Arrival> {
        let pressing = self.liveness.try_recv().or_else(|_| self.work.try_recv());
        pressing.or_else(|_| self.requests.try_recv()).ok()
    }

    /// Messages that wait in a lane.
    pub fn waiting(&self, lane: Lane) -> usize {
        match lane {
            Lane::Liveness => self.liveness.len(),
            Lane::Work => self.work.len(),
            Lane::Requests => self.requests.len(),
        }
    }
}
