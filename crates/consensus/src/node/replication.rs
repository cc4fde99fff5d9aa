//! Replication at the leader: rounds, replies and commit (thesis, 3.5, 3.6.2).

use super::Node;
use crate::progress::{Progress, SendContext};
use crate::rounds::NO_ROUND;
use crate::{Message, Outgoing};
use types::{LogIndex, NodeId, Term};

impl Node {
    /// Handles a follower's reply to an append or to a chunk of a snapshot.
    pub(super) fn step_leader(&mut self, from: NodeId, message: &Message) {
        match *message {
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

    /// Sends entries or chunks of a snapshot to every member that may receive
    /// more in flight.
    pub(super) fn replicate(&mut self) {
        self.send_to_members(Progress::send_available);
    }

    /// Begins a round and sends its heartbeats.
    pub(super) fn begin_round(&mut self) {
        if let Some(leadership) = self.role.leadership_mut() {
            leadership.begin_round(self.clock, &self.options);
        }
        self.send_to_members(Progress::send_heartbeat_round);
    }

    fn send_to_members(
        &mut self,
        send: impl Fn(&mut Progress, &SendContext<'_>, NodeId, &mut Vec<Outgoing>),
    ) {
        let Some(leadership) = self.role.leadership_mut() else {
            return;
        };
        let context = SendContext {
            term: self.term,
            commit: self.commit,
            round: leadership.current_round(),
            now: self.clock,
            log: &self.log,
            snapshot: self.snapshot.as_ref(),
            options: &self.options,
        };
        leadership.send_to_members(&context, &mut self.outbox.messages, send);
    }

    fn on_append_reply(
        &mut self,
        from: NodeId,
        term: Term,
        success: bool,
        index: LogIndex,
        round: u64,
    ) {
        self.step_down_if_outdated(term);
        if term != self.term || round == NO_ROUND || index > self.log.last_index() {
            return;
        }
        self.record_reply(from, round);
        let leadership = self.role.leadership_mut();
        let Some(progress) = leadership.and_then(|leadership| leadership.member_mut(from)) else {
            return;
        };
        if success {
            progress.record_match(index, &self.log, self.clock);
            self.advance_commit();
            self.advance_transfer();
        } else {
            progress.record_reject(index);
        }
    }

    /// Commits the entries that a quorum has synced, if the last one is of this
    /// term: an entry of an earlier term can still be overwritten although a
    /// quorum has it (thesis, 3.6.2). This node's own copy counts once it is
    /// synced.
    pub(super) fn advance_commit(&mut self) {
        let Some(index) = self.quorum_matched() else {
            return;
        };
        let is_own_term = self.log.term_at(index) == Some(self.term);
        if index > self.commit && is_own_term {
            self.commit = index;
            self.step_down_if_removed();
        }
    }

    fn quorum_matched(&self) -> Option<LogIndex> {
        let leadership = self.role.leadership()?;
        leadership.quorum_matched(self.id, self.membership(), self.log.synced())
    }

    /// Steps down once a membership without this node is committed: a leader
    /// that removed itself leads until then (thesis, 4.2.2). Before that, has
    /// the voter with the longest log start an election.
    fn step_down_if_removed(&mut self) {
        if self.is_voter() || self.membership_history.current_index() > self.commit {
            return;
        }
        self.begin_round();
        if let Some(to) = self.voter_with_longest_log() {
            self.send(to, Message::TimeoutNow { term: self.term });
        }
        self.become_follower(self.term, None);
    }
}
