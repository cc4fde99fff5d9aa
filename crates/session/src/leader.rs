//! The leader a session is kept with, and which ways to it answer.

use crate::hello::Path;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic};

/// Intervals without an answer after which a way counts as silent.
const SILENT_INTERVALS: u64 = 2;
/// Intervals for which an answered relay is used further.
const RELAY_INTERVALS: u64 = 4;

/// The coordinator that hellos go to.
#[derive(Debug)]
pub struct LeaderContact {
    address: Address,
    interval: Milliseconds,
    heard_at: Monotonic,
    direct_heard_at: Monotonic,
    relay: Option<RelayContact>,
}

/// A follower that carried a hello to the leader and its answer back.
#[derive(Debug, Clone, Copy)]
struct RelayContact {
    follower: SocketAddr,
    heard_at: Monotonic,
}

impl LeaderContact {
    /// A leader just learnt of; it counts as heard now, to give it time.
    pub fn new(address: Address, interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            address,
            interval,
            heard_at: now,
            direct_heard_at: now,
            relay: None,
        }
    }

    /// Who it is.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Notes an answer; `path` is the way that it proves to work both ways.
    pub fn heard(&mut self, path: Option<Path>, now: Monotonic) {
        self.heard_at = now;
        match path {
            Some(Path::Direct) => self.direct_heard_at = now,
            Some(Path::Relayed(follower)) => {
                self.relay = Some(RelayContact {
                    follower,
                    heard_at: now,
                });
            }
            None => {}
        }
    }

    /// True when no way to it answers.
    pub fn is_silent(&self, now: Monotonic) -> bool {
        now.since(self.heard_at) > self.intervals(SILENT_INTERVALS)
    }

    /// True when its direct answers have stopped.
    pub fn is_direct_silent(&self, now: Monotonic) -> bool {
        now.since(self.direct_heard_at) > self.intervals(SILENT_INTERVALS)
    }

    /// The follower to go through: only when direct answers have stopped and
    /// hellos through it were answered lately.
    pub fn relay(&self, now: Monotonic) -> Option<SocketAddr> {
        let fresh =
            |relay: &RelayContact| now.since(relay.heard_at) <= self.intervals(RELAY_INTERVALS);
        let relay = self.relay.filter(fresh)?;
        self.is_direct_silent(now).then_some(relay.follower)
    }

    fn intervals(&self, count: u64) -> Milliseconds {
        Milliseconds(self.interval.0.saturating_mul(count))
    }
}
