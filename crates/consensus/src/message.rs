//! Messages between Raft nodes.

use crate::{Entry, LinkHealth, SnapshotMeta};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{LogIndex, NodeId, Term};

/// A message between two nodes of one group. `term` is the sender's, but for
/// pre-votes, where it is the term the sender would stand in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me? Raises no term.
    PreVote {
        /// The term the sender would stand in.
        term: Term,
        /// Last index of the sender's log.
        last_index: LogIndex,
        /// Term of that index.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteReply {
        /// The receiver's term if rejected, the asked-for term if granted.
        term: Term,
        /// Whether it would vote.
        granted: bool,
    },
    /// Vote for me.
    Vote {
        /// The candidate's term.
        term: Term,
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that index.
        last_term: Term,
        /// Set by a leadership transfer: followers answer despite a live leader.
        transfer: bool,
    },
    /// Answer to a vote.
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote was given, and synced.
        granted: bool,
    },
    /// Entries, or a heartbeat when empty.
    Append {
        /// The leader's term.
        term: Term,
        /// Index before the first entry.
        previous_index: LogIndex,
        /// Term of that index.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: LogIndex,
        /// Rises with each round of heartbeats; echoed, so that the leader can
        /// date its lease from when it sent the round.
        round: u64,
    },
    /// Answer to an append.
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Whether the entries were taken and synced.
        success: bool,
        /// On success the last index known equal; otherwise a hint where to try.
        index: LogIndex,
        /// Echo of the round.
        round: u64,
    },
    /// A piece of a snapshot.
    SnapshotChunk {
        /// The leader's term.
        term: Term,
        /// What the snapshot covers.
        meta: SnapshotMeta,
        /// Offset of this piece in bytes.
        offset: u64,
        /// Length of the whole in bytes.
        total: u64,
        /// The piece.
        data: Arc<[u8]>,
        /// As in [`Message::Append`].
        round: u64,
    },
    /// Answer to a piece of a snapshot.
    SnapshotReply {
        /// The follower's term.
        term: Term,
        /// Index of the snapshot meant.
        index: LogIndex,
        /// Next offset wanted; equal to the total when installed and synced.
        next_offset: u64,
        /// Echo of the round.
        round: u64,
    },
    /// Stand for election now: the leader hands over.
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// How long do you take to answer? Belongs to no term.
    Probe {
        /// Its number, echoed.
        number: u64,
        /// What the sender measured so far.
        health: LinkHealth,
    },
    /// Answer to a probe.
    ProbeReply {
        /// The probe's number.
        number: u64,
    },
}

impl Message {
    /// The term the message carries; 0 for probes, which belong to none.
    pub fn term(&self) -> Term {
        match self {
            Self::Probe { .. } | Self::ProbeReply { .. } => Term(0),
            Self::PreVote { term, .. }
            | Self::PreVoteReply { term, .. }
            | Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::SnapshotChunk { term, .. }
            | Self::SnapshotReply { term, .. }
            | Self::TimeoutNow { term } => *term,
        }
    }
}

/// A message with its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// The receiver.
    pub to: NodeId,
    /// The message.
    pub message: Message,
}
