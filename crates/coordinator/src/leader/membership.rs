//! Admission of new coordinators and replacement of failed ones.
//!
//! The membership changes in single steps. Each step is derived from the
//! membership in force, so a new leader continues where the last one stopped:
//!
//! 1. A coordinator that sends keep-alives and is not a member becomes a
//!    learner.
//! 2. When a learner has caught up, a failed voter is removed: immediately if
//!    the learner has its socket (the voter has lost its disk and identity),
//!    otherwise once it is unresponsive for longer than `replace_voter_after`.
//! 3. While there are fewer voters than the cluster was created with, a learner
//!    that has caught up is promoted.
//!
//! A voter is removed before its replacement is promoted. With three voters, one
//! of which has failed, either order needs the two live voters. But if the
//! removal comes first, the quorum in between consists of voters that are known
//! to work, and the new voter counts only once the group is complete again. A
//! removal is proposed only if the live voters are a quorum of the remaining
//! voters.

use consensus::{Membership, Status};
use std::collections::BTreeMap;
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, NodeId};

/// Number of entries that a learner may lack and still count as caught up.
const CAUGHT_UP_LAG: u64 = 64;
/// Time without contact after which a member no longer counts as live.
const LIVENESS_TIMEOUT: Milliseconds = Milliseconds(1_000);
/// Time without contact after which a learner is removed.
const LEARNER_TIMEOUT: Milliseconds = Milliseconds(60_000);
/// Maximum number of learners at a time.
const MAX_LEARNERS: usize = 3;
/// Time after the last keep-alive of a joiner at which it is removed.
const JOINER_TIMEOUT: Milliseconds = Milliseconds(2_000);

/// Coordinator that requests admission, and when its last keep-alive arrived.
#[derive(Debug)]
struct Joiner {
    address: Address,
    last_seen: Monotonic,
}

/// Coordinators that request admission.
#[derive(Debug, Default)]
pub(super) struct Joiners {
    by_node: BTreeMap<NodeId, Joiner>,
}

impl Joiners {
    /// Records a keep-alive of a coordinator that is not a member.
    pub(super) fn record(&mut self, address: &Address, now: Monotonic) {
        let joiner = Joiner {
            address: address.clone(),
            last_seen: now,
        };
        self.by_node.insert(address.node, joiner);
    }

    /// Removes the joiners whose last keep-alive is too old.
    pub(super) fn expire(&mut self, now: Monotonic) {
        self.by_node
            .retain(|_, joiner| now.since(joiner.last_seen) <= JOINER_TIMEOUT);
    }

    fn find_non_member(&self, membership: &Membership) -> Option<&Address> {
        self.by_node
            .values()
            .map(|joiner| &joiner.address)
            .find(|address| membership.socket(address.node).is_none())
    }
}

/// Configuration version that each other member last reported as applied.
#[derive(Debug, Default)]
pub(super) struct MemberVersions {
    by_node: BTreeMap<NodeId, ConfigurationVersion>,
}

impl MemberVersions {
    /// Records the configuration version of a member, and removes processes that
    /// are no longer members.
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

    /// Returns the configuration version that a member last reported as applied,
    /// or `None` if it has sent no report.
    pub(super) fn get(&self, node: NodeId) -> Option<ConfigurationVersion> {
        self.by_node.get(&node).copied()
    }
}

/// Derives the next membership change from the status of the consensus node and
/// the joiners.
pub(super) struct MembershipPlanner<'a> {
    pub(super) own: NodeId,
    /// Number of voters that the cluster was created with.
    pub(super) wanted_voters: usize,
    /// Time without contact after which a voter is replaced.
    pub(super) replace_voter_after: Milliseconds,
    pub(super) status: &'a Status,
    pub(super) joiners: &'a Joiners,
}

impl MembershipPlanner<'_> {
    /// Returns the next membership to propose, or `None` if no change is needed.
    pub(super) fn next(&self) -> Option<Membership> {
        self.without_stale_learner()
            .or_else(|| self.with_joiner())
            .or_else(|| self.without_failed_voter())
            .or_else(|| self.with_promoted_learner())
    }

    fn without_stale_learner(&self) -> Option<Membership> {
        let learners = &self.status.membership.learners;
        let stale = learners
            .keys()
            .find(|node| self.unresponsive_time(**node) > LEARNER_TIMEOUT)?;
        let mut next = self.status.membership.clone();
        next.learners.remove(stale);
        Some(next)
    }

    fn with_joiner(&self) -> Option<Membership> {
        let joiner = self.joiners.find_non_member(&self.status.membership)?;
        let mut next = self.status.membership.clone();
        // A learner on the same socket had an identity that is lost.
        next.learners.retain(|_, socket| *socket != joiner.socket);
        if next.learners.len() >= MAX_LEARNERS {
            return None;
        }
        next.learners.insert(joiner.node, joiner.socket);
        Some(next)
    }

    fn without_failed_voter(&self) -> Option<Membership> {
        let failed = self.find_failed_voter()?;
        let mut next = self.status.membership.clone();
        next.voters.remove(&failed);
        let live = next
            .voters
            .keys()
            .filter(|node| **node == self.own || self.is_live(**node))
            .count();
        (live >= next.quorum()).then_some(next)
    }

    /// Finds a failed voter for which a learner is ready as a replacement.
    fn find_failed_voter(&self) -> Option<NodeId> {
        let learner = self.find_ready_learner()?;
        let socket = self.status.membership.learners.get(&learner)?;
        let voters = &self.status.membership.voters;
        let others = || voters.iter().filter(|(node, _)| **node != self.own);
        let with_same_socket = others().find(|(_, voter)| *voter == socket);
        let longest_unresponsive = || {
            others()
                .filter(|(node, _)| self.unresponsive_time(**node) > self.replace_voter_after)
                .max_by_key(|(node, _)| self.unresponsive_time(**node))
        };
        let (failed, _) = with_same_socket.or_else(longest_unresponsive)?;
        Some(*failed)
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
        self.unresponsive_time(node) <= LIVENESS_TIMEOUT
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
