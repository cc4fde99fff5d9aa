//! A timer for work that repeats.

use types::{Milliseconds, Monotonic};

/// Fires at most once an interval, for the first time at once.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    interval: Milliseconds,
    next: Monotonic,
}

impl PeriodicTimer {
    /// A timer that is due now.
    pub(super) fn new(interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            interval,
            next: now,
        }
    }

    /// Returns whether the work is due; if so, schedules the next.
    pub(super) fn fire(&mut self, now: Monotonic) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.interval;
        true
    }
}
