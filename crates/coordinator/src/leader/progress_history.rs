//! The progress of a run over time, as its runner reports it.

use types::{Milliseconds, Monotonic};

/// Progress when a run was done, in percent.
const COMPLETE: u8 = 100;

/// First and newest progress of a run, in percent, with the times of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ProgressHistory {
    first: u8,
    first_at: Monotonic,
    last: u8,
    /// When the newest progress was first reported.
    last_at: Monotonic,
}

impl ProgressHistory {
    /// Begins with the first report.
    pub(super) fn new(progress: u8, now: Monotonic) -> Self {
        Self {
            first: progress,
            first_at: now,
            last: progress,
            last_at: now,
        }
    }

    /// Records a later report.
    pub(super) fn record(&mut self, progress: u8, now: Monotonic) {
        if progress != self.last {
            self.last = progress;
            self.last_at = now;
        }
    }

    /// Returns whether the run has made no progress at all.
    pub(super) fn is_at_start(&self) -> bool {
        self.last == 0
    }

    /// Time without progress.
    pub(super) fn since_progress(&self, now: Monotonic) -> Milliseconds {
        now.since(self.last_at)
    }

    /// Time left at the pace so far; none before the first progress.
    pub(super) fn time_left(&self) -> Option<Milliseconds> {
        let advanced = u64::from(self.last.saturating_sub(self.first));
        let left = u64::from(COMPLETE.saturating_sub(self.last));
        let elapsed = self.last_at.since(self.first_at).0;
        (advanced > 0).then(|| Milliseconds(elapsed * left / advanced))
    }

    /// Time since the first report.
    pub(super) fn observed(&self, now: Monotonic) -> Milliseconds {
        now.since(self.first_at)
    }
}
