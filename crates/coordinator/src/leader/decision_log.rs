//! Log of the newest decisions of the leader, kept in memory for operators'
//! reads.

use std::collections::VecDeque;
use transport::{DecisionEntry, DecisionEvent};
use types::{JobKey, Term};

/// Newest decisions of one leader, numbered from 1 in its term.
#[derive(Debug)]
pub(super) struct DecisionLog {
    term: Term,
    capacity: usize,
    next: u64,
    entries: VecDeque<DecisionEntry>,
    /// Entries that have not been emitted as effects yet.
    unemitted: Vec<DecisionEntry>,
}

impl DecisionLog {
    /// Creates an empty log that keeps the newest `capacity` entries.
    pub(super) fn new(term: Term, capacity: usize) -> Self {
        Self {
            term,
            capacity,
            next: 1,
            entries: VecDeque::new(),
            unemitted: Vec::new(),
        }
    }

    /// Records a decision. `job` is `None` if the job is no longer known.
    pub(super) fn record(&mut self, job: Option<JobKey>, event: DecisionEvent) {
        let entry = DecisionEntry {
            number: self.next,
            term: self.term,
            job,
            event,
        };
        self.next += 1;
        self.unemitted.push(entry.clone());
        self.entries.push_back(entry);
        while self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Returns the entries added since the last call.
    pub(super) fn take_unemitted(&mut self) -> Vec<DecisionEntry> {
        std::mem::take(&mut self.unemitted)
    }

    /// Returns at most `limit` entries with a higher number than `number`, oldest
    /// first.
    pub(super) fn after(&self, number: u64, limit: usize) -> Vec<DecisionEntry> {
        self.entries
            .iter()
            .filter(|entry| entry.number > number)
            .take(limit)
            .cloned()
            .collect()
    }
}
