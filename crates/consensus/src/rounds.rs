//! Rounds of heartbeats, which date the leader's lease.

use std::collections::VecDeque;
use types::{Milliseconds, Monotonic};

/// Round that a reply to a leader of an earlier term echoes. Rounds are
/// numbered anew in each term, and the same node may be leader again when the
/// reply arrives. The number of the old round would then extend the lease of
/// the new term although no follower has restricted its votes for it.
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
    /// Creates an empty list of rounds, at the start of a term.
    pub fn new() -> Self {
        Self {
            current: NO_ROUND,
            recent: VecDeque::new(),
        }
    }

    /// Returns the number of the newest round; [`NO_ROUND`] before the first.
    pub fn current(&self) -> u64 {
        self.current
    }

    /// Begins a round, and removes those that began more than `retention` ago.
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

    /// Returns when a round began; `None` if there was no such round or it has
    /// been removed.
    pub fn begun_at(&self, number: u64) -> Option<Monotonic> {
        let position = self
            .recent
            .binary_search_by_key(&number, |round| round.number)
            .ok()?;
        Some(self.recent.get(position)?.begun_at)
    }
}
