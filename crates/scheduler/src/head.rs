//! Order of the tasks of a list, and the first task of each shape.

use crate::index::ShapeIndex;
use types::{Monotonic, TaskRef, Urgency};

/// Position of a task among those of its list: urgent tasks first, then those
/// of the oldest job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct TaskOrder {
    pub(crate) urgency: Urgency,
    pub(crate) task: TaskRef,
}

/// First task of one shape in a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShapeHead {
    pub(crate) order: TaskOrder,
    pub(crate) shape: ShapeIndex,
    /// Start of the task's current wait.
    pub(crate) waiting_since: Monotonic,
}

/// First head in order that a search has accepted so far, with the result of
/// the check that accepted it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Match<T> {
    pub(crate) order: TaskOrder,
    pub(crate) value: T,
}
