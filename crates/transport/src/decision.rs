//! Entries of the leader's decision log.

use scheduler::Decision;
use serde::{Deserialize, Serialize};
use types::{JobKey, JobState, RunClose, RunId, RunnerId, TaskRef, Term, WallTime};

/// One entry of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionEntry {
    /// Number of the entry. Rises by one within the term of one leader.
    pub number: u64,
    /// Term of the leader that made the entry.
    pub term: Term,
    /// Key of the job that the entry is about, if the leader knows it.
    pub job: Option<JobKey>,
    /// The event.
    pub event: DecisionEvent,
}

/// An event of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionEvent {
    /// The scheduler made a decision.
    Dispatch(Decision),
    /// A reservation was committed, and the order to start its run is sent.
    Ordered {
        /// Run that was reserved.
        run: RunId,
        /// Task of the run.
        task: TaskRef,
        /// Runner of the run.
        runner: RunnerId,
        /// Wall time of the leader.
        at: WallTime,
    },
    /// The close of a run was committed.
    Closed {
        /// Run that was closed.
        run: RunId,
        /// Task of the run.
        task: TaskRef,
        /// Runner of the run.
        runner: RunnerId,
        /// Reason of the close.
        close: RunClose,
        /// Wall time of the leader.
        at: WallTime,
    },
    /// A job reached a final state.
    JobEnded {
        /// The final state.
        state: JobState,
        /// Wall time of the leader.
        at: WallTime,
    },
}
