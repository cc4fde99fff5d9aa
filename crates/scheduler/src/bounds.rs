//! The least and the most that waiting tasks need, kind by kind.
//!
//! Whole lists are passed over by these alone: where even the least does not
//! fit, no task does. Bounds may be wider than what waits, never narrower, so
//! passing over a list never passes over a task that could start.

use types::Resources;

/// Bounds of what a set of tasks needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// No task needs less of any kind.
    pub(crate) min: Resources,
    /// No task needs more of any kind.
    pub(crate) max: Resources,
}

impl Bounds {
    /// Bounds of one task.
    pub(crate) fn of(needs: Resources) -> Self {
        Self {
            min: needs,
            max: needs,
        }
    }

    /// Bounds of both sets together.
    pub(crate) fn with(self, other: Self) -> Self {
        Self {
            min: self.min.component_min(&other.min),
            max: self.max.component_max(&other.max),
        }
    }

    /// The same where either set may be empty.
    pub(crate) fn join(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(one.with(other)),
            (one, other) => one.or(other),
        }
    }

    /// Returns whether a task that needs this much may stand on a bound: without it
    /// the bounds may be narrower.
    pub(crate) fn touches(&self, needs: &Resources) -> bool {
        let on = |needs: u32, min: u32, max: u32| needs <= min || needs >= max;
        on(needs.slots, self.min.slots, self.max.slots)
            || on(needs.cpu_milli, self.min.cpu_milli, self.max.cpu_milli)
            || on(needs.memory_mib, self.min.memory_mib, self.max.memory_mib)
            || on(needs.gpus, self.min.gpus, self.max.gpus)
    }
}
