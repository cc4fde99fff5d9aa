//! Timings and limits of a node.

use types::Milliseconds;

/// Timings and limits of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Shortest silence before an election.
    pub election_timeout: Milliseconds,
    /// Up to this much is drawn and added to it, so that nodes stand one after
    /// the other. More than a round trip and a sync.
    pub election_spread: Milliseconds,
    /// Time between heartbeats.
    pub heartbeat_interval: Milliseconds,
    /// The leader acts for this long after the start of the last round that a
    /// quorum answered; must be less than `election_timeout`.
    pub leader_lease: Milliseconds,
    /// Voters probe one another, and a leader that is degraded transfers leadership to
    /// one that is not.
    pub transfer_when_degraded: bool,
    /// Bytes of entries in one append.
    pub max_append_bytes: usize,
    /// Appends in flight to one follower.
    pub max_appends_in_flight: usize,
    /// Bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: usize,
    /// Entries kept in memory before a snapshot's index, so that a follower
    /// that is a little slow is not forced to a snapshot at once.
    pub retained_entries: u64,
    /// Switches one mechanism off, so that tests can show that it is needed.
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
    pub(crate) fn has(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}

/// A mechanism that tests switch off.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// Voters grant votes although they hear a live leader.
    VoteDespiteLeader,
    /// A voter that restarted grants votes at once.
    VoteAfterRestart,
    /// Nodes stand for election without asking first.
    SkipPreVote,
    /// Replies to votes and appends leave before the sync.
    ReplyBeforeSync,
    /// The lease is dated from when the answer came.
    LeaseFromReply,
    /// The leader keeps its lease after it handed over.
    LeaseDuringTransfer,
}
