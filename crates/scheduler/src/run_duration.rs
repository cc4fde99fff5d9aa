//! Expected ends of runs: until when a run can be expected to use its resources.

use types::{Milliseconds, Monotonic, OpenRun, StepRules};

/// What is known of the duration of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunDuration {
    /// The run lasts until its job is cancelled.
    Lasting,
    /// The caller has estimated the duration.
    Estimated(Milliseconds),
    /// Nothing is known.
    Unknown,
}

impl RunDuration {
    /// Returns the duration of the runs of a step with these rules.
    pub(crate) fn of_step(rules: &StepRules) -> Self {
        if rules.endless {
            Self::Lasting
        } else {
            Self::of_estimate(rules.expected)
        }
    }

    /// Returns the duration of an open run that is adopted from the replicated state.
    pub(crate) fn of_open_run(open: &OpenRun, is_lasting: bool) -> Self {
        if is_lasting {
            Self::Lasting
        } else {
            Self::of_estimate(open.expected)
        }
    }

    fn of_estimate(estimate: Option<Milliseconds>) -> Self {
        estimate.map_or(Self::Unknown, Self::Estimated)
    }

    /// Returns the time that a run opened at `opened_at` is expected to go on; `None`
    /// for a lasting run, whose end nothing foretells.
    ///
    /// A run without an estimate, or past it, is expected to go on for as long as it has
    /// run. So a short run is never in doubt for long, and a long one becomes less
    /// likely to end soon.
    pub(crate) fn remaining(self, opened_at: Monotonic, now: Monotonic) -> Option<Milliseconds> {
        let age = now.since(opened_at);
        match self {
            Self::Lasting => None,
            Self::Estimated(estimate) if age < estimate => Some(Milliseconds(estimate.0 - age.0)),
            Self::Estimated(_) | Self::Unknown => Some(age),
        }
    }
}
