//! Rebuild of a new leader's scheduler from the state machine.
//!
//! A slice is one step of the rebuild after an election: it publishes the ready
//! tasks of the next jobs, that is, adds them to the tasks that the scheduler may
//! place.

use crate::leader::Leader;
use state_machine::StateMachine;
use types::{JobNumber, Now};

/// Maximum number of jobs whose ready tasks are published to the scheduler in
/// one slice of the rebuild.
const REBUILD_JOBS: usize = 512;

/// Position of the rebuild in the order of job numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RebuildCursor {
    /// Tasks of jobs after this number are not published to the scheduler yet;
    /// with `None`, those of all jobs.
    After(Option<JobNumber>),
    /// All ready tasks are published to the scheduler.
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
