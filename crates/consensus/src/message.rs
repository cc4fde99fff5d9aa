//! Messages between Raft nodes.

use crate::{Entry, LinkHealth, SnapshotMeta};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use types::{LogIndex, NodeId, Term};

/// A message between two nodes of one cluster. `term` is the sender's, except
/// in a pre-vote, where it is the term of the election that the sender would
/// start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a pre-vote: whether the receiver would grant a vote. Changes no
    /// term (thesis, 9.6).
    PreVote {
        /// The term of the election that the sender would start.
        term: Term,
        /// Last index of the sender's log.
        last_index: LogIndex,
        /// Term of that index.
        last_term: Term,
    },
    /// Reply to a pre-vote.
    PreVoteReply {
        /// The requested term if granted, otherwise the replying node's term.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote (thesis, 3.4).
    Vote {
        /// The candidate's term.
        term: Term,
        /// Last index of the candidate's log.
        last_index: LogIndex,
        /// Term of that index.
        last_term: Term,
        /// Whether a leadership transfer started the election: voters then
        /// grant their vote despite a live leader.
        transfer: bool,
    },
    /// Reply to a vote request.
    VoteReply {
        /// The voter's term.
        term: Term,
        /// Whether the vote is granted, and synced.
        granted: bool,
    },
    /// Entries to append, or a heartbeat without entries (thesis, 3.5).
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
        /// Number of the round of heartbeats. The reply echoes it, so that the
        /// leader can date its lease from the start of the round.
        round: u64,
    },
    /// Reply to an append.
    AppendReply {
        /// The follower's term.
        term: Term,
        /// Whether the entries were appended and synced.
        success: bool,
        /// On success the last index known to match; otherwise an index at
        /// which the logs may match.
        index: LogIndex,
        /// Round of the message that this answers; 0 if that message was of an
        /// earlier term.
        round: u64,
    },
    /// A chunk of a snapshot (thesis, 5.3).
    SnapshotChunk {
        /// The leader's term.
        term: Term,
        /// Metadata of the snapshot.
        meta: SnapshotMeta,
        /// Offset of this chunk, in bytes.
        offset: u64,
        /// Length of the whole snapshot, in bytes.
        total: u64,
        /// Bytes of the chunk.
        data: Arc<[u8]>,
        /// Number of the round of heartbeats, as in [`Message::Append`].
        round: u64,
    },
    /// Reply to a chunk of a snapshot.
    SnapshotReply {
        /// The follower's term.
        term: Term,
        /// Last index that the snapshot covers.
        index: LogIndex,
        /// Offset of the next chunk to send, in bytes; the total length once
        /// the snapshot is installed and synced.
        next_offset: u64,
        /// Round of the message that this answers; 0 if that message was of an
        /// earlier term.
        round: u64,
    },
    /// The leader transfers leadership: the receiver starts an election at once
    /// (thesis, 3.10).
    TimeoutNow {
        /// The leader's term.
        term: Term,
    },
    /// Measures the link between two voters. Belongs to no term.
    Probe {
        /// Number of the probe, which the reply echoes.
        number: u64,
        /// Health of the sender's links.
        health: LinkHealth,
    },
    /// Reply to a probe.
    ProbeReply {
        /// The probe's number.
        number: u64,
    },
}

impl Message {
    /// Returns the term of the message; 0 for probes, which belong to no term.
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

/// A message to one other node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Node that receives the message.
    pub to: NodeId,
    /// Message to send to that node.
    pub message: Message,
}
