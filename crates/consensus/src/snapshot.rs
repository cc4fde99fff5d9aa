//! Snapshots on their way to or from another node, in chunks.

use crate::rounds::NO_ROUND;
use crate::{Message, Snapshot, SnapshotMeta};
use std::sync::Arc;
use types::{LogIndex, Term};

/// A snapshot that is sent to one follower, one chunk at a time.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: Snapshot,
    offset: u64,
    waiting: bool,
    /// Round in which the chunk in flight was sent.
    sent_in_round: u64,
}

impl OutgoingSnapshot {
    /// A snapshot of which nothing is sent yet.
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            offset: 0,
            waiting: false,
            sent_in_round: NO_ROUND,
        }
    }

    /// Returns whether a chunk is in flight.
    pub fn is_waiting(&self) -> bool {
        self.waiting
    }

    /// Last index that the snapshot covers.
    pub fn index(&self) -> LogIndex {
        self.snapshot.meta.index
    }

    /// Length of the snapshot in bytes.
    pub fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// The next chunk, of at most `max_bytes` and at least one byte.
    pub fn next_chunk(&mut self, term: Term, round: u64, max_bytes: usize) -> Message {
        self.waiting = true;
        self.sent_in_round = round;
        let data = &self.snapshot.data;
        let start = usize::try_from(self.offset).unwrap_or(data.len());
        let length = max_bytes.max(1);
        let end = start.saturating_add(length).min(data.len());
        self.chunk(term, round, data.get(start..end).unwrap_or_default())
    }

    /// An empty chunk that asks for the next offset wanted, if a chunk is in
    /// flight.
    pub fn empty_chunk(&self, term: Term, round: u64) -> Option<Message> {
        self.waiting.then(|| self.chunk(term, round, &[]))
    }

    fn chunk(&self, term: Term, round: u64, data: &[u8]) -> Message {
        Message::SnapshotChunk {
            term,
            meta: self.snapshot.meta.clone(),
            offset: self.offset,
            total: self.total(),
            data: Arc::from(data),
            round,
        }
    }

    /// Records the next offset that the follower wants. The chunk in flight has
    /// arrived if the follower wants more. It is lost if a reply from a later
    /// round still wants it, since the request of that round was sent after
    /// it. Any other reply is old or a duplicate, and must not duplicate
    /// chunks.
    pub fn resume(&mut self, next_offset: u64, round: u64) {
        if next_offset > self.offset || round > self.sent_in_round {
            self.waiting = false;
            self.offset = next_offset.min(self.total());
        }
    }
}

/// A chunk received from the leader.
pub(crate) struct Chunk {
    pub meta: SnapshotMeta,
    pub offset: u64,
    pub total: u64,
    pub data: Arc<[u8]>,
}

/// The chunks of one snapshot received so far.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    total: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_for(&self, chunk: &Chunk) -> bool {
        self.meta == chunk.meta && self.total == chunk.total
    }

    fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends the chunk if it is the next one. Returns the next offset wanted.
    fn append(&mut self, chunk: &Chunk) -> u64 {
        if chunk.offset == self.received() {
            self.data.extend_from_slice(&chunk.data);
        }
        self.received()
    }
}

impl Chunk {
    /// Returns whether the chunk lies within the snapshot, and the snapshot is
    /// not from a term after `term`, that of the leader.
    pub fn is_well_formed(&self, term: Term) -> bool {
        let end = self.offset.saturating_add(self.data.len() as u64);
        end <= self.total && self.meta.term <= term
    }
}

/// The snapshot that a follower is receiving, if any.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReceiver {
    incoming: Option<IncomingSnapshot>,
}

/// Result of a received chunk.
pub(crate) struct Received {
    /// Next offset wanted.
    pub next_offset: u64,
    /// The snapshot, once it is whole.
    pub snapshot: Option<Snapshot>,
}

impl SnapshotReceiver {
    /// Drops the chunks received so far.
    pub fn clear(&mut self) {
        self.incoming = None;
    }

    /// Adds a chunk; one of another snapshot begins anew.
    pub fn receive(&mut self, chunk: &Chunk) -> Received {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_for(chunk) => incoming,
            _ => IncomingSnapshot {
                meta: chunk.meta.clone(),
                total: chunk.total,
                data: Vec::new(),
            },
        };
        let next_offset = incoming.append(chunk);
        let mut snapshot = None;
        if next_offset == incoming.total {
            snapshot = Some(Snapshot {
                meta: incoming.meta,
                data: Arc::from(incoming.data),
            });
        } else {
            self.incoming = Some(incoming);
        }
        Received {
            next_offset,
            snapshot,
        }
    }
}
