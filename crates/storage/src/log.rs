//! Content of the log's records, and the state that they add up to.

use crate::convert::to_usize;
use consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use types::{LogIndex, Term};

/// Reference to the snapshot file in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotReference {
    /// Number of the file.
    pub file: u64,
    /// Last index that the snapshot covers.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
}

/// State at the begin of a segment, in its first record. With it older segments
/// are needed only for their live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    /// Hard state in force.
    pub hard_state: HardState,
    /// Snapshot in force.
    pub snapshot: Option<SnapshotReference>,
    /// Oldest segment with live entries; older ones are obsolete.
    pub first_segment: u64,
    /// Length of the previous segment in bytes, which shows if that segment is
    /// truncated between two records.
    pub previous_bytes: u64,
}

/// One batch in the log.
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

/// Term of a live entry, and the segment that contains it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryLocation {
    pub term: Term,
    pub segment: u64,
}

/// Hard state, snapshot in force, and locations of the live entries after it.
/// Later entries are never in earlier segments, since an append overwrites all
/// entries from its first index on.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct LogState {
    pub hard_state: HardState,
    pub snapshot: Option<SnapshotReference>,
    pub locations: VecDeque<EntryLocation>,
}

impl LogState {
    /// Last index that the snapshot covers, or 0.
    pub fn base(&self) -> u64 {
        self.snapshot.map_or(0, |snapshot| snapshot.index.0)
    }

    /// Index of the last entry, or of the snapshot.
    pub fn last_index(&self) -> u64 {
        self.base() + self.locations.len() as u64
    }

    /// Returns whether a snapshot is not older than the one in force.
    pub fn accepts_snapshot(&self, snapshot: &Snapshot) -> bool {
        snapshot.meta.index.0 >= self.base()
    }

    /// Puts a snapshot in force. The entries after it remain if the log has the
    /// snapshot's last index with its term; otherwise the whole log is dropped.
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

    /// Returns whether entries follow the log, once the given snapshot is in
    /// force.
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

    /// Records entries that are written to a segment. They replace those from
    /// the first one's index on, and must satisfy [`LogState::can_append`].
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

    /// Oldest segment with live entries; `newest` if there are none.
    pub fn first_segment(&self, newest: u64) -> u64 {
        self.locations
            .front()
            .map_or(newest, |location| location.segment)
    }

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
