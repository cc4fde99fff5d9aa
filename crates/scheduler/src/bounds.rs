//! Lower and upper bounds of what tasks need, by kind of resource.
//!
//! Where the lower bound does not fit, no task does, and a whole list is skipped.
//! Bounds may be wider than what the tasks need but never narrower, so that no
//! task that could start is skipped.

use types::Resources;

/// Bounds of what the tasks of a set need.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// No task needs less of any kind.
    pub(crate) min: Resources,
    /// No task needs more of any kind.
    pub(crate) max: Resources,
}

impl Bounds {
    /// Returns the bounds of one task.
    pub(crate) fn of(needs: Resources) -> Self {
        Self {
            min: needs,
            max: needs,
        }
    }

    /// Returns the bounds of both sets together.
    pub(crate) fn with(self, other: Self) -> Self {
        Self {
            min: self.min.component_min(&other.min),
            max: self.max.component_max(&other.max),
        }
    }

    /// Returns the bounds of both sets together, where either may be empty.
    pub(crate) fn join(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(one.with(other)),
            (one, other) => one.or(other),
        }
    }

    /// Returns whether a task with these needs reaches a bound, so that the bounds
    /// may be narrower without it.
    pub(crate) fn touches(&self, needs: &Resources) -> bool {
        let on = |needs: u32, min: u32, max: u32| needs <= min || needs >= max;
        on(needs.slots, self.min.slots, self.max.slots)
            || on(needs.cpu_milli, self.min.cpu_milli, self.max.cpu_milli)
            || on(needs.memory_mib, self.min.memory_mib, self.max.memory_mib)
            || on(needs.gpus, self.min.gpus, self.max.gpus)
    }
}
