//! The decision log: the newest lines, kept to be served.

use std::collections::VecDeque;
use transport::{DecisionEntry, DecisionEvent};
use types::{JobKey, Term};

/// The newest decisions of one leader.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    term: Term,
    capacity: usize,
    next: u64,
    entries: VecDeque<DecisionEntry>,
    /// Entries at the end that were not let out yet.
    new: Vec<DecisionEntry>,
}

impl DecisionLog {
    pub(crate) fn new(term: Term, capacity: usize) -> Self {
        Self {
            term,
            capacity,
            next: 1,
            entries: VecDeque::new(),
            new: Vec::new(),
        }
    }

    pub(crate) fn push(&mut self, job: Option<JobKey>, event: DecisionEvent) {
        let entry = DecisionEntry {
            number: self.next,
            term: self.term,
            job,
            event,
        };
        self.next += 1;
        self.new.push(entry.clone());
        self.entries.push_back(entry);
        while self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Lines added since the last call.
    pub(crate) fn take_new(&mut self) -> Vec<DecisionEntry> {
        std::mem::take(&mut self.new)
    }

    /// Lines after this number, oldest first.
    pub(crate) fn after(&self, number: u64, limit: usize) -> Vec<DecisionEntry> {
        self.entries
            .iter()
            .filter(|entry| entry.number > number)
            .take(limit)
            .cloned()
            .collect()
    }
}
