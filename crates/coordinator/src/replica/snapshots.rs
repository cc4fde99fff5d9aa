//! When a member writes a snapshot of its state machine.
//!
//! Encoding a large state takes longer than a leader's lease: some 30 ms a
//! megabyte on a small machine, in the thread of the core, which takes no
//! message meanwhile. So snapshots of a large state are as far apart as they are
//! large, the voters take turns, by the index they have all applied, and a leader
//! delays its own; when it can no longer, it transfers leadership first.

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

/// Counts what was applied since the last snapshot.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// Shortest interval, in entries.
    every: u64,
    entries: u64,
    entry_bytes: u64,
    snapshot_bytes: u64,
}

impl SnapshotSchedule {
    /// Begins after a snapshot of `snapshot_bytes` was read, or none (0).
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

    /// Counts an applied entry of this many bytes.
    pub fn record_applied(&mut self, bytes: usize) {
        self.entries += 1;
        self.entry_bytes += bytes as u64;
    }

    /// Begins a new interval, after a snapshot of this many bytes was written or
    /// installed.
    pub fn restart(&mut self, snapshot_bytes: usize) {
        self.entries = 0;
        self.entry_bytes = 0;
        self.snapshot_bytes = snapshot_bytes as u64;
    }

    /// Returns whether a snapshot is due, for the leader or another member.
    pub fn due(&self, is_leader: bool, turn: VoterTurn) -> SnapshotDue {
        if self.snapshot_bytes < LARGE_BYTES {
            return if self.entries >= self.every {
                SnapshotDue::Yes
            } else {
                SnapshotDue::No
            };
        }
        let intervals = if is_leader { LEADER_INTERVALS } else { 1 };
        let is_due = self.entries >= self.every.saturating_mul(intervals)
            && self.entry_bytes >= self.snapshot_bytes.saturating_mul(intervals);
        if !is_due {
            SnapshotDue::No
        } else if is_leader {
            SnapshotDue::AfterHandingOver
        } else if turn.is_own() {
            SnapshotDue::Yes
        } else {
            SnapshotDue::No
        }
    }
}

/// The position of a member among the voters, which write snapshots in turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterTurn {
    /// Index of the last entry that the member applied.
    pub applied: LogIndex,
    /// Its position among the voters; none for a learner, which need not wait.
    pub position: Option<usize>,
    /// Number of voters.
    pub voters: usize,
}

impl VoterTurn {
    fn is_own(&self) -> bool {
        let turn = self.applied.0 / TURN_ENTRIES % self.voters.max(1) as u64;
        self.position.is_none_or(|position| turn == position as u64)
    }
}
