//! When rounds of keep-alives are due.

use rand::Rng;
use types::{Milliseconds, Monotonic};

/// Largest number of hints to another leader that a client follows between two
/// rounds. Two coordinators that name each other would otherwise keep it busy.
const MAX_HINTS_PER_ROUND: u32 = 3;
/// While a relay is in use the direct path is probed once in this many rounds.
const DIRECT_PROBE_ROUNDS: u64 = 4;
/// A round is delayed by a random part of the interval divided by this, so that
/// the keep-alives of many processes spread.
const JITTER_DIVISOR: u64 = 8;
/// Without a lease the interval between rounds is divided by this: the process
/// serves nothing until it finds a leader.
const SEARCH_DIVISOR: u64 = 4;

/// Schedule of the rounds of one client.
#[derive(Debug)]
pub(crate) struct RoundSchedule {
    interval: Milliseconds,
    next_round: Monotonic,
    number: u64,
    hints_left: u32,
}

impl RoundSchedule {
    /// A schedule whose first round is due at `now`; `interval` is the time
    /// between two rounds with a lease.
    pub fn new(interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            interval,
            next_round: now,
            number: 0,
            hints_left: MAX_HINTS_PER_ROUND,
        }
    }

    /// When the next round is due.
    pub fn next_round(&self) -> Monotonic {
        self.next_round
    }

    /// Makes the next round due at `now`.
    pub fn expedite(&mut self, now: Monotonic) {
        self.next_round = now;
    }

    /// Returns whether a round is due.
    pub fn is_due(&self, now: Monotonic) -> bool {
        now >= self.next_round
    }

    /// Begins a round and schedules the next one.
    pub fn begin_round(&mut self, now: Monotonic, has_lease: bool, random: &mut impl Rng) {
        let interval = if has_lease {
            self.interval
        } else {
            Milliseconds(self.interval.0 / SEARCH_DIVISOR)
        };
        let jitter = Milliseconds(random.random_range(0..=interval.0 / JITTER_DIVISOR));
        self.next_round = now + interval + jitter;
        self.number += 1;
        self.hints_left = MAX_HINTS_PER_ROUND;
    }

    /// Returns whether the current round probes the direct path although a
    /// relay is in use.
    pub fn probes_direct_path(&self) -> bool {
        self.number.is_multiple_of(DIRECT_PROBE_ROUNDS)
    }

    /// Returns whether the client may follow a hint, and counts it.
    pub fn take_hint(&mut self) -> bool {
        if self.hints_left == 0 {
            return false;
        }
        self.hints_left -= 1;
        true
    }
}
