//! Snapshots: cutting the log, sending in pieces, receiving and installing.

use crate::lease::NO_ROUND;
use crate::node::Role;
use crate::progress::Source;
use crate::{Message, Node, Outgoing, Snapshot, SnapshotMeta};
use std::sync::Arc;
use types::{LogIndex, NodeId, Term};

/// A snapshot on its way to one follower, one piece at a time.
#[derive(Debug)]
pub(crate) struct OutgoingSnapshot {
    snapshot: Snapshot,
    offset: u64,
    waiting: bool,
    /// Round in which the piece under way was sent.
    sent_in: u64,
}

impl OutgoingSnapshot {
    pub fn new(snapshot: Snapshot) -> Self {
        Self {
            snapshot,
            offset: 0,
            waiting: false,
            sent_in: NO_ROUND,
        }
    }

    /// Returns whether a piece is on its way.
    pub fn waiting(&self) -> bool {
        self.waiting
    }

    fn total(&self) -> u64 {
        self.snapshot.data.len() as u64
    }

    /// Sends the next piece.
    pub fn next_chunk(&mut self, source: &Source<'_>) -> Message {
        self.waiting = true;
        self.sent_in = source.round;
        let data = &self.snapshot.data;
        let start = usize::try_from(self.offset).unwrap_or(data.len());
        let length = source.options.snapshot_chunk_bytes.max(1);
        let end = start.saturating_add(length).min(data.len());
        self.chunk(source, data.get(start..end).unwrap_or_default())
    }

    /// Asks which piece is wanted, with an empty one, where one is under way.
    pub fn ask_again(&self, source: &Source<'_>, to: NodeId) -> Option<Outgoing> {
        let message = self.chunk(source, &[]);
        self.waiting.then_some(Outgoing { to, message })
    }

    fn chunk(&self, source: &Source<'_>, data: &[u8]) -> Message {
        Message::SnapshotChunk {
            term: source.term,
            meta: self.snapshot.meta.clone(),
            offset: self.offset,
            total: self.total(),
            data: Arc::from(data),
            round: source.round,
        }
    }

    /// Takes the follower's wish. The piece under way has arrived if more is
    /// wanted, and is lost if an answer from a later round still wants it:
    /// the question went after it. Any other answer is an old or doubled one,
    /// and must not double the pieces.
    fn resume(&mut self, next_offset: u64, round: u64) {
        if next_offset > self.offset || round > self.sent_in {
            self.waiting = false;
            self.offset = next_offset.min(self.total());
        }
    }
}

/// A piece as it arrives.
pub(crate) struct Chunk {
    pub meta: SnapshotMeta,
    pub offset: u64,
    pub total: u64,
    pub data: Arc<[u8]>,
}

/// The pieces of a snapshot received so far.
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

    /// Takes the piece if it is the next one; returns the offset wanted then.
    fn take(&mut self, chunk: &Chunk) -> u64 {
        if chunk.offset == self.received() {
            self.data.extend_from_slice(&chunk.data);
        }
        self.received()
    }
}

impl Chunk {
    fn is_well_formed(&self, term: Term) -> bool {
        let end = self.offset.saturating_add(self.data.len() as u64);
        end <= self.total && self.meta.term <= term
    }
}

impl Node {
    /// Says that the state machine's snapshot is synced: the log may be cut
    /// before it, and slow followers get it in pieces. Ignored if it covers
    /// entries that were never handed out, or less than the last one. Its
    /// meta must be what [`Node::snapshot_meta`] gave.
    pub fn compact(&mut self, snapshot: Snapshot) {
        let index = snapshot.meta.index;
        let newest = self.snapshot.as_ref().map(|s| s.meta.index);
        if index > self.delivered || newest.is_some_and(|newest| index <= newest) {
            return;
        }
        if self.log.term_at(index) != Some(snapshot.meta.term) {
            return;
        }
        let retained = self.options.retained_entries;
        self.log.cover(index);
        self.history.compact(index);
        self.log.compact(LogIndex(index.0.saturating_sub(retained)));
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: NodeId, term: Term, chunk: Chunk, round: u64) {
        if !chunk.is_well_formed(term) {
            tracing::warn!(node = %self.id, peer = %from, "rejected malformed snapshot chunk");
            return;
        }
        if !self.hear_leader(from, term) {
            self.reply_snapshot(from, chunk.meta.index, 0, NO_ROUND);
            return;
        }
        let index = chunk.meta.index;
        let next_offset = if index <= self.commit {
            chunk.total
        } else {
            self.receive(chunk)
        };
        self.reply_snapshot(from, index, next_offset, round);
    }

    fn reply_snapshot(&mut self, to: NodeId, index: LogIndex, next_offset: u64, round: u64) {
        let reply = Message::SnapshotReply {
            term: self.term,
            index,
            next_offset,
            round,
        };
        self.send_after_persist(to, reply);
    }

    /// Collects a piece and installs the snapshot when it is whole; returns
    /// the next offset wanted.
    fn receive(&mut self, chunk: Chunk) -> u64 {
        let mut incoming = match self.incoming.take() {
            Some(incoming) if incoming.is_for(&chunk) => incoming,
            _ => IncomingSnapshot {
                meta: chunk.meta.clone(),
                total: chunk.total,
                data: Vec::new(),
            },
        };
        let next_offset = incoming.take(&chunk);
        if next_offset == incoming.total {
            self.install(Snapshot {
                meta: incoming.meta,
                data: Arc::from(incoming.data),
            });
        } else {
            self.incoming = Some(incoming);
        }
        next_offset
    }

    fn install(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        tracing::info!(node = %self.id, index = %meta.index, "installing snapshot");
        let keeps_tail = self.log.term_at(meta.index) == Some(meta.term);
        if !keeps_tail {
            self.history.truncate_from(LogIndex(0));
        }
        self.log.install(meta.index, meta.term);
        self.history.install(meta.index, meta.membership.clone());
        self.commit = meta.index;
        self.delivered = meta.index;
        self.outbox.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: NodeId,
        term: Term,
        index: LogIndex,
        next_offset: u64,
        round: u64,
    ) {
        self.step_down_for(term);
        if term != self.term || round == NO_ROUND || index > self.commit {
            return;
        }
        self.record_answer(from, round);
        let now = self.clock;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(&from) else {
            return;
        };
        let crate::progress::Sending::Snapshot(transfer) = &mut progress.sending else {
            return;
        };
        if transfer.snapshot.meta.index != index {
            return;
        }
        if next_offset < transfer.total() {
            transfer.resume(next_offset, round);
            return;
        }
        progress.leave_snapshot();
        progress.succeed(index, &self.log, now);
        self.advance_commit();
        self.advance_transfer();
    }
}
