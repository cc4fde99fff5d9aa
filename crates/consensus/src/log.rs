//! The log in memory: a base, the entries after it, and the index up to which
//! they are synced.

use crate::{Entry, Payload};
use std::collections::VecDeque;
use types::{LogIndex, Term};

/// Bytes an entry takes besides its payload, as counted for batches.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The index after `index`. Indexes come from the network, so this never
/// overflows.
pub(crate) fn after(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_add(1))
}

/// The index before `index`, or 0.
pub(crate) fn before(index: LogIndex) -> LogIndex {
    LogIndex(index.0.saturating_sub(1))
}

/// The bytes an entry is counted with.
fn size_of(entry: &Entry) -> usize {
    entry.payload.bytes().saturating_add(ENTRY_OVERHEAD_BYTES)
}

/// Term and index of an entry, in the order in which elections compare logs
/// (thesis, 3.6.1).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LogPosition {
    pub term: Term,
    pub index: LogIndex,
}

/// The entries after a base that is known committed.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: LogIndex,
    base_term: Term,
    entries: VecDeque<Entry>,
    /// First index that was not yet handed out to be written.
    unwritten_from: LogIndex,
    /// Last index known synced on this node's own disk.
    synced: LogIndex,
}

impl Log {
    /// A log whose base and entries are all on disk. Entries that do not
    /// follow the base without holes are left out.
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

    /// Index after the base.
    pub fn first_index(&self) -> LogIndex {
        after(self.base_index)
    }

    /// Index of the last entry, or of the base.
    pub fn last_index(&self) -> LogIndex {
        self.entries.back().map_or(self.base_index, |e| e.index)
    }

    /// Term of the last entry, or of the base.
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Position of the last entry, or of the base.
    pub fn end(&self) -> LogPosition {
        LogPosition {
            term: self.last_term(),
            index: self.last_index(),
        }
    }

    /// Last index known synced on this node's own disk.
    pub fn synced(&self) -> LogIndex {
        self.synced
    }

    /// Term of the entry at `index`; none before the base and after the end.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is in memory.
    pub fn get(&self, index: LogIndex) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    fn position(&self, index: LogIndex) -> Option<usize> {
        let distance = index.0.checked_sub(self.base_index.0)?;
        usize::try_from(distance.checked_sub(1)?).ok()
    }

    /// All entries held, from the first to the last.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Entries from `from` on, as many as fit in `max_bytes` but at least one.
    pub fn batch(&self, from: LogIndex, max_bytes: usize) -> Vec<Entry> {
        let Some(start) = self.position(from) else {
            return Vec::new();
        };
        let mut bytes = 0_usize;
        let mut batch = Vec::new();
        for entry in self.entries.iter().skip(start) {
            bytes = bytes.saturating_add(size_of(entry));
            if !batch.is_empty() && bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Entries from `from` to `to`, both included.
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

    /// Drops the entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        let Some(length) = self.position(index) else {
            return;
        };
        self.entries.truncate(length);
        self.unwritten_from = self.unwritten_from.min(index);
        self.synced = self.synced.min(before(index));
    }

    /// Takes the entries that were not yet handed out to be written.
    pub fn take_unwritten(&mut self) -> Vec<Entry> {
        let entries = self.range(self.unwritten_from, self.last_index());
        self.unwritten_from = after(self.last_index());
        entries
    }

    /// Records that the log is synced up to `end`. If that entry is gone, a
    /// later batch overwrote it and nothing is recorded; if it is present, so
    /// is all before it (Log Matching Property, thesis 3.5).
    pub fn mark_synced(&mut self, end: LogPosition) {
        if self.term_at(end.index) == Some(end.term) {
            self.synced = self.synced.max(end.index);
        }
    }

    /// Moves the base up to `index`; what lies before is in a synced snapshot.
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

    /// Records that a synced snapshot covers everything up to `index`.
    pub fn cover(&mut self, index: LogIndex) {
        self.synced = self.synced.max(index.min(self.last_index()));
    }

    /// Installs a received snapshot as base. The tail is kept only if the log
    /// held the snapshot's last entry. The base counts as synced once the
    /// batch that carries the snapshot is.
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
