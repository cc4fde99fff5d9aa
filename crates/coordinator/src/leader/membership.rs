//! Admission of new coordinators and replacement of lost ones.
//!
//! One change at a time, each derived anew from the membership in force, so
//! that a new leader goes on where the last one stopped:
//!
//! 1. A coordinator outside the membership that sends keep-alives becomes a
//!    learner.
//! 2. When a learner has caught up, a dead voter is removed: at once the one
//!    whose socket the learner has (its disk and identity are gone), otherwise
//!    one that has been unresponsive for longer than `replace_voter_after`.
//! 3. While there are fewer voters than the cluster began with, a learner that
//!    has caught up is promoted.
//!
//! The removal comes before the promotion. With three voters, one of them
//! dead, both orders need the two live voters to go on; but the removal first
//! lets decisions rest in between on processes that have proven themselves,
//! and the new one counts only when the group is whole again. A removal is
//! proposed only if the live voters are a quorum of what remains.

use consensus::{Membership, Status};
use std::collections::BTreeMap;
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, NodeId};

/// Entries a learner may lack and still count as caught up.
const CAUGHT_UP_LAG: u64 = 64;
/// A member that is unresponsive for longer does not count as live.
const LIVE_WITHIN: Milliseconds = Milliseconds(1_000);
/// A learner that was unresponsive for this long is removed.
const DROP_LEARNER_AFTER: Milliseconds = Milliseconds(60_000);
/// Learners at once.
const MAX_LEARNERS: usize = 3;
/// A keep-alive of a joiner counts for this long.
const JOINER_VALID: Milliseconds = Milliseconds(2_000);

/// A coordinator that asked for admission.
#[derive(Debug)]
struct Joiner {
    address: Address,
    last_seen: Monotonic,
}

/// Coordinators that asked for admission.
#[derive(Debug, Default)]
pub(super) struct Joiners {
    by_node: BTreeMap<NodeId, Joiner>,
}

impl Joiners {
    /// Records a keep-alive of a coordinator outside the membership.
    pub(super) fn record(&mut self, address: &Address, now: Monotonic) {
        let joiner = Joiner {
            address: address.clone(),
            last_seen: now,
        };
        self.by_node.insert(address.node, joiner);
    }

    /// Drops the joiners whose last keep-alive is too old.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.by_node
            .retain(|_, joiner| now.since(joiner.last_seen) <= JOINER_VALID);
    }

    fn find_outside(&self, membership: &Membership) -> Option<&Address> {
        self.by_node
            .values()
            .map(|joiner| &joiner.address)
            .find(|address| membership.socket(address.node).is_none())
    }
}

/// The configuration that each other member last said to have applied.
#[derive(Debug, Default)]
pub(super) struct MemberVersions {
    by_node: BTreeMap<NodeId, ConfigurationVersion>,
}

impl MemberVersions {
    /// Records a member's configuration, and drops processes that are no
    /// members any more.
    pub(super) fn record(
        &mut self,
        node: NodeId,
        version: ConfigurationVersion,
        membership: &Membership,
    ) {
        self.by_node.insert(node, version);
        self.by_node
            .retain(|node, _| membership.socket(*node).is_some());
    }

    /// The configuration that a member last said to have applied, if it did.
    pub(super) fn get(&self, node: NodeId) -> Option<ConfigurationVersion> {
        self.by_node.get(&node).copied()
    }
}

/// Derives the next change of the membership from what the leader knows.
pub(super) struct MembershipPlanner<'a> {
    pub(super) own: NodeId,
    /// Number of voters the cluster began with.
    pub(super) wanted_voters: usize,
    /// A voter that is unresponsive for this long is replaced.
    pub(super) replace_voter_after: Milliseconds,
    pub(super) status: &'a Status,
    pub(super) joiners: &'a Joiners,
}

impl MembershipPlanner<'_> {
    /// The next membership to propose; none if nothing is to change.
    pub(super) fn next(&self) -> Option<Membership> {
        self.without_stale_learner()
            .or_else(|| self.with_joiner())
            .or_else(|| self.without_dead_voter())
            .or_else(|| self.with_promoted_learner())
    }

    fn without_stale_learner(&self) -> Option<Membership> {
        let learners = &self.status.membership.learners;
        let stale = learners
            .keys()
            .find(|node| self.unresponsive_time(**node) > DROP_LEARNER_AFTER)?;
        let mut next = self.status.membership.clone();
        next.learners.remove(stale);
        Some(next)
    }

    fn with_joiner(&self) -> Option<Membership> {
        let joiner = self.joiners.find_outside(&self.status.membership)?;
        let mut next = self.status.membership.clone();
        // An earlier identity on the socket is gone for good.
        next.learners.retain(|_, socket| *socket != joiner.socket);
        if next.learners.len() >= MAX_LEARNERS {
            return None;
        }
        next.learners.insert(joiner.node, joiner.socket);
        Some(next)
    }

    fn without_dead_voter(&self) -> Option<Membership> {
        let dead = self.find_dead_voter()?;
        let mut next = self.status.membership.clone();
        next.voters.remove(&dead);
        let live = next
            .voters
            .keys()
            .filter(|node| **node == self.own || self.is_live(**node))
            .count();
        (live >= next.quorum()).then_some(next)
    }

    /// Finds a voter that a learner is ready to replace.
    fn find_dead_voter(&self) -> Option<NodeId> {
        let learner = self.find_ready_learner()?;
        let socket = self.status.membership.learners.get(&learner)?;
        let voters = &self.status.membership.voters;
        let others = || voters.iter().filter(|(node, _)| **node != self.own);
        let replaced = others().find(|(_, voter)| *voter == socket);
        let longest_unresponsive = || {
            others()
                .filter(|(node, _)| self.unresponsive_time(**node) > self.replace_voter_after)
                .max_by_key(|(node, _)| self.unresponsive_time(**node))
        };
        let (dead, _) = replaced.or_else(longest_unresponsive)?;
        Some(*dead)
    }

    fn with_promoted_learner(&self) -> Option<Membership> {
        let mut next = self.status.membership.clone();
        if next.voters.len() >= self.wanted_voters {
            return None;
        }
        let learner = self.find_ready_learner()?;
        let socket = next.learners.remove(&learner)?;
        next.voters.insert(learner, socket);
        Some(next)
    }

    /// Finds a learner that is live and has caught up.
    fn find_ready_learner(&self) -> Option<NodeId> {
        let mut learners = self.status.membership.learners.keys().copied();
        learners.find(|node| self.is_live(*node) && self.has_caught_up(*node))
    }

    fn has_caught_up(&self, node: NodeId) -> bool {
        self.status.matched.iter().any(|(other, index)| {
            *other == node
                && index.0 > 0
                && index.0.saturating_add(CAUGHT_UP_LAG) >= self.status.last_index.0
        })
    }

    fn is_live(&self, node: NodeId) -> bool {
        self.unresponsive_time(node) <= LIVE_WITHIN
    }

    fn unresponsive_time(&self, node: NodeId) -> Milliseconds {
        self.status
            .since_last_contact
            .iter()
            .find(|(other, _)| *other == node)
            .map(|(_, unresponsive_time)| *unresponsive_time)
            .unwrap_or_default()
    }
}
