//! Entries of the leader's decision log.

use scheduler::Decision;
use serde::{Deserialize, Serialize};
use types::{JobKey, JobState, RunClose, RunId, RunnerId, TaskRef, Term, WallTime};

/// One entry of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionEntry {
    /// Number of the entry, consecutive within the term of one leader.
    pub number: u64,
    /// Term of the leader that recorded the entry.
    pub term: Term,
    /// Key of the job that the entry concerns. `None` if the cluster no longer
    /// stores the job.
    pub job: Option<JobKey>,
    /// Scheduler decision or committed change that the entry records.
    pub event: DecisionEvent,
}

/// An event of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionEvent {
    /// The scheduler placed a task, or did not place it for the stated reason.
    Dispatch(Decision),
    /// A reservation was committed and the order to start its run was sent.
    Ordered {
        /// Run that was reserved.
        run: RunId,
        /// Task of the run.
        task: TaskRef,
        /// Runner of the run.
        runner: RunnerId,
        /// Wall-clock time of the leader at the event.
        at: WallTime,
    },
    /// A run was closed, and the close is committed.
    Closed {
        /// Run that was closed.
        run: RunId,
        /// Task of the run.
        task: TaskRef,
        /// Runner of the run.
        runner: RunnerId,
        /// Reason of the close.
        close: RunClose,
        /// Wall-clock time of the leader at the event.
        at: WallTime,
    },
    /// A job reached a final state.
    JobEnded {
        /// Final state of the job.
        state: JobState,
        /// Wall-clock time of the leader at the event.
        at: WallTime,
    },
}
