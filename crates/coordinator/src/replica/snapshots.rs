//! Schedule of the snapshots that a member writes of its state machine.
//!
//! Encoding takes about 30 ms per megabyte on a small machine. It runs in the thread
//! of the core, which handles no messages meanwhile, so the encoding of a large
//! state takes longer than a leader's lease. Snapshots of a large state are
//! therefore limited in three ways:
//!
//! * A snapshot is due only after as many bytes of entries as the last snapshot
//!   has.
//! * The voters take turns, chosen by the index of the last applied entry.
//! * A leader delays its snapshot, and transfers leadership when one is due.

use types::{LogIndex, NodeId};

/// Snapshot size from which on a state counts as large. A smaller one is encoded
/// well within a lease.
const LARGE_BYTES: u64 = 1024 * 1024;
/// Entries per voter's turn. A snapshot completes within one turn even at peak
/// load.
const TURN_ENTRIES: u64 = 2_048;
/// Intervals after which the snapshot of a leader is due.
const LEADER_INTERVALS: u64 = 4;

/// Whether a member should write a snapshot now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotDue {
    /// No snapshot is due, or it is the turn of another voter.
    No,
    /// The member should write a snapshot now.
    Yes,
    /// The member is the leader and should transfer leadership first.
    AfterLeadershipTransfer,
}

/// Counts entries and bytes applied since the last snapshot.
#[derive(Debug)]
pub struct SnapshotSchedule {
    /// Least number of entries between two snapshots.
    every: u64,
    entries: u64,
    entry_bytes: u64,
    snapshot_bytes: u64,
}

impl SnapshotSchedule {
    /// Creates a schedule. `snapshot_bytes` is the size of the snapshot read from
    /// disk, 0 without one.
    ///
    /// The count of entries starts at an offset that depends on `own`. All members
    /// apply the same entries: without the offset they would write snapshots at the
    /// same time, and no quorum would sync new entries meanwhile.
    pub fn new(every: u64, own: NodeId, snapshot_bytes: u64) -> Self {
        let every = every.max(1);
        Self {
            every,
            entries: own.0 % every,
            entry_bytes: 0,
            snapshot_bytes,
        }
    }

    /// Counts an applied entry of `bytes` bytes.
    pub fn record_applied(&mut self, bytes: usize) {
        self.entries += 1;
        self.entry_bytes += bytes as u64;
    }

    /// Starts a new interval after a snapshot of `snapshot_bytes` bytes was written
    /// or installed.
    pub fn restart(&mut self, snapshot_bytes: usize) {
        self.entries = 0;
        self.entry_bytes = 0;
        self.snapshot_bytes = snapshot_bytes as u64;
    }

    /// Returns whether a snapshot is due for this member.
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
            SnapshotDue::AfterLeadershipTransfer
        } else if turn.is_own() {
            SnapshotDue::Yes
        } else {
            SnapshotDue::No
        }
    }
}

/// Position of a member among the voters, which take turns to write snapshots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VoterTurn {
    /// Index of the last entry that the member applied.
    pub applied: LogIndex,
    /// Position among the voters, from 0; `None` for a learner, which need not wait
    /// for a turn.
    pub position: Option<usize>,
    /// Number of voters in the membership.
    pub voters: usize,
}

impl VoterTurn {
    fn is_own(&self) -> bool {
        let turn = self.applied.0 / TURN_ENTRIES % self.voters.max(1) as u64;
        self.position.is_none_or(|position| turn == position as u64)
    }
}
