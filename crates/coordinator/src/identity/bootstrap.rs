//! Announcements of coordinators without a cluster, and the choice of the
//! first voters.
//!
//! Only when exactly the expected number of coordinators, itself included,
//! have announced themselves as empty does the one with the lowest identity
//! draw a cluster identifier and name all of them as voters.
//!
//! A coordinator accepts a proposal by saving it, and saves at most one in its
//! life. The founder saves its own before it sends it. From then on any
//! process that has saved it sends it again to voters that it has received no
//! consensus message from. So a founder that dies half-way leaves the others
//! able to finish: each of them passes the proposal on, and a voter whose disk
//! was lost comes back under another identity, is not in the list, and joins
//! as a learner.
//!
//! Two proposals could both gather a majority only if more empty coordinators
//! than expected were started at once. A founder that receives one
//! announcement too many waits, and so does a voter that receives one from an
//! empty coordinator that the proposal does not name; what is left is a start
//! with too many coordinators that cannot reach each other.

use crate::options::BootstrapRule;
use consensus::Membership;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic, NodeId, ZoneName};

/// An announcement counts for this long.
const ANNOUNCEMENT_VALID: Milliseconds = Milliseconds(1_500);

/// What an empty coordinator announced.
#[derive(Debug)]
struct Announcement {
    address: Address,
    /// Number of initial coordinators that it is configured with.
    expected: u32,
    received_at: Monotonic,
}

/// The newest announcement of each empty coordinator.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    by_node: BTreeMap<NodeId, Announcement>,
}

impl Announcements {
    /// Records an announcement, in place of any earlier one from its socket: an
    /// identity that lost its socket is gone.
    pub(crate) fn record(&mut self, address: &Address, expected: u32, now: Monotonic) {
        self.by_node
            .retain(|_, other| other.address.socket != address.socket);
        let announcement = Announcement {
            address: address.clone(),
            expected,
            received_at: now,
        };
        self.by_node.insert(address.node, announcement);
    }

    /// Drops the announcement of a process that turned out to have a cluster.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// Returns whether a valid announcement is from a coordinator that `voters`
    /// does not name.
    pub(crate) fn has_unnamed(&mut self, voters: &Membership, now: Monotonic) -> bool {
        self.expire(now);
        let mut announced = self.by_node.keys();
        announced.any(|node| !voters.voters.contains_key(node))
    }

    /// Chooses the first voters; none unless all expected coordinators have
    /// announced themselves and `rule` lets this process bootstrap the cluster.
    pub(crate) fn choose_voters(
        &mut self,
        own: &Address,
        expected: u32,
        rule: BootstrapRule,
        now: Monotonic,
    ) -> Option<Membership> {
        self.expire(now);
        if !self.may_bootstrap(own, expected, rule) {
            return None;
        }
        let others = (expected as usize).saturating_sub(1);
        let mut voters: BTreeMap<NodeId, SocketAddr> = self
            .spread_over_zones(own)
            .into_iter()
            .take(others)
            .map(|address| (address.node, address.socket))
            .collect();
        voters.insert(own.node, own.socket);
        Some(Membership {
            voters,
            learners: BTreeMap::new(),
        })
    }

    fn may_bootstrap(&self, own: &Address, expected: u32, rule: BootstrapRule) -> bool {
        let present = self.by_node.len() + 1;
        let required = expected as usize;
        let is_lowest = self.by_node.keys().all(|node| *node > own.node);
        let rule_allows = match rule {
            BootstrapRule::Exact => present == required && is_lowest,
            BootstrapRule::At(socket) => present >= required && socket == own.socket,
            BootstrapRule::Never => false,
        };
        let all_agree = self
            .by_node
            .values()
            .all(|announcement| announcement.expected == expected);
        rule_allows && all_agree
    }

    /// Orders the announced coordinators so that each zone in turn gives one,
    /// this process's own zone last.
    fn spread_over_zones(&self, own: &Address) -> Vec<Address> {
        let mut chosen: BTreeMap<ZoneName, usize> = BTreeMap::from([(own.zone.clone(), 1)]);
        let mut ranked: Vec<(usize, Address)> = Vec::new();
        for announcement in self.by_node.values() {
            let address = announcement.address.clone();
            let rank = chosen.entry(address.zone.clone()).or_default();
            ranked.push((*rank, address));
            *rank += 1;
        }
        ranked.sort();
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    fn expire(&mut self, now: Monotonic) {
        self.by_node
            .retain(|_, announcement| now.since(announcement.received_at) <= ANNOUNCEMENT_VALID);
    }
}
