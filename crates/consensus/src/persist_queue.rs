//! Batches that were handed out to be persisted, and messages that wait.

use crate::log::LogPosition;
use crate::{HardState, Outgoing, Snapshot};
use std::collections::VecDeque;
use types::{Monotonic, Term};

/// Output that waits for the next [`crate::Ready`].
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Messages that promise nothing about the disk.
    pub messages: Vec<Outgoing>,
    /// Messages that may be sent once what precedes them is synced.
    pub after_persist: Vec<Outgoing>,
    /// A snapshot received whole.
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

/// Batches handed out so far, oldest first.
#[derive(Debug)]
pub(crate) struct PersistQueue {
    last_number: u64,
    /// The hard state handed out last.
    hard_state: HardState,
    pending: VecDeque<PendingBatch>,
    synced_term: Term,
}

impl PersistQueue {
    /// A queue without batches; `recovered` is on disk.
    pub fn new(recovered: HardState) -> Self {
        Self {
            last_number: 0,
            hard_state: recovered,
            pending: VecDeque::new(),
            synced_term: recovered.term,
        }
    }

    /// The term on disk; a vote given in the same step is synced with it.
    pub fn synced_term(&self) -> Term {
        self.synced_term
    }

    /// When the oldest batch that is not synced was handed out.
    pub fn oldest_handed_out_at(&self) -> Option<Monotonic> {
        self.pending.front().map(|batch| batch.handed_out_at)
    }

    /// Returns whether every batch handed out is synced.
    pub fn is_synced(&self) -> bool {
        self.pending.is_empty()
    }

    /// Number of the batch that would be handed out next.
    pub fn next_number(&self) -> u64 {
        self.last_number + 1
    }

    /// Counts the next batch as handed out.
    pub fn advance_number(&mut self) {
        self.last_number += 1;
    }

    /// Takes the hard state to write: `current` if term or vote changed. The
    /// commit index is only a hint, so it is written with other data
    /// (`has_data`) and never alone.
    pub fn take_hard_state(&mut self, current: HardState, has_data: bool) -> Option<HardState> {
        let last = self.hard_state;
        let has_new_vote = (current.term, current.voted_for) != (last.term, last.voted_for);
        let has_new_hint = has_data && current != last;
        if !has_new_vote && !has_new_hint {
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

    /// Removes the oldest batch up to `number`, which is synced.
    pub fn pop_synced(&mut self, number: u64) -> Option<PendingBatch> {
        if self.pending.front()?.number > number {
            return None;
        }
        let batch = self.pending.pop_front()?;
        self.synced_term = self.synced_term.max(batch.hard_state.term);
        Some(batch)
    }
}
