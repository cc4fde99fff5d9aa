//! Leader of a session, and the state of the paths to it.

use crate::keep_alive::Path;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic};

/// Keep-alive intervals without a reply after which a path counts as
/// unresponsive.
const UNRESPONSIVE_INTERVALS: u64 = 2;
/// Keep-alive intervals for which a relay is used after the last reply through
/// it.
const RELAY_INTERVALS: u64 = 4;

/// Leader, or presumed leader, that receives the keep-alives.
#[derive(Debug)]
pub struct LeaderContact {
    address: Address,
    interval: Milliseconds,
    /// Time of the last reply on any path.
    last_contact: Monotonic,
    /// Time of the last reply that proves the direct path to work.
    last_direct_contact: Monotonic,
    /// Relay of the last relayed keep-alive with a reply; `None` before the
    /// first one.
    relay: Option<RelayContact>,
}

/// Follower that relayed a keep-alive to which the leader replied.
#[derive(Debug, Clone, Copy)]
struct RelayContact {
    follower: SocketAddr,
    last_contact: Monotonic,
}

impl LeaderContact {
    /// Creates the contact of a leader that becomes known at `now`. The time
    /// without a reply counts from `now`.
    pub fn new(address: Address, interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            address,
            interval,
            last_contact: now,
            last_direct_contact: now,
            relay: None,
        }
    }

    /// Returns the node, role, zone and peer socket of the leader.
    pub fn address(&self) -> &Address {
        &self.address
    }

    /// Records a reply. `path` is the path that the reply proves to work in both
    /// directions, or `None` if it proves none.
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

    /// Returns the follower to use as a relay. Returns `None` if the direct path is
    /// responsive, or if no relayed keep-alive got a reply recently.
    pub fn relay(&self, now: Monotonic) -> Option<SocketAddr> {
        let is_recent =
            |relay: &RelayContact| now.since(relay.last_contact) <= self.intervals(RELAY_INTERVALS);
        let relay = self.relay.filter(is_recent)?;
        self.is_direct_unresponsive(now).then_some(relay.follower)
    }

    /// Returns the duration of `count` keep-alive intervals.
    fn intervals(&self, count: u64) -> Milliseconds {
        Milliseconds(self.interval.0.saturating_mul(count))
    }
}
