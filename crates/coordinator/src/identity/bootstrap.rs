//! Announcements of coordinators without a cluster, and the choice of the
//! first voters.
//!
//! Coordinators without a cluster (empty coordinators) announce themselves to
//! each other. Under [`BootstrapRule::Exact`], once exactly the expected number
//! of them is present, itself included, the one with the lowest identity draws
//! a cluster identifier and proposes all of them as voters.
//!
//! A coordinator accepts a proposal by saving it, and never saves a second one.
//! The proposer saves its own proposal before it sends it. Each process that
//! has saved the proposal resends it to the voters that it has received neither
//! an acceptance nor a consensus message from. So the bootstrap completes even
//! if the proposer crashes midway. A voter whose disk was lost restarts with a
//! new identity, which the proposal does not name, and joins as a learner.
//!
//! Two proposals could both be accepted by a majority only if more empty
//! coordinators than expected were started at once. A proposer that receives
//! more announcements than expected therefore waits. So does a voter that
//! receives an announcement from an empty coordinator that the proposal does
//! not name. One case is not covered: too many coordinators are started and
//! cannot reach each other.
//!
//! Under [`BootstrapRule::At`] only the process at one socket proposes, and only
//! on the disk of its first start: the right to propose is saved with the new
//! identity, before any message is sent, and ends with the write that saves a
//! cluster. A restart keeps it, since it keeps the disk; a lost disk ends it.
//! So there is one proposal at most, whatever is killed and whichever disk is
//! lost.

use crate::options::BootstrapRule;
use consensus::Membership;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use types::{Address, Milliseconds, Monotonic, NodeId, ZoneName};

/// Time after which an announcement expires.
const ANNOUNCEMENT_VALID: Milliseconds = Milliseconds(1_500);

/// Announcement of an empty coordinator.
#[derive(Debug)]
struct Announcement {
    address: Address,
    /// Number of initial coordinators in the sender's configuration.
    expected: u32,
    received_at: Monotonic,
}

/// Newest announcement of each empty coordinator.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    by_node: BTreeMap<NodeId, Announcement>,
}

impl Announcements {
    /// Records an announcement and removes any other with the same socket: only
    /// one process can listen on a socket, so the earlier one has ended.
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

    /// Removes the announcement of a process that has named a cluster.
    pub(crate) fn remove(&mut self, node: NodeId) {
        self.by_node.remove(&node);
    }

    /// Returns whether an unexpired announcement is from a coordinator that
    /// `voters` does not name.
    pub(crate) fn has_unnamed(&mut self, voters: &Membership, now: Monotonic) -> bool {
        self.expire(now);
        let mut announced = self.by_node.keys();
        announced.any(|node| !voters.voters.contains_key(node))
    }

    /// Chooses the initial voters. Returns `None` unless all expected coordinators
    /// have announced themselves and `rule` allows this process to bootstrap the
    /// cluster.
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
            .order_by_zone(own)
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

    /// Returns the announced coordinators in round-robin order of their zones.
    /// This process counts as the first one of its own zone.
    fn order_by_zone(&self, own: &Address) -> Vec<Address> {
        let mut next_ranks: BTreeMap<ZoneName, usize> = BTreeMap::from([(own.zone.clone(), 1)]);
        let mut ranked: Vec<(usize, Address)> = Vec::new();
        for announcement in self.by_node.values() {
            let address = announcement.address.clone();
            let rank = next_ranks.entry(address.zone.clone()).or_default();
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
