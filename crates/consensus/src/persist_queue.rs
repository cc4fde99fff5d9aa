//! Batches that were handed out to be persisted, and output that is not handed
//! out yet.

use crate::log::LogPosition;
use crate::{HardState, Outgoing, Snapshot};
use std::collections::VecDeque;
use types::{Monotonic, Term};

/// Output that waits for the next [`crate::Ready`].
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Messages that do not depend on a sync.
    pub messages: Vec<Outgoing>,
    /// Messages that may be sent once all output before them is synced.
    pub after_persist: Vec<Outgoing>,
    /// Snapshot received from the leader with all its chunks; `None` if none
    /// was received since the last batch.
    pub snapshot: Option<Snapshot>,
}

/// A batch that was handed out to be persisted and is not synced yet.
#[derive(Debug)]
pub(crate) struct PendingBatch {
    number: u64,
    /// End of the log when the batch was handed out.
    pub log_end: LogPosition,
    hard_state: HardState,
    /// When the batch was handed out.
    pub handed_out_at: Monotonic,
}

/// Batches that were handed out and are not synced yet, oldest first.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_number: u64,
    /// Hard state that was handed out last.
    hard_state: HardState,
    pending: VecDeque<PendingBatch>,
    synced_term: Term,
}

impl PersistQueue {
    /// Creates a queue without batches; `recovered` is on disk.
    pub fn new(recovered: HardState) -> Self {
        Self {
            last_number: 0,
            hard_state: recovered,
            pending: VecDeque::new(),
            synced_term: recovered.term,
        }
    }

    /// Returns the term that is synced. A vote given in the same step as a term
    /// is synced with it.
    pub fn synced_term(&self) -> Term {
        self.synced_term
    }

    /// Returns when the oldest batch that is not synced was handed out; `None`
    /// if all are synced.
    pub fn oldest_handed_out_at(&self) -> Option<Monotonic> {
        self.pending.front().map(|batch| batch.handed_out_at)
    }

    /// Returns whether every batch handed out is synced.
    pub fn is_synced(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the number of the next batch.
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Counts the next batch as handed out.
    pub fn advance_number(&mut self) {
        self.last_number += 1;
    }

    /// Returns the hard state to write: `current` if the term or vote changed,
    /// and otherwise `None`. The commit index is only a hint, so a change of it
    /// is written only together with other data (`has_data`).
    pub fn take_hard_state(&mut self, current: HardState, has_data: bool) -> Option<HardState> {
        let last = self.hard_state;
        let has_new_vote = (current.term, current.voted_for) != (last.term, last.voted_for);
        let has_commit_to_write = has_data && current != last;
        if !has_new_vote && !has_commit_to_write {
            return None;
        }
        self.hard_state = current;
        Some(current)
    }

    /// Queues batch `number` until its sync is reported.
    pub fn push(&mut self, number: u64, log_end: LogPosition, now: Monotonic) {
        self.pending.push_back(PendingBatch {
            number,
            log_end,
            hard_state: self.hard_state,
            handed_out_at: now,
        });
    }

    /// Removes and returns the oldest batch if its number is at most `number`:
    /// all batches up to `number` are synced.
    pub fn pop_synced(&mut self, number: u64) -> Option<PendingBatch> {
        if self.pending.front()?.number > number {
            return None;
        }
        let batch = self.pending.pop_front()?;
        self.synced_term = self.synced_term.max(batch.hard_state.term);
        Some(batch)
    }
}
