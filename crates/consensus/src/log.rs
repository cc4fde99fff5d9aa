//! The log in memory: the entries after a base, and the index up to which they
//! are synced.

use crate::{Entry, Payload};
use std::collections::VecDeque;
use types::{LogIndex, Term};

/// Bytes that an entry counts in a batch besides its payload.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Returns the index after `index`. Indexes come from the network, so the
/// addition saturates.
pub(crate) fn after(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_add(1))
}

/// Returns the index before `index`, or 0.
pub(crate) fn before(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_sub(1))
}

/// Returns the size of an entry as counted for batches, in bytes.
fn counted_bytes(entry: &Entry) -> usize {
    entry.payload.bytes().saturating_add(ENTRY_OVERHEAD_BYTES)
}

/// Term and index of an entry, in the order in which elections compare logs
/// (thesis, 3.6.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    pub term: Term,
    pub index: LogIndex,
}

/// The log entries after a base, which is the last compacted entry. All entries
/// up to the base are known to be committed.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// Index of the first entry that was not yet handed out to be written.
    unwritten_from: LogIndex,
    /// Last index known to be synced on this node's own disk.
    synced: LogIndex,
}

impl Log {
    /// Creates a log whose base and entries are all on disk. Leaves out entries
    /// that do not follow the base without gaps.
    pub fn new(base_index: LogIndex, base_term: Term, recovered: Vec<Entry>) -> Self {
        let mut entries = VecDeque::new();
        let mut next = after(base_index);
        for entry in recovered {
            if entry.index == next {
                next = after(next);
                entries.push_back(entry);
            }
        }
        Self {
            base_index,
            base_term,
            entries,
            unwritten_from: next,
            synced: before(next),
        }
    }

    /// Returns the index after the base.
    pub fn first_index(&self) -> LogIndex {
        after(self.base_index)
    }

    /// Returns the index of the last entry, or of the base if there is none.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |e| e.index)
    }

    /// Returns the term of the last entry, or of the base if there is none.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the position of the last entry, or of the base if there is none.
    pub fn end(&self) -> LogPosition {
        LogPosition {
            term: self.last_term(),
            index: self.last_index(),
        }
    }

    /// Returns the last index known to be synced on this node's own disk.
    pub fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Returns the term of the entry at `index`; `None` before the base and
    /// after the last entry.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`; `None` if it is not in memory.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let distance = index.0.checked_sub(self.base_index.0)?;
        usize::try_from(distance.checked_sub(1)?).ok()
    }

    /// Returns the entries after the base in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Returns the entries from `from` on, as many as fit in `max_bytes` but at
    /// least one.
    pub fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0_usize;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(start) {
            bytes = bytes.saturating_add(counted_bytes(entry));
            if !batch.is_empty() && bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Returns the entries from `from` to `to`, both included.
    pub fn range(&self, from: LogIndex, to: LogIndex) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        self.entries
            .iter()
            .skip(start)
            .take_while(|entry| entry.index <= to)
            .cloned()
            .collect()
    }

    /// Appends the next entry and returns its index.
    pub fn push(&mut self, term: Term, payload: Payload) -> LogIndex {
        let index = after(self.last_index());
        self.entries.push_back(Entry {
            index,
            term,
            payload,
        });
        index
    }

    /// Removes the entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let Some(length) = self.position(index) else {
            return;
        };
        self.entries.truncate(length);
        self.unwritten_from = self.unwritten_from.min(index);
        self.synced = self.synced.min(before(index));
    }

    /// Returns the entries that were not yet handed out to be written, and
    /// counts them as handed out.
    pub fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.range(self.unwritten_from, self.last_index());
        self.unwritten_from = after(self.last_index());
        entries
    }

    /// Records that the log is synced up to `end`. If the log no longer has
    /// that entry, a later batch overwrote it, and nothing is recorded. If the
    /// log has it, it also has all entries before it (Log Matching Property,
    /// thesis 3.5).
    pub fn mark_synced(&mut self, end: LogPosition) {
        if self.term_at(end.index) == Some(end.term) {
            self.synced = self.synced.max(end.index);
        }
    }

    /// Moves the base up to `index`. A synced snapshot must cover the removed
    /// entries.
    pub fn compact(&mut self, index: LogIndex) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        while self.entries.front().is_some_and(|e| e.index <= index) {
            self.entries.pop_front();
        }
        if index > self.base_index {
            self.base_index = index;
            self.base_term = term;
        }
    }

    /// Records that a synced snapshot covers everything up to `index`, which
    /// thus counts as synced.
    pub fn mark_covered(&mut self, index: LogIndex) {
        self.synced = self.synced.max(index.min(self.last_index()));
    }

    /// Makes a received snapshot the base. The entries after it remain only if
    /// the log has the last entry that the snapshot covers. The base counts as
    /// synced once the batch that carries the snapshot is synced.
    pub fn install(&mut self, index: LogIndex, term: Term) {
        if self.term_at(index) == Some(term) {
            self.compact(index);
            self.unwritten_from = self.unwritten_from.max(after(index));
            return;
        }
        self.entries.clear();
        self.base_index = index;
        self.base_term = term;
        self.unwritten_from = after(index);
        self.synced = self.synced.min(index);
    }
}
