//! Taking in coordinators and replacing lost ones.
//!
//! One change at a time, each derived anew from what is in force, so that a
//! new leader goes on where the last one stopped:
//!
//! 1. A coordinator outside the membership that says keep-alive becomes a learner.
//! 2. When a learner has caught up, a dead voter is removed: at once the one
//!    whose socket the learner has (its disk and identity are gone), otherwise
//!    one that has been silent for longer than `replace_voter_after`.
//! 3. While there are fewer voters than the cluster began with, a learner that
//!    has caught up is promoted.
//!
//! The removal comes before the promotion. With three voters, one of them
//! dead, both orders need the two live voters to go on; but the removal first
//! lets decisions rest in between on processes that have proven themselves,
//! and the new one counts only when the group is whole again. A removal is
//! proposed only if the voters heard lately are a quorum of what remains.

use crate::Coordinator;
use crate::leader::Leader;
use consensus::{Membership, Status};
use std::collections::BTreeMap;
use types::{Address, Milliseconds, Monotonic, NodeId, Now};

const CHECK_INTERVAL: Milliseconds = Milliseconds(100);
/// Entries a learner may lack and still count as caught up.
const CAUGHT_UP_LAG: u64 = 64;
/// A member silent for longer is not counted as live.
const LIVE_WITHIN: Milliseconds = Milliseconds(1_000);
/// A learner silent for this long is removed.
const DROP_LEARNER_AFTER: Milliseconds = Milliseconds(60_000);
/// Learners at once.
const MAX_LEARNERS: usize = 3;
/// A keep-alive of a joiner counts for this long.
const JOINER_VALID: Milliseconds = Milliseconds(2_000);

/// Coordinators that asked to be taken in.
#[derive(Debug, Default)]
pub(crate) struct Joiners {
    joiners: BTreeMap<NodeId, (Address, Monotonic)>,
}

impl Joiners {
    pub(crate) fn record(&mut self, address: &Address, now: Monotonic) {
        self.joiners.insert(address.node, (address.clone(), now));
    }

    fn forget_unresponsive(&mut self, now: Monotonic) {
        self.joiners
            .retain(|_, (_, last_seen)| now.since(*last_seen) <= JOINER_VALID);
    }

    fn waiting(&self, membership: &Membership) -> Option<&Address> {
        self.joiners
            .values()
            .map(|(address, _)| address)
            .find(|address| membership.socket(address.node).is_none())
    }
}

impl Coordinator {
    /// Proposes the next change of the membership, if one is due.
    pub(crate) fn drive_membership(&mut self, now: Now) {
        let (Some(leader), Some(replica)) = (&mut self.leader, &mut self.replica) else {
            return;
        };
        if now.monotonic < leader.timers.membership {
            return;
        }
        leader.timers.membership = now.monotonic + CHECK_INTERVAL;
        leader.joiners.forget_unresponsive(now.monotonic);
        let status = replica.node.status(now.monotonic);
        let Some(next) = leader.next_membership(&status) else {
            return;
        };
        match replica.node.propose_membership(now.monotonic, next.clone()) {
            Ok(_) => tracing::info!(?next, "membership change proposed"),
            Err(reason) => tracing::debug!(%reason, "membership change not possible yet"),
        }
    }
}

impl Leader {
    fn next_membership(&self, status: &Status) -> Option<Membership> {
        let view = View { status };
        view.without_stale_learner()
            .or_else(|| self.with_joiner(status))
            .or_else(|| self.without_dead_voter(&view))
            .or_else(|| self.with_promoted_learner(&view))
    }

    fn with_joiner(&self, status: &Status) -> Option<Membership> {
        let joiner = self.joiners.waiting(&status.membership)?;
        let mut next = status.membership.clone();
        // An earlier identity on the socket is gone for good.
        next.learners.retain(|_, socket| *socket != joiner.socket);
        if next.learners.len() >= MAX_LEARNERS {
            return None;
        }
        next.learners.insert(joiner.node, joiner.socket);
        Some(next)
    }

    fn without_dead_voter(&self, view: &View<'_>) -> Option<Membership> {
        let learner = view.ready_learner()?;
        let socket = view.status.membership.learners.get(&learner)?;
        let voters = &view.status.membership.voters;
        let others = || {
            voters
                .iter()
                .filter(|(node, _)| **node != self.identity.own.node)
        };
        let replaced = others().find(|(_, voter)| *voter == socket);
        let unresponsive = || {
            others()
                .filter(|(node, _)| {
                    view.unresponsive_time(**node) > self.options.replace_voter_after
                })
                .max_by_key(|(node, _)| view.unresponsive_time(**node))
        };
        let (dead, _) = replaced.or_else(unresponsive)?;
        let mut next = view.status.membership.clone();
        next.voters.remove(dead);
        let live = next
            .voters
            .keys()
            .filter(|node| **node == self.identity.own.node || view.is_live(**node))
            .count();
        (live >= next.quorum()).then_some(next)
    }

    fn with_promoted_learner(&self, view: &View<'_>) -> Option<Membership> {
        let mut next = view.status.membership.clone();
        if next.voters.len() >= self.options.initial_coordinators as usize {
            return None;
        }
        let learner = view.ready_learner()?;
        let socket = next.learners.remove(&learner)?;
        next.voters.insert(learner, socket);
        Some(next)
    }
}

/// The group as its leader sees it.
struct View<'a> {
    status: &'a Status,
}

impl View<'_> {
    fn unresponsive_time(&self, node: NodeId) -> Milliseconds {
        self.status
            .since_last_contact
            .iter()
            .find(|(other, _)| *other == node)
            .map(|(_, unresponsive_time)| *unresponsive_time)
            .unwrap_or_default()
    }

    fn is_live(&self, node: NodeId) -> bool {
        self.unresponsive_time(node) <= LIVE_WITHIN
    }

    /// A learner that is live and has caught up.
    fn ready_learner(&self) -> Option<NodeId> {
        let caught_up = |node: &NodeId| {
            self.status.matched.iter().any(|(other, index)| {
                other == node
                    && index.0 > 0
                    && index.0.saturating_add(CAUGHT_UP_LAG) >= self.status.last_index.0
            })
        };
        self.status
            .membership
            .learners
            .keys()
            .copied()
            .find(|node| self.is_live(*node) && caught_up(node))
    }

    fn without_stale_learner(&self) -> Option<Membership> {
        let stale = self
            .status
            .membership
            .learners
            .keys()
            .find(|node| self.unresponsive_time(**node) > DROP_LEARNER_AFTER)?;
        let mut next = self.status.membership.clone();
        next.learners.remove(stale);
        Some(next)
    }
}
