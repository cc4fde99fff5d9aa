//! What a node gives to its shell, and what the shell tells it back.

use crate::node::Role;
use crate::{Entry, HardState, Node, Outgoing, Snapshot};
use std::collections::VecDeque;
use types::{LogIndex, Monotonic, Term};

/// What the shell must do, in this order: persist `hard_state`, `snapshot`
/// and `entries` with one sync; hand `committed` to the state machine; and
/// send. `messages` may leave at once; `messages_after_persist` only when the
/// sync is done. Then call [`Node::persisted`] with `number`.
///
/// Batches may be taken before earlier ones are synced. A batch with nothing
/// for the disk counts as persisted when those before it are; calling
/// [`Node::persisted`] for it earlier would claim theirs.
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
    /// Returns whether the batch has something for the disk.
    pub fn needs_persist(&self) -> bool {
        self.hard_state.is_some() || self.snapshot.is_some() || !self.entries.is_empty()
    }

    fn is_empty(&self) -> bool {
        !self.needs_persist()
            && self.committed.is_empty()
            && self.messages.is_empty()
            && self.messages_after_persist.is_empty()
    }
}

/// What waits to be given out.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    pub messages: Vec<Outgoing>,
    pub after_persist: Vec<Outgoing>,
    pub snapshot: Option<Snapshot>,
}

/// A batch that is given out for the disk and not synced yet.
#[derive(Debug)]
struct PendingBatch {
    number: u64,
    last_index: LogIndex,
    last_term: Term,
    hard_state: HardState,
    given_at: Monotonic,
}

/// The batches given out so far.
#[derive(Debug)]
pub(crate) struct Batches {
    last_number: u64,
    given: HardState,
    pending: VecDeque<PendingBatch>,
    /// The term on disk; with it a vote that was given in the same step.
    synced_term: Term,
}

impl Batches {
    pub fn new(recovered: HardState) -> Self {
        Self {
            last_number: 0,
            given: recovered,
            pending: VecDeque::new(),
            synced_term: recovered.term,
        }
    }

    pub fn synced_term(&self) -> Term {
        self.synced_term
    }

    /// When the oldest batch that is not synced was given out.
    pub fn oldest_given_at(&self) -> Option<Monotonic> {
        self.pending.front().map(|batch| batch.given_at)
    }
}

impl Node {
    /// What there is to do, or none. To be asked after every other call.
    pub fn ready(&mut self) -> Option<Ready> {
        self.replicate();
        let snapshot = self.outbox.snapshot.take();
        let entries = self.log.take_unwritten();
        let with_data = snapshot.is_some() || !entries.is_empty();
        let mut ready = Ready {
            number: self.batches.last_number + 1,
            hard_state: self.take_hard_state(with_data),
            snapshot,
            entries,
            committed: self.take_committed(),
            messages: std::mem::take(&mut self.outbox.messages),
            messages_after_persist: Vec::new(),
        };
        // With nothing for the disk, a promise must wait for earlier batches.
        if ready.needs_persist() || self.batches.pending.is_empty() {
            ready.messages_after_persist = std::mem::take(&mut self.outbox.after_persist);
        }
        if ready.is_empty() {
            return None;
        }
        self.batches.last_number = ready.number;
        if ready.needs_persist() {
            self.record_pending(ready.number);
        }
        Some(ready)
    }

    fn record_pending(&mut self, number: u64) {
        self.batches.pending.push_back(PendingBatch {
            number,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
            hard_state: self.batches.given,
            given_at: self.clock,
        });
    }

    /// The hard state if term or vote changed. The commit index is only a
    /// hint: it is written along with data and never alone.
    fn take_hard_state(&mut self, with_data: bool) -> Option<HardState> {
        let current = HardState {
            term: self.term,
            voted_for: self.voted_for,
            commit: self.commit,
        };
        let given = self.batches.given;
        let must = (current.term, current.voted_for) != (given.term, given.voted_for);
        let may = with_data && current != given;
        if !must && !may {
            return None;
        }
        self.batches.given = current;
        Some(current)
    }

    /// Entries that are committed and were not handed out yet. All of them
    /// were given out to be written, in this batch at the latest.
    fn take_committed(&mut self) -> Vec<Entry> {
        if self.delivered >= self.commit {
            return Vec::new();
        }
        let from = crate::log::after(self.delivered);
        let committed = self.log.range(from, self.commit);
        if let Some(last) = committed.last() {
            self.delivered = last.index;
        }
        committed
    }

    /// Says that batch `number` and all before it are synced.
    pub fn persisted(&mut self, now: Monotonic, number: u64) {
        self.observe(now);
        while let Some(batch) = self.batches.pending.front() {
            if batch.number > number {
                break;
            }
            self.log.mark_synced(batch.last_index, batch.last_term);
            let term = batch.hard_state.term;
            self.batches.synced_term = self.batches.synced_term.max(term);
            let took = self.clock.since(batch.given_at);
            self.batches.pending.pop_front();
            self.record_sync(took);
        }
        match self.role {
            Role::Candidate(_) => self.count_votes(),
            Role::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }
}
