//! The leader's lease over time: whether it holds, and since when the failure
//! of runners may be detected.

use types::{Milliseconds, Monotonic};

/// Whether the leader may act, and the clocks that stop while it may not.
#[derive(Debug)]
pub(super) struct LeaseState {
    serving: bool,
    /// When the lease was last seen to hold.
    held_at: Monotonic,
    elected_at: Monotonic,
    /// A runner counts as unresponsive from here at the earliest: the election,
    /// and later by as long as the lease did not hold since.
    failure_detection_start: Monotonic,
}

impl LeaseState {
    /// Begins with a lease that holds.
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

    /// Time since the election.
    pub(super) fn since_election(&self, now: Monotonic) -> Milliseconds {
        now.since(self.elected_at)
    }

    /// The earliest moment from which a runner counts as unresponsive.
    pub(super) fn failure_detection_start(&self) -> Monotonic {
        self.failure_detection_start
    }

    /// Records that the lease holds at this moment.
    pub(super) fn record_held(&mut self, now: Monotonic) {
        self.held_at = now;
    }

    /// Records that the lease lapsed.
    pub(super) fn suspend(&mut self) {
        self.serving = false;
    }

    /// Records that the lease holds again; returns how long it did not.
    ///
    /// No heartbeat was accepted meanwhile, so failure detection stood still. If
    /// it began anew, a leader whose lease lapses now and then would never close
    /// a lost run.
    pub(super) fn resume(&mut self, now: Monotonic) -> Milliseconds {
        let gap = now.since(self.held_at);
        self.serving = true;
        self.held_at = now;
        self.failure_detection_start = self.failure_detection_start + gap;
        gap
    }
}
