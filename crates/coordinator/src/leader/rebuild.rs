//! Rebuild of a new leader's scheduler from the state machine, in slices.

use crate::leader::Leader;
use state_machine::StateMachine;
use types::{JobNumber, Now};

/// Maximum number of jobs whose ready tasks are published in one slice.
const REBUILD_JOBS: usize = 512;

/// Position of the rebuild.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RebuildCursor {
    /// Tasks of jobs after this number are not published yet; with `None`, those
    /// of all jobs.
    After(Option<JobNumber>),
    /// All ready tasks are published.
    Done,
}

impl Default for RebuildCursor {
    fn default() -> Self {
        Self::After(None)
    }
}

impl RebuildCursor {
    /// Returns whether the scheduler has all ready tasks.
    pub(super) fn is_done(self) -> bool {
        self == Self::Done
    }
}

impl Leader {
    /// Publishes the ready tasks of the next slice of jobs to the scheduler.
    pub(super) fn rebuild_slice(&mut self, state_machine: &StateMachine, now: Now) {
        let RebuildCursor::After(after) = self.rebuild else {
            return;
        };
        let ready = state_machine.ready_tasks(after, REBUILD_JOBS);
        let last: Option<JobNumber> = ready.iter().map(|meta| meta.task.job).max();
        for meta in ready {
            self.scheduler.publish(meta, now);
        }
        self.rebuild = match last {
            Some(last) => RebuildCursor::After(Some(last)),
            None => RebuildCursor::Done,
        };
        self.placement.request();
    }
}
