//! Rounds of heartbeats, which date the leader's lease.

use std::collections::VecDeque;
use types::{Milliseconds, Monotonic};

/// The round echoed to a leader of an earlier term. Rounds are counted anew in
/// each term, and the same node may lead again by the time the reply arrives:
/// an echo of the old round would extend its new lease without any promise.
pub(crate) const NO_ROUND: u64 = 0;

/// Number and start of a round.
#[derive(Debug)]
struct Round {
    number: u64,
    begun_at: Monotonic,
}

/// The rounds of heartbeats begun in this term; the first has number 1.
#[derive(Debug)]
pub(crate) struct Rounds {
    current: u64,
    recent: VecDeque<Round>,
}

impl Rounds {
    /// No round yet.
    pub fn new() -> Self {
        Self {
            current: NO_ROUND,
            recent: VecDeque::new(),
        }
    }

    /// Number of the newest round; [`NO_ROUND`] before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Begins a round and forgets those begun more than `retention` ago.
    pub fn begin(&mut self, now: Monotonic, retention: Milliseconds) {
        self.current += 1;
        self.recent.push_back(Round {
            number: self.current,
            begun_at: now,
        });
        let is_old = |round: &Round| now.since(round.begun_at) > retention;
        while self.recent.front().is_some_and(is_old) {
            self.recent.pop_front();
        }
    }

    /// When a round began; none if the round is unknown or forgotten.
    pub fn begun_at(&self, number: u64) -> Option<Monotonic> {
        let position = self
            .recent
            .binary_search_by_key(&number, |round| round.number)
            .ok()?;
        Some(self.recent.get(position)?.begun_at)
    }
}
