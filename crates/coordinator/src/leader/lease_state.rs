//! State of the leader's lease: whether it holds, and from which time on the
//! failure of runners may be detected.

use types::{Milliseconds, Monotonic};

/// Whether the leader may act, and the times from which it measures.
#[derive(Debug)]
pub(super) struct LeaseState {
    serving: bool,
    /// When the lease was last checked and held.
    held_at: Monotonic,
    elected_at: Monotonic,
    /// Earliest time from which a runner may count as unresponsive: the election,
    /// plus the total time since then in which the lease did not hold.
    failure_detection_start: Monotonic,
}

impl LeaseState {
    /// Creates the state of a lease that holds from `now` on.
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            serving: true,
            held_at: now,
            elected_at: now,
            failure_detection_start: now,
        }
    }

    /// Returns whether the lease held when it was last checked.
    pub(super) fn is_serving(&self) -> bool {
        self.serving
    }

    /// Returns the time since the lease of this term first held.
    pub(super) fn since_election(&self, now: Monotonic) -> Milliseconds {
        now.since(self.elected_at)
    }

    /// Returns the earliest time from which a runner may count as unresponsive.
    pub(super) fn failure_detection_start(&self) -> Monotonic {
        self.failure_detection_start
    }

    /// Records that the lease holds at `now`.
    pub(super) fn record_held(&mut self, now: Monotonic) {
        self.held_at = now;
    }

    /// Records that the lease has expired.
    pub(super) fn suspend(&mut self) {
        self.serving = false;
    }

    /// Records that the lease holds again, and returns how long it did not hold.
    ///
    /// No heartbeat was accepted during that time, so failure detection does not
    /// count it. Failure detection does not restart either: a leader whose lease
    /// expires repeatedly would never close a lost run.
    pub(super) fn resume(&mut self, now: Monotonic) -> Milliseconds {
        let gap = now.since(self.held_at);
        self.serving = true;
        self.held_at = now;
        self.failure_detection_start = self.failure_detection_start + gap;
        gap
    }
}
