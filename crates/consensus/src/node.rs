//! The Raft node.

use crate::message::Outgoing;
use crate::{Entry, HardState, Membership, Message, RaftRole, Recovered, Snapshot};
use thiserror::Error;
use types::{LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// Timings and limits of a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Options {
    /// Shortest silence before an election; drawn between this and twice it.
    pub election_timeout: Milliseconds,
    /// Time between heartbeats.
    pub heartbeat_interval: Milliseconds,
    /// The leader acts for this long after the start of the last round that a
    /// quorum answered; must be less than `election_timeout`.
    pub leader_lease: Milliseconds,
    /// Bytes of entries in one append.
    pub max_append_bytes: usize,
    /// Appends in flight to one follower.
    pub max_appends_in_flight: usize,
    /// Bytes in one piece of a snapshot.
    pub snapshot_chunk_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout: Milliseconds(1_000),
            heartbeat_interval: Milliseconds(150),
            leader_lease: Milliseconds(800),
            max_append_bytes: 512 * 1024,
            max_appends_in_flight: 8,
            snapshot_chunk_bytes: 256 * 1024,
        }
    }
}

/// Why a proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This node does not lead, or is handing over.
    #[error("this node is not the leader")]
    NotLeader,
    /// An earlier membership change is not committed yet.
    #[error("a membership change is still under way")]
    ChangeInProgress,
    /// The new membership differs from the old one by more than one voter.
    #[error("a membership change may add or remove one voter at a time")]
    MoreThanOneVoter,
}

/// What the shell must do, in this order: persist `hard_state`, `snapshot`
/// and `entries` with one sync; hand `committed` to the state machine; and
/// send. `messages` may leave at once; `messages_after_persist` only when the
/// sync is done. Then call [`Node::persisted`] with `number`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Ready {
    /// Number of this batch; rises by one.
    pub number: u64,
    /// Hard state, when it changed.
    pub hard_state: Option<HardState>,
    /// A snapshot received whole: it replaces log and state machine.
    pub snapshot: Option<Snapshot>,
    /// Entries to write; the first may overwrite a tail already written.
    pub entries: Vec<Entry>,
    /// Entries to apply in order.
    pub committed: Vec<Entry>,
    /// Messages that promise nothing about the disk.
    pub messages: Vec<Outgoing>,
    /// Messages that promise what this batch persists.
    pub messages_after_persist: Vec<Outgoing>,
}

impl Ready {
    /// True when the batch has something for the disk.
    pub fn needs_persist(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: RaftRole,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<NodeId>,
    /// Its commit index.
    pub commit: LogIndex,
    /// Its last index.
    pub last_index: LogIndex,
    /// The membership in force.
    pub membership: Membership,
    /// Leader only: time since each other member was last heard.
    pub silence: Vec<(NodeId, Milliseconds)>,
    /// Leader only: last index known equal at each other member.
    pub matched: Vec<(NodeId, LogIndex)>,
}

/// A Raft node; see the crate's page for how it is driven.
#[derive(Debug)]
pub struct Node {
    _id: NodeId,
}

impl Node {
    /// A node from what its disk held. `membership` is used only while neither
    /// snapshot nor log names one: the voters agreed at first start, or an
    /// empty one for a node that waits to be added.
    pub fn new(
        id: NodeId,
        options: Options,
        membership: Membership,
        recovered: Recovered,
        seed: u64,
        now: Monotonic,
    ) -> Self {
        let _ = (options, membership, recovered, seed, now);
        Self { _id: id }
    }

    /// Takes a message from another node.
    pub fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        let _ = (now, from, message);
        todo!()
    }

    /// Looks at the clock: elections, heartbeats, loss of the lease.
    pub fn tick(&mut self, now: Monotonic) {
        let _ = now;
        todo!()
    }

    /// When [`Node::tick`] wants to be called next.
    pub fn next_wakeup(&self) -> Monotonic {
        todo!()
    }

    /// Appends a command; its index tells when it is committed. The caller
    /// must check the term of the committed entry.
    pub fn propose(&mut self, now: Monotonic, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        let _ = (now, command);
        todo!()
    }

    /// Appends a new membership that differs by at most one voter; learners
    /// may change freely.
    pub fn propose_membership(
        &mut self,
        now: Monotonic,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        let _ = (now, membership);
        todo!()
    }

    /// Hands leadership to the most advanced voter; returns it, if there is one.
    pub fn transfer_leadership(&mut self, now: Monotonic) -> Option<NodeId> {
        let _ = now;
        todo!()
    }

    /// What there is to do, or none.
    pub fn ready(&mut self) -> Option<Ready> {
        todo!()
    }

    /// Says that batch `number` and all before it are synced.
    pub fn persisted(&mut self, now: Monotonic, number: u64) {
        let _ = (now, number);
        todo!()
    }

    /// Says that the state machine's snapshot is synced: the log may be cut
    /// before it, and slow followers get it in pieces.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let _ = snapshot;
        todo!()
    }

    /// True when this node leads, has committed an entry of its own term, and
    /// a quorum answered a round begun less than the lease ago. To be asked
    /// after every wake and just before each effect.
    pub fn holds_lease(&self, now: Monotonic) -> bool {
        let _ = now;
        todo!()
    }

    /// What the node says of itself.
    pub fn status(&self, now: Monotonic) -> Status {
        let _ = now;
        todo!()
    }
}
