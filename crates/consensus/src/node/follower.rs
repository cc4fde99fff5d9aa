//! Handling of appends by a follower (thesis, 3.5).

use super::Node;
use crate::log::{LogPosition, after, before};
use crate::rounds::NO_ROUND;
use crate::snapshot::Chunk;
use crate::{Entry, Message, Payload};
use types::{LogIndex, NodeId, Term};

/// Fields of [`Message::Append`].
struct Append {
    term: Term,
    previous: LogPosition,
    entries: Vec<Entry>,
    commit: LogIndex,
    round: u64,
}

impl Append {
    /// Returns whether the entries follow `previous` without gaps, with terms
    /// that never decrease nor exceed the leader's.
    fn is_well_formed(&self) -> bool {
        let mut last = self.previous;
        for entry in &self.entries {
            let is_next = last.index.0 < u64::MAX && entry.index == after(last.index);
            if !is_next || entry.term < last.term {
                return false;
            }
            last = LogPosition {
                term: entry.term,
                index: entry.index,
            };
        }
        last.term <= self.term
    }
}

/// Result of an append.
enum AppendOutcome {
    /// The log matches the leader's up to this index.
    Matched(LogIndex),
    /// The entry before the append differs or is missing; the logs may match
    /// at `hint`.
    Conflict { hint: LogIndex },
}

impl Node {
    /// Handles a message that only a leader sends.
    pub(super) fn step_follower(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Append {
                term,
                previous_index,
                previous_term,
                entries,
                commit,
                round,
            } => {
                let previous = LogPosition {
                    term: previous_term,
                    index: previous_index,
                };
                let append = Append {
                    term,
                    previous,
                    entries,
                    commit,
                    round,
                };
                self.on_append(from, append);
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
                self.on_snapshot_chunk(from, term, &chunk, round);
            }
            _ => {}
        }
    }

    /// Becomes a follower of `from`, which sent a message as leader of `term`.
    /// Returns false if the term is below the node's own, or if this node is
    /// the leader of that term: such a message is malformed.
    pub(super) fn accept_leader(&mut self, from: NodeId, term: Term) -> bool {
        if term < self.term || (term == self.term && self.role.is_leader()) {
            return false;
        }
        self.become_follower(term, Some(from));
        self.leader_last_contact = Some(self.clock);
        self.reset_election_timer();
        true
    }

    fn on_append(&mut self, from: NodeId, append: Append) {
        if !append.is_well_formed() {
            tracing::warn!(node = %self.id, peer = %from, "rejected malformed append");
            return;
        }
        if !self.accept_leader(from, append.term) {
            self.reply_append(from, false, LogIndex(0), NO_ROUND);
            return;
        }
        match self.append_entries(append.previous, append.entries) {
            AppendOutcome::Matched(index) => {
                self.commit = self.commit.max(append.commit.min(index));
                self.reply_append(from, true, index, append.round);
            }
            AppendOutcome::Conflict { hint } => {
                self.reply_append(from, false, hint, append.round);
            }
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

    /// Appends the entries that follow `previous`.
    fn append_entries(&mut self, previous: LogPosition, entries: Vec<Entry>) -> AppendOutcome {
        if previous.index < before(self.log.first_index()) {
            return AppendOutcome::Matched(self.append_after_base(entries));
        }
        match self.log.term_at(previous.index) {
            Some(term) if term == previous.term => {
                AppendOutcome::Matched(self.merge(previous.index, entries))
            }
            Some(term) => AppendOutcome::Conflict {
                hint: self.hint_before(previous.index, term),
            },
            None => AppendOutcome::Conflict {
                hint: self.log.last_index(),
            },
        }
    }

    /// Appends entries that begin before this log's base and returns the last
    /// index that matches. Entries that the base covers are committed and thus
    /// match; the others follow it.
    fn append_after_base(&mut self, mut entries: Vec<Entry>) -> LogIndex {
        let base = before(self.log.first_index());
        entries.retain(|entry| entry.index > base);
        self.merge(base, entries).max(self.commit)
    }

    /// Appends the entries that are new and returns the last index that
    /// matches. Matching entries remain, since an old message that arrives late
    /// must not truncate the entries of a newer one.
    fn merge(&mut self, previous: LogIndex, entries: Vec<Entry>) -> LogIndex {
        let end = entries.last().map_or(previous, |entry| entry.index);
        for entry in entries {
            let present_term = self.log.term_at(entry.index);
            if present_term == Some(entry.term) {
                continue;
            }
            match present_term {
                Some(_) if entry.index <= self.commit => {
                    tracing::error!(node = %self.id, index = %entry.index,
                        "rejected append: would overwrite a committed entry");
                    return before(entry.index);
                }
                Some(_) => self.truncate_from(entry.index),
                None => {}
            }
            if let Payload::Membership(membership) = &entry.payload {
                self.membership_history
                    .push(entry.index, membership.clone());
            }
            self.log.push(entry.term, entry.payload);
        }
        end
    }

    fn truncate_from(&mut self, index: LogIndex) {
        self.log.truncate_from(index);
        self.membership_history.truncate_from(index);
    }

    /// Returns the last index before the entries of the conflicting `term`, or
    /// the commit index if that is higher (thesis, 3.5, end).
    fn hint_before(&self, index: LogIndex, term: Term) -> LogIndex {
        let mut hint = before(index);
        while hint > self.commit && self.log.term_at(hint) == Some(term) {
            hint = before(hint);
        }
        hint
    }
}
