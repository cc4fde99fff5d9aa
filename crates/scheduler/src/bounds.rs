//! Lower and upper bounds on the resources of tasks, by kind of resource.
//!
//! Where the lower bound does not fit, no task does, and the whole set is
//! skipped.

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
}
