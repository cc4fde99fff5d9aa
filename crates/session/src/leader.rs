//! The leader a session is kept with, and which ways to it answer.

use crate::keep_alive::Path;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic};

/// Intervals without an answer after which a way counts as silent.
const UNRESPONSIVE_INTERVALS: u64 = 2;
/// Intervals for which an answered relay is used further.
const RELAY_INTERVALS: u64 = 4;

/// The coordinator that keep-alives go to.
#[derive(Debug)]
pub struct LeaderContact {
    address: Address,
    interval: Milliseconds,
    last_contact: Monotonic,
    last_direct_contact: Monotonic,
    relay: Option<RelayContact>,
}

/// A follower that carried a keep-alive to the leader and its answer back.
#[derive(Debug, Clone, Copy)]
struct RelayContact {
    follower: SocketAddr,
    last_contact: Monotonic,
}

impl LeaderContact {
    /// A leader just learnt of; it counts as heard now, to give it time.
    pub fn new(address: Address, interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            address,
            interval,
            last_contact: now,
            last_direct_contact: now,
            relay: None,
        }
    }

    /// Who it is.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Records an answer; `path` is the way that it proves to work both ways.
    pub fn record_contact(&mut self, path: Option<Path>, now: Monotonic) {
        self.last_contact = now;
        match path {
            Some(Path::Direct) => self.last_direct_contact = now,
            Some(Path::Relayed(follower)) => {
                self.relay = Some(RelayContact {
                    follower,
                    last_contact: now,
                });
            }
            None => {}
        }
    }

    /// Returns whether no way to it answers.
    pub fn is_unresponsive(&self, now: Monotonic) -> bool {
        now.since(self.last_contact) > self.intervals(UNRESPONSIVE_INTERVALS)
    }

    /// Returns whether its direct answers have stopped.
    pub fn is_direct_unresponsive(&self, now: Monotonic) -> bool {
        now.since(self.last_direct_contact) > self.intervals(UNRESPONSIVE_INTERVALS)
    }

    /// The follower to go through: only when direct answers have stopped and
    /// keep-alives through it were answered lately.
    pub fn relay(&self, now: Monotonic) -> Option<SocketAddr> {
        let fresh =
            |relay: &RelayContact| now.since(relay.last_contact) <= self.intervals(RELAY_INTERVALS);
        let relay = self.relay.filter(fresh)?;
        self.is_direct_unresponsive(now).then_some(relay.follower)
    }

    fn intervals(&self, count: u64) -> Milliseconds {
        Milliseconds(self.interval.0.saturating_mul(count))
    }
}
