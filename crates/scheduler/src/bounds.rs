//! Lower and upper bounds on the resources of tasks, by kind of resource.
//!
//! Where the lower bound does not fit, no task does, and the whole list is
//! skipped. Bounds may be wider than the tasks' needs but never narrower, so
//! that no task that could start is skipped.

use types::Resources;

/// Bounds on the resources of a set of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Bounds {
    /// Lower bound: no task needs less of any kind.
    pub(crate) min: Resources,
    /// Upper bound: no task needs more of any kind.
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

    /// Returns the bounds of both sets together; `None` means an empty set.
    pub(crate) fn join(one: Option<Self>, other: Option<Self>) -> Option<Self> {
        match (one, other) {
            (Some(one), Some(other)) => Some(one.with(other)),
            (one, other) => one.or(other),
        }
    }

    /// Returns whether a task with these needs reaches a bound. Without the
    /// task the bounds may then be narrower.
    pub(crate) fn touches(&self, needs: &Resources) -> bool {
        let reaches = |needs: u32, min: u32, max: u32| needs <= min || needs >= max;
        reaches(needs.slots, self.min.slots, self.max.slots)
            || reaches(needs.cpu_milli, self.min.cpu_milli, self.max.cpu_milli)
            || reaches(needs.memory_mib, self.min.memory_mib, self.max.memory_mib)
            || reaches(needs.gpus, self.min.gpus, self.max.gpus)
    }
}
