//! References to steps of jobs.

use types::{JobNumber, TaskRef};

/// Reference to one step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct StepRef {
    job: JobNumber,
    step: u16,
}

impl StepRef {
    /// Returns the step that a task belongs to.
    pub(crate) fn of(task: TaskRef) -> Self {
        Self {
            job: task.job,
            step: task.step,
        }
    }

    /// Returns the task at a position in the step.
    pub(crate) fn task(self, task: u32) -> TaskRef {
        TaskRef {
            job: self.job,
            step: self.step,
            task,
        }
    }
}
