//! Output for the caller, and the confirmation that it is synced.

use super::Node;
use crate::log::after;
use crate::role::Role;
use crate::{Entry, HardState, Ready};
use types::Monotonic;

impl Node {
    /// Returns the next batch of output; `None` if there is no output. The
    /// caller must call this after every other call.
    pub fn ready(&mut self) -> Option<Ready> {
        self.replicate();
        let snapshot = self.outbox.snapshot.take();
        let entries = self.log.take_unwritten();
        let has_data = snapshot.is_some() || !entries.is_empty();
        let hard_state = self.hard_state();
        let mut ready = Ready {
            number: self.persist_queue.next_number(),
            hard_state: self.persist_queue.take_hard_state(hard_state, has_data),
            snapshot,
            entries,
            committed: self.take_committed(),
            messages: std::mem::take(&mut self.outbox.messages),
            messages_after_persist: Vec::new(),
        };
        // If this batch has no data, its messages wait for the syncs of earlier
        // batches.
        if ready.needs_persist() || self.persist_queue.is_synced() {
            ready.messages_after_persist = std::mem::take(&mut self.outbox.after_persist);
        }
        if ready.is_empty() {
            return None;
        }
        self.persist_queue.advance_number();
        if ready.needs_persist() {
            self.persist_queue
                .push(ready.number, self.log.end(), self.clock);
        }
        Some(ready)
    }

    fn hard_state(&self) -> HardState {
        HardState {
            term: self.term,
            voted_for: self.voted_for,
            commit: self.commit,
        }
    }

    /// Takes the entries that are committed and were not handed out to be
    /// applied yet. All of them were handed out to be written, in this batch at
    /// the latest.
    fn take_committed(&mut self) -> Vec<Entry> {
        if self.delivered >= self.commit {
            return Vec::new();
        }
        let committed = self.log.range(after(self.delivered), self.commit);
        if let Some(last) = committed.last() {
            self.delivered = last.index;
        }
        committed
    }

    /// Records that batch `number` and all before it are synced.
    pub fn persisted(&mut self, now: Monotonic, number: u64) {
        self.advance_clock(now);
        while let Some(batch) = self.persist_queue.pop_synced(number) {
            self.log.mark_synced(batch.log_end);
            self.record_sync(self.clock.since(batch.handed_out_at));
        }
        match self.role {
            Role::Candidate(_) => self.count_votes(),
            Role::Leader(_) => self.advance_commit(),
            Role::Follower | Role::PreCandidate(_) => {}
        }
    }
}
