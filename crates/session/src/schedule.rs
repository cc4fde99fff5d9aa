//! Schedule of the rounds of keep-alives.

use rand::Rng;
use types::{Milliseconds, Monotonic};

/// Maximum number of hints to another leader that a client follows between two
/// rounds. Without a limit, two coordinators that each report the other one as
/// leader would cause an endless exchange of messages.
const MAX_HINTS_PER_ROUND: u32 = 3;
/// Rounds between two probes of the direct path while a relay is in use.
const DIRECT_PROBE_ROUNDS: u64 = 4;
/// A round is delayed by a random time of up to the interval divided by this
/// number, to spread the keep-alives of many processes.
const JITTER_DIVISOR: u64 = 8;
/// The interval between rounds is divided by this number while there is no lease,
/// since the process cannot serve requests until it finds a leader.
const SEARCH_DIVISOR: u64 = 4;

/// Schedule of one client's rounds, with the hints that are left until the next
/// round.
#[derive(Debug)]
pub(crate) struct RoundSchedule {
    interval: Milliseconds,
    next_round: Monotonic,
    /// Number of rounds so far.
    number: u64,
    hints_left: u32,
}

impl RoundSchedule {
    /// Creates a schedule whose first round is due at `now`. `interval` is the
    /// time between two rounds while there is a lease, without jitter.
    pub fn new(interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            interval,
            next_round: now,
            number: 0,
            hints_left: MAX_HINTS_PER_ROUND,
        }
    }

    /// Returns the time at which the next round is due.
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

    /// Counts a round that begins at `now`, and schedules the next one.
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

    /// Returns whether the current round probes the direct path while a relay is
    /// in use.
    pub fn probes_direct_path(&self) -> bool {
        self.number.is_multiple_of(DIRECT_PROBE_ROUNDS)
    }

    /// Returns whether the client may follow a further hint in this round, and
    /// counts it if so.
    pub fn take_hint(&mut self) -> bool {
        if self.hints_left == 0 {
            return false;
        }
        self.hints_left -= 1;
        true
    }
}
