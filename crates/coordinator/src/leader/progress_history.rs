//! Progress of a run over time, as reported by its runner.

use types::{Milliseconds, Monotonic};

/// Progress of a complete run, in percent.
const COMPLETE_PERCENT: u8 = 100;

/// First and newest reported progress of a run, in percent, and the times of
/// both reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProgressHistory {
    first: u8,
    first_at: Monotonic,
    last: u8,
    /// When the newest progress was first reported.
    last_at: Monotonic,
}

impl ProgressHistory {
    /// Creates the history of a run whose first report arrives at `now`.
    pub(super) fn new(progress: u8, now: Monotonic) -> Self {
        Self {
            first: progress,
            first_at: now,
            last: progress,
            last_at: now,
        }
    }

    /// Records a later report. A report of unchanged progress has no effect.
    pub(super) fn record(&mut self, progress: u8, now: Monotonic) {
        if progress != self.last {
            self.last = progress;
            self.last_at = now;
        }
    }

    /// Returns whether the newest progress is 0 percent.
    pub(super) fn is_at_start(&self) -> bool {
        self.last == 0
    }

    /// Returns the time since the progress last changed.
    pub(super) fn since_progress(&self, now: Monotonic) -> Milliseconds {
        now.since(self.last_at)
    }

    /// Estimates the remaining time from the average speed since the first
    /// report. Returns `None` if there is no progress since then.
    pub(super) fn time_left(&self) -> Option<Milliseconds> {
        let advanced = u64::from(self.last.saturating_sub(self.first));
        let remaining = u64::from(COMPLETE_PERCENT.saturating_sub(self.last));
        let elapsed = self.last_at.since(self.first_at).0;
        (advanced > 0).then(|| Milliseconds(elapsed * remaining / advanced))
    }

    /// Returns the time since the first report.
    pub(super) fn observation_time(&self, now: Monotonic) -> Milliseconds {
        now.since(self.first_at)
    }
}
