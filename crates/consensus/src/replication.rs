//! The leader's side of replication: rounds, replies and commit.

use crate::lease::NO_ROUND;
use crate::node::{Leadership, Role};
use crate::progress::{Progress, Source};
use crate::{Message, Node};
use types::{LogIndex, Monotonic, NodeId, Term};

impl Leadership {
    /// Drops those that are members no more and begins with the new ones.
    pub(crate) fn follow_members(
        &mut self,
        others: &[NodeId],
        last_index: LogIndex,
        now: Monotonic,
    ) {
        self.progress.retain(|node, _| others.contains(node));
        for node in others {
            self.progress
                .entry(*node)
                .or_insert_with(|| Progress::new(last_index, now));
        }
    }
}

impl Node {
    /// Takes a follower's answer.
    pub(crate) fn step_leader(&mut self, from: NodeId, message: Message) {
        match message {
            Message::AppendReply {
                term,
                success,
                index,
                round,
            } => self.on_append_reply(from, term, success, index, round),
            Message::SnapshotReply {
                term,
                index,
                next_offset,
                round,
            } => self.on_snapshot_reply(from, term, index, next_offset, round),
            _ => {}
        }
    }

    /// Sends entries to every member whose window is open.
    pub(crate) fn replicate(&mut self) {
        self.for_each_member(Progress::pump);
    }

    /// Begins a round of heartbeats.
    pub(crate) fn begin_round(&mut self) {
        let keep = self.options.election_timeout;
        if let Role::Leader(leadership) = &mut self.role {
            leadership.rounds.begin(self.clock, keep);
            leadership.next_heartbeat = self.clock + self.options.heartbeat_interval;
        }
        self.for_each_member(Progress::heartbeat);
    }

    fn for_each_member(
        &mut self,
        send: impl Fn(&mut Progress, &Source<'_>, NodeId, &mut Vec<crate::Outgoing>),
    ) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let source = Source {
            term: self.term,
            commit: self.commit,
            round: leadership.rounds.current(),
            now: self.clock,
            log: &self.log,
            snapshot: self.snapshot.as_ref(),
            options: &self.options,
        };
        for (node, progress) in &mut leadership.progress {
            send(progress, &source, *node, &mut self.outbox.messages);
        }
    }

    fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        success: bool,
        index: LogIndex,
        round: u64,
    ) {
        self.step_down_for(term);
        if term != self.term || round == NO_ROUND || index > self.log.last_index() {
            return;
        }
        self.record_answer(from, round);
        let now = self.clock;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        if success {
            progress.succeed(index, &self.log, now);
            self.advance_commit();
            self.advance_transfer();
        } else {
            progress.fail(index);
        }
    }

    /// Commits what a quorum has synced, if it is of this term: an entry of
    /// an earlier term that a quorum holds can still be overwritten. This
    /// node's own copy counts once it is synced.
    pub(crate) fn advance_commit(&mut self) {
        let Some(index) = self.quorum_matched() else {
            return;
        };
        let own_term = self.log.term_at(index) == Some(self.term);
        if index > self.commit && own_term {
            self.commit = index;
            self.leave_if_removed();
        }
    }

    fn quorum_matched(&self) -> Option<LogIndex> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let matched = |voter: &NodeId| match leadership.progress.get(voter) {
            _ if *voter == self.id => self.log.synced(),
            Some(progress) => progress.matched,
            None => LogIndex(0),
        };
        let membership = self.membership();
        let mut indexes: Vec<LogIndex> = membership.voters.keys().map(matched).collect();
        indexes.sort_unstable();
        indexes.into_iter().rev().nth(membership.quorum() - 1)
    }

    /// A leader that removed itself leads until that is committed, then has
    /// the most advanced voter stand and steps down.
    fn leave_if_removed(&mut self) {
        if self.is_voter() || self.history.current_index() > self.commit {
            return;
        }
        self.begin_round();
        if let Some(to) = self.furthest_voter() {
            self.send(to, Message::TimeoutNow { term: self.term });
        }
        self.become_follower(self.term, None);
    }
}
