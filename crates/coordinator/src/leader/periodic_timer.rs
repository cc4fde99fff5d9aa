//! Timer for periodic work.

use types::{Milliseconds, Monotonic};

/// Timer that fires at most once per interval, the first time immediately.
#[derive(Debug)]
pub(super) struct PeriodicTimer {
    interval: Milliseconds,
    next: Monotonic,
}

impl PeriodicTimer {
    /// Creates a timer that is due at `now`.
    pub(super) fn new(interval: Milliseconds, now: Monotonic) -> Self {
        Self {
            interval,
            next: now,
        }
    }

    /// Returns whether the work is due, and if so schedules it again after the
    /// interval.
    pub(super) fn fire(&mut self, now: Monotonic) -> bool {
        if now < self.next {
            return false;
        }
        self.next = now + self.interval;
        true
    }
}
