//! The leader's lease and check-quorum.
//!
//! Why two nodes never hold the lease at once, given clocks of equal rate:
//! a follower that takes a message of a live leader grants no vote for one
//! election timeout from its receipt. The leader dates the lease from when it
//! began the round that the follower echoes, which is no later, and lets it
//! run for less than the election timeout. A new leader needs the vote of
//! some member of every quorum, thus of one that answered the round, and that
//! vote comes after the old lease ended. A voter that restarts has forgotten
//! its promise and therefore waits a whole election timeout. The one vote
//! that is given despite the promise is that of a leadership transfer, see
//! [`crate::transfer`]. The clock counts through a freeze, so a leader that
//! wakes finds its rounds too old before it can act.

use crate::node::{Leadership, Role};
use crate::{Mutation, Node};
use std::collections::VecDeque;
use types::{Milliseconds, Monotonic, NodeId};

/// The round echoed to a leader of an earlier term. Rounds are counted anew in
/// each term, and the same node may lead again by the time the answer arrives:
/// an echo of the old round would stretch its new lease without any promise.
pub(crate) const NO_ROUND: u64 = 0;

/// The rounds of heartbeats begun in this term, and when; the first is 1.
#[derive(Debug)]
pub(crate) struct Rounds {
    current: u64,
    begun: VecDeque<(u64, Monotonic)>,
}

impl Rounds {
    pub fn new() -> Self {
        Self {
            current: NO_ROUND,
            begun: VecDeque::new(),
        }
    }

    pub fn current(&self) -> u64 {
        self.current
    }

    /// Begins a round and forgets those begun longer than `keep` ago.
    pub fn begin(&mut self, now: Monotonic, keep: Milliseconds) {
        self.current += 1;
        self.begun.push_back((self.current, now));
        while self
            .begun
            .front()
            .is_some_and(|(_, at)| now.since(*at) > keep)
        {
            self.begun.pop_front();
        }
    }

    /// When a round was begun; none if unknown or too long ago to matter.
    pub fn begun_at(&self, round: u64) -> Option<Monotonic> {
        let found = self
            .begun
            .binary_search_by_key(&round, |(number, _)| *number);
        let (_, at) = self.begun.get(found.ok()?)?;
        Some(*at)
    }
}

impl Leadership {
    /// The latest moment such that a quorum answered a round begun then or
    /// later; the leader's own answer is always fresh.
    fn quorum_answered_at(&self, node: &Node, now: Monotonic) -> Option<Monotonic> {
        let voters = &node.membership().voters;
        let answered = |voter: &NodeId| match self.progress.get(voter) {
            _ if *voter == node.id => Some(now),
            Some(progress) => progress.answered_round,
            None => None,
        };
        let mut times: Vec<Option<Monotonic>> = voters.keys().map(answered).collect();
        times.sort_unstable();
        let quorum = node.membership().quorum();
        times.into_iter().rev().nth(quorum - 1).flatten()
    }
}

impl Node {
    /// Returns whether this node leads, has committed an entry of its own term, and
    /// a quorum answered a round begun less than the lease ago. To be asked
    /// after every wake and just before each effect.
    pub fn holds_lease(&self, now: Monotonic) -> bool {
        let now = now.max(self.clock);
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        if leadership.handed_over() && !self.options.has(Mutation::LeaseDuringTransfer) {
            return false;
        }
        let answered = leadership.quorum_answered_at(self, now);
        self.has_committed_own_term()
            && answered.is_some_and(|at| now.since(at) < self.options.leader_lease)
    }

    /// Returns whether this node leads and has committed an entry of its own term.
    pub(crate) fn has_committed_own_term(&self) -> bool {
        match &self.role {
            Role::Leader(leadership) => self.commit >= leadership.first_index,
            _ => false,
        }
    }

    /// Records that a follower answered in the leader's own term.
    pub(crate) fn record_answer(&mut self, from: NodeId, round: u64) {
        let now = self.clock;
        let from_reply = self.options.has(Mutation::LeaseFromReply);
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let mut begun = leadership.rounds.begun_at(round);
        let trip = begun.map(|begun| now.since(begun));
        if from_reply {
            begun = Some(now);
        }
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact = now;
        progress.answered_round = progress.answered_round.max(begun);
        // Its first answer to a round: later ones answer entries sent since.
        if round > progress.last_round
            && let Some(trip) = trip
        {
            progress.last_round = round;
            self.record_round_trip(from, trip);
        }
    }

    /// True unless this node leads and has heard no quorum for an election
    /// timeout.
    pub(crate) fn hears_quorum(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return true;
        };
        let answered_recently = |voter: &&NodeId| {
            let unanswered_for = match leadership.progress.get(voter) {
                _ if **voter == self.id => Milliseconds(0),
                Some(progress) => self.clock.since(progress.last_contact),
                None => return false,
            };
            unanswered_for < self.options.election_timeout
        };
        let membership = self.membership();
        membership.voters.keys().filter(answered_recently).count() >= membership.quorum()
    }
}
