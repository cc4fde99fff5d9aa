//! Randomized election timeout (thesis, 3.4).

use crate::Options;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{Milliseconds, Monotonic};

/// Divisor of the election timeout that gives the shortest wait of a failed
/// candidate before its next election.
const MIN_RETRY_DIVISOR: u64 = 4;

/// Deadline of the next election, with a random part from a seeded generator.
#[derive(Debug)]
pub(crate) struct ElectionTimer {
    random: ChaCha8Rng,
    deadline: Monotonic,
}

impl ElectionTimer {
    /// Creates a timer that has expired at `now`. It must be reset before use.
    pub fn new(seed: u64, now: Monotonic) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            deadline: now,
        }
    }

    /// Returns when the timer expires.
    pub fn deadline(&self) -> Monotonic {
        self.deadline
    }

    /// Sets the deadline of a follower. A degraded voter (`is_degraded`) waits
    /// longer, so that other voters start their elections first.
    pub fn reset(&mut self, now: Monotonic, options: &Options, is_degraded: bool) {
        let spread = options.election_spread.0;
        let random_wait = self.random.random_range(0..spread.max(1));
        let extra_wait = if is_degraded { spread } else { 0 };
        let wait = options.election_timeout.0.saturating_add(random_wait);
        self.deadline = now + Milliseconds(wait.saturating_add(extra_wait));
    }

    /// Sets the deadline of the next election, in case the present one fails.
    /// The wait is short: most elections fail because of a second candidate, or
    /// because the vote restriction of some voter ends a little later. The
    /// deadline is never before `not_before`, the end of this node's own vote
    /// restriction.
    pub fn reset_for_retry(&mut self, now: Monotonic, options: &Options, not_before: Monotonic) {
        let timeout = options.election_timeout.0;
        let random_wait = self.random.random_range(0..timeout.max(2) / 2);
        let min_wait = timeout / MIN_RETRY_DIVISOR;
        let wait = min_wait.saturating_add(random_wait).max(1);
        self.deadline = (now + Milliseconds(wait)).max(not_before);
    }
}
