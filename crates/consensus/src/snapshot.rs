//! Transfer of snapshots to and from other nodes, in chunks.

use crate::rounds::NO_ROUND;
use crate::{Message, Snapshot, SnapshotMeta};
use std::sync::Arc;
use types::{LogIndex, Term};

/// A snapshot that is sent to one follower, one chunk at a time.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: Snapshot,
    offset: u64,
    chunk_in_flight: bool,
    /// Round in which the chunk in flight was sent.
    sent_in_round: u64,
}

impl OutgoingSnapshot {
    /// Creates the transfer of a snapshot, from its first byte.
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            offset: 0,
            chunk_in_flight: false,
            sent_in_round: NO_ROUND,
        }
    }

    /// Returns whether a chunk is in flight.
    pub fn has_chunk_in_flight(&self) -> bool {
        self.chunk_in_flight
    }

    /// Returns the last index that the snapshot covers.
    pub fn index(&self) -> LogIndex {
        self.snapshot.meta.index
    }

    /// Returns the length of the snapshot in bytes.
    pub fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Returns the next chunk, of at most `max_bytes` and at least one byte.
    pub fn next_chunk(&mut self, term: Term, round: u64, max_bytes: usize) -> Message {
        self.chunk_in_flight = true;
        self.sent_in_round = round;
        let data = &self.snapshot.data;
        let start = usize::try_from(self.offset).unwrap_or(data.len());
        let length = max_bytes.max(1);
        let end = start.saturating_add(length).min(data.len());
        self.chunk(term, round, data.get(start..end).unwrap_or_default())
    }

    /// Returns an empty chunk, to which the follower replies with the offset of
    /// the next chunk to send; `None` if no chunk is in flight.
    pub fn empty_chunk(&self, term: Term, round: u64) -> Option<Message> {
        self.chunk_in_flight.then(|| self.chunk(term, round, &[]))
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

    /// Records the follower's reply with the offset of the next chunk to send.
    /// The chunk in flight has arrived if that offset is above the chunk's. It
    /// is lost if a reply of a later round has the same offset, since the
    /// request of that round was sent after the chunk. Any other reply is
    /// outdated or a duplicate, and must not cause a chunk to be sent twice.
    pub fn resume(&mut self, next_offset: u64, round: u64) {
        if next_offset > self.offset || round > self.sent_in_round {
            self.chunk_in_flight = false;
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
    fn includes(&self, chunk: &Chunk) -> bool {
        self.meta == chunk.meta && self.total == chunk.total
    }

    fn received(&self) -> u64 {
        self.data.len() as u64
    }

    /// Appends the chunk if it is the next one. Returns the offset of the next
    /// chunk to receive.
    fn append(&mut self, chunk: &Chunk) -> u64 {
        if chunk.offset == self.received() {
            self.data.extend_from_slice(&chunk.data);
        }
        self.received()
    }
}

impl Chunk {
    /// Returns whether the chunk lies within the snapshot, and the snapshot's
    /// term is not above `term`, that of the leader.
    pub fn is_well_formed(&self, term: Term) -> bool {
        let end = self.offset.saturating_add(self.data.len() as u64);
        end <= self.total && self.meta.term <= term
    }
}

/// The snapshot that a follower is receiving, if there is one.
#[derive(Debug, Default)]
pub(crate) struct SnapshotReceiver {
    incoming: Option<IncomingSnapshot>,
}

/// Result of receiving a chunk.
pub(crate) struct Received {
    /// Offset of the next chunk to receive; the total length once the snapshot
    /// is complete.
    pub next_offset: u64,
    /// The snapshot, if this chunk completed it.
    pub snapshot: Option<Snapshot>,
}

impl SnapshotReceiver {
    /// Discards the chunks received so far.
    pub fn clear(&mut self) {
        self.incoming = None;
    }

    /// Adds a chunk. A chunk of another snapshot discards the chunks received
    /// so far.
    pub fn receive(&mut self, chunk: &Chunk) -> Received {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.includes(chunk) => incoming,
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
