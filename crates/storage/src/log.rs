//! Content of the log's records, and the state recovered by applying them.

use crate::convert::to_usize;
use consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use types::{LogIndex, Term};

/// Reference to a snapshot file, in a checkpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotReference {
    /// Number in the file's name.
    pub file: u64,
    /// Last index that the snapshot covers.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
}

/// State at the start of a segment, in the segment's first record. With it,
/// recovery needs older segments only for their live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    /// Current hard state.
    pub hard_state: HardState,
    /// Current snapshot; `None` before the first one.
    pub snapshot: Option<SnapshotReference>,
    /// Oldest segment with live entries; older ones are obsolete.
    pub first_segment: u64,
    /// Length of the previous segment in bytes. Recovery detects by it that the
    /// previous segment was truncated between two records.
    pub previous_bytes: u64,
}

/// One batch in the log, as decoded from a record's payload.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Record {
    pub checkpoint: Option<Checkpoint>,
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
}

/// A [`Record`] to encode: the same fields in the same order, with borrowed
/// entries.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct RecordRef<'a> {
    pub checkpoint: Option<Checkpoint>,
    pub hard_state: Option<HardState>,
    pub entries: &'a [Entry],
}

/// Term of a live entry, and number of the segment that contains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryLocation {
    pub term: Term,
    pub segment: u64,
}

/// Hard state, current snapshot, and locations of the live entries after it.
///
/// Entries with higher indexes are never in earlier segments, since an append
/// overwrites all entries from its first index on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct LogState {
    pub hard_state: HardState,
    pub snapshot: Option<SnapshotReference>,
    pub locations: VecDeque<EntryLocation>,
}

impl LogState {
    /// Returns the last index that the snapshot covers, or 0 without a snapshot.
    pub fn base(&self) -> u64 {
        self.snapshot.map_or(0, |snapshot| snapshot.index.0)
    }

    /// Returns the index of the last entry, or [`LogState::base`] if there are no
    /// entries.
    pub fn last_index(&self) -> u64 {
        self.base() + self.locations.len() as u64
    }

    /// Returns whether a snapshot is at least as recent as the current one.
    pub fn accepts_snapshot(&self, snapshot: &Snapshot) -> bool {
        snapshot.meta.index.0 >= self.base()
    }

    /// Makes `snapshot` the current one. The entries after it remain if the log
    /// contains the snapshot's last index with its term; otherwise all entries
    /// are dropped.
    pub fn install(&mut self, snapshot: SnapshotReference) {
        if self.contains(snapshot.index, snapshot.term) {
            let covered = to_usize(snapshot.index.0.saturating_sub(self.base()));
            let covered = covered.min(self.locations.len());
            self.locations.drain(..covered);
        } else {
            self.locations.clear();
        }
        self.snapshot = Some(snapshot);
    }

    /// Returns whether `entries` have consecutive indexes, begin after the snapshot
    /// and leave no gap in the log, once `snapshot` is installed.
    pub fn can_append(&self, snapshot: Option<&Snapshot>, entries: &[Entry]) -> bool {
        let Some(first) = entries.first().map(|entry| entry.index.0) else {
            return true;
        };
        let (base, last) = match snapshot.map(|snapshot| &snapshot.meta) {
            None => (self.base(), self.last_index()),
            Some(meta) if self.contains(meta.index, meta.term) => (meta.index.0, self.last_index()),
            Some(meta) => (meta.index.0, meta.index.0),
        };
        first > base && first <= last + 1 && are_consecutive(entries, first)
    }

    /// Records the locations of entries written to `segment`. They replace all
    /// entries from the first one's index on, and must satisfy
    /// [`LogState::can_append`].
    pub fn append(&mut self, entries: &[Entry], segment: u64) {
        let Some(first) = entries.first() else {
            return;
        };
        let retained = first.index.0.saturating_sub(self.base() + 1);
        self.locations.truncate(to_usize(retained));
        let locations = entries.iter().map(|entry| EntryLocation {
            term: entry.term,
            segment,
        });
        self.locations.extend(locations);
    }

    /// Returns the number of the oldest segment with live entries, or `newest` if
    /// there are none.
    pub fn first_segment(&self, newest: u64) -> u64 {
        self.locations
            .front()
            .map_or(newest, |location| location.segment)
    }

    /// Returns whether the entry at `index` is live, or the last one that the
    /// snapshot covers, and has this term.
    fn contains(&self, index: LogIndex, term: Term) -> bool {
        if let Some(snapshot) = self.snapshot
            && snapshot.index == index
        {
            return snapshot.term == term;
        }
        let Some(position) = index.0.checked_sub(self.base() + 1) else {
            return false;
        };
        let location = self.locations.get(to_usize(position));
        location.is_some_and(|location| location.term == term)
    }
}

fn are_consecutive(entries: &[Entry], first: u64) -> bool {
    let indexes = entries.iter().map(|entry| entry.index.0);
    indexes
        .zip(first..)
        .all(|(index, expected)| index == expected)
}
