//! Timeouts and limits of a node.

use types::Milliseconds;

/// Divisor of the leader's lease that gives the time after which a reply is
/// late: four such replies in a row let the lease expire.
const LATE_REPLY_DIVISOR: u64 = 4;

/// Timeouts and limits of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Shortest time without a message of a leader before a voter starts an
    /// election.
    pub election_timeout: Milliseconds,
    /// Upper limit of the random time added to `election_timeout`, so that
    /// voters rarely start elections at the same time. Should exceed a round
    /// trip and a sync.
    pub election_spread: Milliseconds,
    /// Time between heartbeats.
    pub heartbeat_interval: Milliseconds,
    /// Length of the leader's lease, from the start of the last round of
    /// heartbeats that a quorum answered; must be less than `election_timeout`.
    pub leader_lease: Milliseconds,
    /// Whether voters probe one another, and a leader whose links are degraded
    /// transfers leadership to a voter with healthy links.
    pub transfer_when_degraded: bool,
    /// Largest total size of the entries in one append, in bytes. An entry
    /// above this size is sent in an append of its own.
    pub max_append_bytes: usize,
    /// Largest number of unanswered appends to one follower.
    pub max_appends_in_flight: usize,
    /// Size of one chunk of a snapshot, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Number of entries kept in memory before a snapshot's index, so that a
    /// follower with a small lag receives entries and not a snapshot.
    pub retained_entries: u64,
    /// Mechanism that is disabled, so that tests can show that it is needed;
    /// `None` disables none.
    #[doc(hidden)]
    pub mutation: Option<Mutation>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Milliseconds(1_000),
            election_spread: Milliseconds(1_000),
            heartbeat_interval: Milliseconds(150),
            leader_lease: Milliseconds(800),
            transfer_when_degraded: true,
            max_append_bytes: 512 * 1024,
            max_appends_in_flight: 8,
            snapshot_chunk_bytes: 256 * 1024,
            retained_entries: 1_024,
            mutation: None,
        }
    }
}

impl Options {
    /// Returns whether a test disabled the mechanism.
    pub(crate) fn disables(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the time after which a reply or a sync counts as late.
    pub(crate) fn late_threshold(&self) -> Milliseconds {
        Milliseconds(self.leader_lease.0 / LATE_REPLY_DIVISOR)
    }

    /// Returns the duration of `count` heartbeat intervals.
    pub(crate) fn heartbeats(&self, count: u64) -> Milliseconds {
        Milliseconds(self.heartbeat_interval.0.saturating_mul(count))
    }
}

/// A mechanism that tests can disable, named after the fault that this causes.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Voters grant votes although they have a live leader.
    VoteDespiteLeader,
    /// A voter that restarted grants votes at once.
    VoteAfterRestart,
    /// Nodes start an election without a pre-vote.
    SkipPreVote,
    /// Replies to votes and appends are sent before the sync.
    ReplyBeforeSync,
    /// The lease begins at the arrival of a reply and not at the start of the
    /// round.
    LeaseFromReply,
    /// The leader keeps its lease after it sent `TimeoutNow`.
    LeaseDuringTransfer,
}
