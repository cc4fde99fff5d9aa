//! A follower's side of replication.

use crate::lease::NO_ROUND;
use crate::log::{after, before};
use crate::node::Role;
use crate::snapshot::Chunk;
use crate::{Entry, Message, Node, Payload};
use types::{LogIndex, NodeId, Term};

impl Node {
    /// Takes a message that only a leader sends.
    pub(crate) fn step_follower(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Append {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            } => {
                let previous = (previous_index, previous_term);
                self.on_append(from, term, previous, entries, commit, round);
            }
            Message::SnapshotChunk {
                term,
                meta,
                offset,
                total,
                data,
                round,
            } => {
                let chunk = Chunk {
                    meta,
                    offset,
                    total,
                    data,
                };
                self.on_snapshot_chunk(from, term, chunk, round);
            }
            _ => {}
        }
    }

    /// Takes a message of a leader of `term`. Returns false if it is of an
    /// earlier term, or if this node itself leads that term, which only a
    /// malformed message can claim.
    pub(crate) fn hear_leader(&mut self, from: NodeId, term: Term) -> bool {
        let is_leader = matches!(self.role, Role::Leader(_));
        if term < self.term || (term == self.term && is_leader) {
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_last_contact = Some(self.clock);
        self.reset_election_deadline();
        true
    }

    fn on_append(
        &mut self,
        from: NodeId,
        term: Term,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
    ) {
        if !is_well_formed(term, previous, &entries) {
            tracing::warn!(node = %self.id, peer = %from, "rejected malformed append");
            return;
        }
        if !self.hear_leader(from, term) {
            self.reply_append(from, false, LogIndex(0), NO_ROUND);
            return;
        }
        match self.take_entries(previous, entries) {
            Ok(equal) => {
                self.commit = self.commit.max(commit.min(equal));
                self.reply_append(from, true, equal, round);
            }
            Err(hint) => self.reply_append(from, false, hint, round),
        }
    }

    fn reply_append(&mut self, to: NodeId, success: bool, index: LogIndex, round: u64) {
        let reply = Message::AppendReply {
            term: self.term,
            success,
            index,
            round,
        };
        self.send_after_persist(to, reply);
    }

    /// Takes the entries that follow `previous`. Returns the last index known
    /// equal to the leader's, or a hint where the logs may still be equal.
    fn take_entries(
        &mut self,
        previous: (LogIndex, Term),
        entries: Vec<Entry>,
    ) -> Result<LogIndex, LogIndex> {
        let (previous_index, previous_term) = previous;
        if previous_index < before(self.log.first_index()) {
            return Ok(self.take_after_base(entries));
        }
        match self.log.term_at(previous_index) {
            Some(term) if term == previous_term => Ok(self.merge(previous_index, entries)),
            Some(term) => Err(self.hint_before(previous_index, term)),
            None => Err(self.log.last_index()),
        }
    }

    /// Entries that begin before this log's base: what the base covers is
    /// committed and thus equal; the rest follows it.
    fn take_after_base(&mut self, mut entries: Vec<Entry>) -> LogIndex {
        let base = before(self.log.first_index());
        entries.retain(|entry| entry.index > base);
        self.merge(base, entries).max(self.commit)
    }

    /// Appends what is new. Entries already held stay, since an older message
    /// that comes late must not cut what a newer one brought.
    fn merge(&mut self, previous: LogIndex, entries: Vec<Entry>) -> LogIndex {
        let end = entries.last().map_or(previous, |entry| entry.index);
        for entry in entries {
            match self.log.term_at(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) if entry.index <= self.commit => {
                    tracing::error!(node = %self.id, index = %entry.index,
                        "rejected append: would overwrite a committed entry");
                    return before(entry.index);
                }
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            if let Payload::Membership(membership) = &entry.payload {
                self.history.push(entry.index, membership.clone());
            }
            self.log.push(entry.term, entry.payload);
        }
        end
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.history.truncate_from(index);
    }

    /// The last index before the run of entries with the conflicting `term`.
    fn hint_before(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut hint = before(index);
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint = before(hint);
        }
        hint
    }
}

/// True if the entries follow `previous` without holes and with terms that
/// never fall nor exceed the leader's.
fn is_well_formed(term: Term, previous: (LogIndex, Term), entries: &[Entry]) -> bool {
    let (mut index, mut last_term) = previous;
    for entry in entries {
        let follows = index.0 < u64::MAX && entry.index == after(index);
        if !follows || entry.term < last_term {
            return false;
        }
        index = entry.index;
        last_term = entry.term;
    }
    last_term <= term
}
