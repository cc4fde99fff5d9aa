//! Snapshots: log compaction (thesis, 5), and the transfer of a snapshot to a
//! follower that needs compacted entries.

use super::Node;
use crate::rounds::NO_ROUND;
use crate::snapshot::Chunk;
use crate::{Message, Snapshot, SnapshotMeta};
use types::{LogIndex, NodeId, Term};

impl Node {
    /// Returns the metadata of a snapshot that covers the log up to `index`;
    /// `None` for index 0, for an index that is not committed, or if the term
    /// or membership at `index` is compacted.
    pub fn snapshot_meta(&self, index: LogIndex) -> Option<SnapshotMeta> {
        if index == LogIndex(0) || index > self.commit {
            return None;
        }
        Some(SnapshotMeta {
            index,
            term: self.log.term_at(index)?,
            membership: self.membership_history.at(index)?.clone(),
        })
    }

    /// Records that a snapshot of the state machine is synced: the log before
    /// it may be compacted, and followers that need those entries receive the
    /// snapshot.
    ///
    /// Ignores a snapshot that covers entries that were never handed out, or
    /// that covers no more than the last snapshot. The metadata must come from
    /// [`Node::snapshot_meta`].
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
        self.log.mark_covered(index);
        self.membership_history.compact(index);
        self.log.compact(LogIndex(index.0.saturating_sub(retained)));
        self.snapshot = Some(snapshot);
    }

    /// Handles a chunk of the leader's snapshot, as a follower.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: NodeId,
        term: Term,
        chunk: &Chunk,
        round: u64,
    ) {
        if !chunk.is_well_formed(term) {
            tracing::warn!(node = %self.id, peer = %from, "rejected malformed snapshot chunk");
            return;
        }
        let index = chunk.meta.index;
        if !self.accept_leader(from, term) {
            self.reply_snapshot(from, index, 0, NO_ROUND);
            return;
        }
        let next_offset = if index <= self.commit {
            chunk.total
        } else {
            self.receive_chunk(chunk)
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

    /// Adds a chunk, installs the snapshot once all its chunks have arrived,
    /// and returns the offset of the next chunk to receive.
    fn receive_chunk(&mut self, chunk: &Chunk) -> u64 {
        let received = self.snapshot_receiver.receive(chunk);
        if let Some(snapshot) = received.snapshot {
            self.install(snapshot);
        }
        received.next_offset
    }

    fn install(&mut self, snapshot: Snapshot) {
        let meta = &snapshot.meta;
        tracing::info!(node = %self.id, index = %meta.index, "installing snapshot");
        let keeps_tail = self.log.term_at(meta.index) == Some(meta.term);
        if !keeps_tail {
            self.membership_history.truncate_from(LogIndex(0));
        }
        self.log.install(meta.index, meta.term);
        self.membership_history
            .install(meta.index, meta.membership.clone());
        self.commit = meta.index;
        self.delivered = meta.index;
        self.outbox.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }

    /// Handles a follower's reply to a chunk, as the leader.
    pub(super) fn on_snapshot_reply(
        &mut self,
        from: NodeId,
        term: Term,
        index: LogIndex,
        next_offset: u64,
        round: u64,
    ) {
        self.step_down_if_outdated(term);
        if term != self.term || round == NO_ROUND || index > self.commit {
            return;
        }
        self.record_reply(from, round);
        let leadership = self.role.leadership_mut();
        let Some(progress) = leadership.and_then(|leadership| leadership.member_mut(from)) else {
            return;
        };
        if !progress.record_snapshot_reply(index, next_offset, round) {
            return;
        }
        progress.record_match(index, &self.log, self.clock);
        self.advance_commit();
        self.advance_transfer();
    }
}
