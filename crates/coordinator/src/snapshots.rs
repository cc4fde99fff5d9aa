//! When a member writes a snapshot of its record.
//!
//! Encoding a large record takes longer than a leader's lease: some 30 ms a
//! megabyte on a small machine, in the thread of the core, while no quorum is
//! heard. So snapshots of a large record are as far apart as they are large, the
//! voters take turns, by the index they have all applied, and a leader puts its
//! own off; when it can no longer, it hands over first.

use types::{LogIndex, NodeId};

/// A record whose last snapshot was smaller is encoded well within a lease.
const LARGE_BYTES: u64 = 1024 * 1024;
/// Entries of one voter's turn: longer than a snapshot takes at a peak.
const TURN_ENTRIES: u64 = 2_048;
/// A leader puts its snapshot off for so many intervals.
const LEADER_INTERVALS: u64 = 4;

/// Whether a member should write a snapshot now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotDue {
    /// Not yet.
    No,
    /// Now.
    Yes,
    /// As soon as another member leads.
    AfterHandingOver,
}

/// What was applied since the last snapshot.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// Shortest interval, in entries.
    every: u64,
    entries: u64,
    entry_bytes: u64,
    snapshot_bytes: u64,
}

impl SnapshotSchedule {
    /// A member that has just read a snapshot of so many bytes, or none.
    ///
    /// Members apply the same entries and would all write at once, while no quorum
    /// syncs anything else: each begins with another number of entries.
    pub fn new(every: u64, own: NodeId, snapshot_bytes: u64) -> Self {
        let every = every.max(1);
        Self {
            every,
            entries: own.0 % every,
            entry_bytes: 0,
            snapshot_bytes,
        }
    }

    /// An entry was applied.
    pub fn applied(&mut self, bytes: usize) {
        self.entries += 1;
        self.entry_bytes += bytes as u64;
    }

    /// A snapshot was written or taken over.
    pub fn restart(&mut self, snapshot_bytes: usize) {
        self.entries = 0;
        self.entry_bytes = 0;
        self.snapshot_bytes = snapshot_bytes as u64;
    }

    /// What is due, for a leader or another member.
    pub fn due(&self, leads: bool, turn: Turn) -> SnapshotDue {
        if self.snapshot_bytes < LARGE_BYTES {
            return match self.entries >= self.every {
                true => SnapshotDue::Yes,
                false => SnapshotDue::No,
            };
        }
        let intervals = match leads {
            true => LEADER_INTERVALS,
            false => 1,
        };
        let is_due = self.entries >= self.every.saturating_mul(intervals)
            && self.entry_bytes >= self.snapshot_bytes.saturating_mul(intervals);
        match (is_due, leads) {
            (true, true) => SnapshotDue::AfterHandingOver,
            (true, false) if turn.is_own() => SnapshotDue::Yes,
            _ => SnapshotDue::No,
        }
    }
}

/// Whose turn it is among the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Turn {
    /// What the member has applied.
    pub applied: LogIndex,
    /// Its position among the voters; none for another member, who need not wait.
    pub position: Option<usize>,
    /// Number of voters.
    pub voters: usize,
}

impl Turn {
    fn is_own(&self) -> bool {
        let turn = self.applied.0 / TURN_ENTRIES % self.voters.max(1) as u64;
        self.position.is_none_or(|position| turn == position as u64)
    }
}
