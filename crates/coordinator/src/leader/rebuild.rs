//! Rebuild of a new leader's scheduler from the state machine, slice by slice.

use crate::leader::Leader;
use state_machine::StateMachine;
use types::{JobNumber, Now};

/// Jobs published in one slice.
const REBUILD_JOBS: usize = 512;

/// How far the scheduler has been rebuilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RebuildCursor {
    /// Tasks of jobs after this number are still to be published.
    After(Option<JobNumber>),
    /// Everything is published.
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
    /// Publishes the next slice of ready tasks to the scheduler.
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
