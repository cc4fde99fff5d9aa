//! What the log's records say, and what the store remembers of them.

use consensus::{Entry, HardState, Snapshot};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use types::{LogIndex, Term};

/// Which snapshot file is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotMark {
    /// Number of the file.
    pub file: u64,
    /// Last index it covers.
    pub index: LogIndex,
    /// Term of that index.
    pub term: Term,
}

/// First record of each segment: all that older segments would be needed for,
/// but their live entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Checkpoint {
    /// Hard state in force.
    pub hard_state: HardState,
    /// Snapshot in force.
    pub snapshot: Option<SnapshotMark>,
    /// Oldest segment that holds live entries; older ones are leftovers.
    pub first_segment: u64,
    /// Length of the segment before this one, so that one cut short between
    /// two records is noticed.
    pub previous_bytes: u64,
}

/// One batch, as it stands in the log: whole or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct Record {
    pub checkpoint: Option<Checkpoint>,
    pub hard_state: Option<HardState>,
    pub entries: Vec<Entry>,
}

/// A [`Record`] to be encoded; the same fields in the same order.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct RecordParts<'a> {
    pub checkpoint: Option<Checkpoint>,
    pub hard_state: Option<HardState>,
    pub entries: &'a [Entry],
}

/// Where a live entry stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryLocation {
    pub term: Term,
    pub segment: u64,
}

/// Hard state, snapshot and places of the live entries behind it. Later
/// entries never stand in earlier segments, since an overwrite revocations all that
/// follow it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct LogState {
    pub hard_state: HardState,
    pub snapshot: Option<SnapshotMark>,
    pub locations: VecDeque<EntryLocation>,
}

impl LogState {
    /// Last index the snapshot covers, or zero.
    pub fn base(&self) -> u64 {
        self.snapshot.map_or(0, |mark| mark.index.0)
    }

    /// Last index of the log.
    pub fn last_index(&self) -> u64 {
        self.base() + self.locations.len() as u64
    }

    /// Whether a snapshot is newer than, or a rewrite of, the one in force.
    pub fn takes(&self, snapshot: &Snapshot) -> bool {
        snapshot.meta.index.0 >= self.base()
    }

    /// Puts a snapshot in force. The log behind it stays if it holds the
    /// snapshot's last index with its term, else the whole log goes.
    pub fn install(&mut self, mark: SnapshotMark) {
        let covered = mark.index.0.saturating_sub(self.base());
        if self.contains(mark.index, mark.term) {
            let covered = (covered as usize).min(self.locations.len());
            self.locations.drain(..covered);
        } else {
            self.locations.clear();
        }
        self.snapshot = Some(mark);
    }

    /// Whether entries join the log as it will be with a snapshot in force.
    pub fn joins(&self, snapshot: Option<&Snapshot>, entries: &[Entry]) -> bool {
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

    /// Records entries written to a segment; those from the first one on go.
    /// They must join the log.
    pub fn append(&mut self, entries: &[Entry], segment: u64) {
        let Some(first) = entries.first() else {
            return;
        };
        let retained = first.index.0.saturating_sub(self.base() + 1);
        self.locations.truncate(retained as usize);
        let locations = entries.iter().map(|entry| EntryLocation {
            term: entry.term,
            segment,
        });
        self.locations.extend(locations);
    }

    /// Oldest segment with live entries; `newest` when there are none.
    pub fn first_segment(&self, newest: u64) -> u64 {
        self.locations
            .front()
            .map_or(newest, |location| location.segment)
    }

    fn contains(&self, index: LogIndex, term: Term) -> bool {
        if self.snapshot.is_some_and(|mark| mark.index == index) {
            return self.snapshot.is_some_and(|mark| mark.term == term);
        }
        let Some(position) = index.0.checked_sub(self.base() + 1) else {
            return false;
        };
        let location = self.locations.get(position as usize);
        location.is_some_and(|location| location.term == term)
    }
}

fn are_consecutive(entries: &[Entry], first: u64) -> bool {
    let indexes = entries.iter().map(|entry| entry.index.0);
    indexes.zip(first..).all(|(index, wanted)| index == wanted)
}
