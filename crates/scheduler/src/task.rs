//! Table of published tasks, those that were added to the view, with their status.

use crate::head::TaskOrder;
use crate::index::{ListIndex, ShapeIndex};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use types::{Monotonic, StepRules, TaskRef, Urgency, WallTime};

/// Status of a published task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TaskStatus {
    /// The task has no run and may start now.
    Pending,
    /// The task runs and may have a further copy.
    Copyable,
    /// The task's start time or backoff is in the future.
    Delayed,
    /// A queue in shadow mode has decided on the task.
    Shadowed,
    /// The task belongs to a gang and could start together with the others.
    InGang,
    /// The task has as many open runs as it may have.
    Bound,
}

impl TaskStatus {
    /// Returns whether the task would start if it had capacity and a licence seat.
    pub(crate) fn is_waiting(self) -> bool {
        matches!(self, Self::Pending | Self::InGang)
    }
}

/// Change of a task's status.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StatusChange {
    pub(crate) old: TaskStatus,
    pub(crate) new: TaskStatus,
}

impl StatusChange {
    /// Returns whether the task starts waiting through this change.
    pub(crate) fn starts_waiting(self) -> bool {
        !self.old.is_waiting() && self.new.is_waiting()
    }

    /// Returns whether the task stops waiting through this change.
    pub(crate) fn stops_waiting(self) -> bool {
        self.old.is_waiting() && !self.new.is_waiting()
    }
}

/// Published task. The Job Pump has an entry `jobs:<id>` for each job; the view
/// has an entry for each task.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) list: ListIndex,
    pub(crate) shape: ShapeIndex,
    /// Maximum number of open runs; at least 1.
    pub(crate) max_copies: u32,
    pub(crate) urgency: Urgency,
    pub(crate) status: TaskStatus,
    /// Earliest start; zero when the task may start at once.
    pub(crate) not_before: WallTime,
    /// Start of the current wait, on this leader's clock.
    pub(crate) waiting_since: Monotonic,
    /// Placement rules of the task's step.
    pub(crate) rules: StepRules,
    /// Number of tasks of the step.
    pub(crate) step_tasks: u32,
}

impl Task {
    /// Returns the task's position among the tasks of its tenant list.
    pub(crate) fn order(&self, task: TaskRef) -> TaskOrder {
        TaskOrder {
            urgency: self.urgency,
            task,
        }
    }
}

/// Published tasks by reference.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskTable {
    entries: BTreeMap<TaskRef, Task>,
    /// Tasks with the status [`TaskStatus::Delayed`], by start time.
    delayed: BTreeSet<(WallTime, TaskRef)>,
}

impl TaskTable {
    /// Returns the number of published tasks.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the task is published.
    pub(crate) fn contains(&self, task: TaskRef) -> bool {
        self.entries.contains_key(&task)
    }

    /// Returns the entry of a task; `None` when it is not published.
    pub(crate) fn get(&self, task: TaskRef) -> Option<&Task> {
        self.entries.get(&task)
    }

    /// Returns the published tasks of a range, in order.
    pub(crate) fn range(
        &self,
        tasks: RangeInclusive<TaskRef>,
    ) -> impl Iterator<Item = (TaskRef, &Task)> {
        self.entries
            .range(tasks)
            .map(|(task, entry)| (*task, entry))
    }

    /// Adds a task.
    pub(crate) fn insert(&mut self, task: TaskRef, entry: Task) {
        self.entries.insert(task, entry);
    }

    /// Removes a task and returns its entry.
    pub(crate) fn remove(&mut self, task: TaskRef) -> Option<Task> {
        self.entries.remove(&task)
    }

    /// Sets the start of a task's current wait to `now`.
    pub(crate) fn restart_wait(&mut self, task: TaskRef, now: Monotonic) {
        if let Some(entry) = self.entries.get_mut(&task) {
            entry.waiting_since = now;
        }
    }

    /// Sets a task's status. Returns `None` when the task is not published or
    /// has that status already.
    pub(crate) fn set_status(&mut self, task: TaskRef, new: TaskStatus) -> Option<StatusChange> {
        let entry = self.entries.get_mut(&task)?;
        if entry.status == new {
            return None;
        }
        let old = std::mem::replace(&mut entry.status, new);
        let due = (entry.not_before, task);
        if old == TaskStatus::Delayed {
            self.delayed.remove(&due);
        }
        if new == TaskStatus::Delayed {
            self.delayed.insert(due);
        }
        Some(StatusChange { old, new })
    }

    /// Returns the earliest start time of the delayed tasks; `None` when there
    /// are none.
    pub(crate) fn next_start_time(&self) -> Option<WallTime> {
        self.delayed.first().map(|(time, _)| *time)
    }

    /// Removes the first due task from the delayed tasks and returns it. Since
    /// it is removed, a loop over the due tasks ends whatever status each of
    /// them gets.
    pub(crate) fn pop_due(&mut self, now: WallTime) -> Option<TaskRef> {
        if self.next_start_time()? > now {
            return None;
        }
        self.delayed.pop_first().map(|(_, task)| task)
    }
}
