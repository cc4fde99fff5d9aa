//! Randomized election timeout (thesis, 3.4).

use crate::Options;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use types::{Milliseconds, Monotonic};

/// A failed candidate waits at least this fraction of the election timeout.
const MIN_RETRY_DIVISOR: u64 = 4;

/// Deadline of the next election, drawn from a seeded generator.
#[derive(Debug)]
pub(crate) struct ElectionTimer {
    random: ChaCha8Rng,
    deadline: Monotonic,
}

impl ElectionTimer {
    /// A timer that has expired at `now`, until it is reset.
    pub fn new(seed: u64, now: Monotonic) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            deadline: now,
        }
    }

    /// When the timer expires.
    pub fn deadline(&self) -> Monotonic {
        self.deadline
    }

    /// Sets the deadline of a follower. A degraded voter (`is_degraded`) waits
    /// longer, so that the others start their elections first.
    pub fn reset(&mut self, now: Monotonic, options: &Options, is_degraded: bool) {
        let spread = options.election_spread.0;
        let random_wait = self.random.random_range(0..spread.max(1));
        let handicap = if is_degraded { spread } else { 0 };
        let wait = options.election_timeout.0.saturating_add(random_wait);
        self.deadline = now + Milliseconds(wait.saturating_add(handicap));
    }

    /// Sets the deadline for the next attempt if this one fails. It is short:
    /// most attempts fail because of a second candidate or of a voter whose
    /// promise to the old leader ends a little later. It is never before
    /// `not_before`, while this node's own promise lasts.
    pub fn reset_for_retry(&mut self, now: Monotonic, options: &Options, not_before: Monotonic) {
        let timeout = options.election_timeout.0;
        let random_wait = self.random.random_range(0..timeout.max(2) / 2);
        let min_wait = timeout / MIN_RETRY_DIVISOR;
        let wait = min_wait.saturating_add(random_wait).max(1);
        self.deadline = (now + Milliseconds(wait)).max(not_before);
    }
}
