//! The leader of a session, and the responsive paths to it.

use crate::keep_alive::Path;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic};

/// Keep-alive intervals without a reply after which a path is unresponsive.
const UNRESPONSIVE_INTERVALS: u64 = 2;
/// Keep-alive intervals for which a relay is used after its last reply.
const RELAY_INTERVALS: u64 = 4;

/// The coordinator that receives the keep-alives.
#[derive(Debug)]
pub struct LeaderContact {
    address: Address,
    interval: Milliseconds,
    last_contact: Monotonic,
    last_direct_contact: Monotonic,
    relay: Option<RelayContact>,
}

/// A follower that relayed a keep-alive to the leader and its reply back.
#[derive(Debug, Clone, Copy)]
struct RelayContact {
    follower: SocketAddr,
    last_contact: Monotonic,
}

impl LeaderContact {
    /// A leader that becomes known at `now`. The time without a reply counts from
    /// then.
    pub fn new(address: Address, interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            address,
            interval,
            last_contact: now,
            last_direct_contact: now,
            relay: None,
        }
    }

    /// Identity and address of the leader.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Records a reply; `path` is the path that it proves to work in both
    /// directions.
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

    /// Returns whether all paths to the leader are unresponsive.
    pub fn is_unresponsive(&self, now: Monotonic) -> bool {
        now.since(self.last_contact) > self.intervals(UNRESPONSIVE_INTERVALS)
    }

    /// Returns whether the direct path to the leader is unresponsive.
    pub fn is_direct_unresponsive(&self, now: Monotonic) -> bool {
        now.since(self.last_direct_contact) > self.intervals(UNRESPONSIVE_INTERVALS)
    }

    /// The follower to use as a relay: only if the direct path is unresponsive
    /// and the follower relayed a reply recently.
    pub fn relay(&self, now: Monotonic) -> Option<SocketAddr> {
        let is_recent =
            |relay: &RelayContact| now.since(relay.last_contact) <= self.intervals(RELAY_INTERVALS);
        let relay = self.relay.filter(is_recent)?;
        self.is_direct_unresponsive(now).then_some(relay.follower)
    }

    fn intervals(&self, count: u64) -> Milliseconds {
        Milliseconds(self.interval.0.saturating_mul(count))
    }
}
