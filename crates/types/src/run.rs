//! Runs, each of which is one attempt at a task on one runner.

use crate::{JobId, JobKey, Milliseconds, Resources, RunId, StepName};
use serde::{Deserialize, Serialize};

/// Specification of a run, as sent to the runner that starts it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// Identifier of the run, which is started at most once.
    pub run: RunId,
    /// Job that the run belongs to.
    pub job: JobKey,
    /// Step that the task belongs to.
    pub step: StepName,
    /// Position of the task in the step, from 0.
    pub task: u32,
    /// Number of the run among the runs of its task, from 1. All members of a gang
    /// have the same number.
    pub attempt: u32,
    /// Checkpoint saved by an earlier run of the task, to resume from; `None` without
    /// one.
    pub checkpoint: Option<String>,
    /// Resources that the run may use.
    pub resources: Resources,
    /// Duration after which the runner stops the run.
    pub time_limit: Milliseconds,
    /// Payload of the step, or of the job if the step has none; opaque to the cluster.
    pub payload: String,
}

/// Outcome of a run on its runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task completed successfully.
    Done,
    /// The task failed, for the given reason (text for people).
    Failed(String),
    /// The run was stopped by an order, or by the runner itself at the end of the run
    /// lease. Does not count as a failure of the task.
    Stopped,
}

/// Run that is active on its runner, as reported in a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Time since the run started, by the clock of the runner.
    pub age: Milliseconds,
    /// Progress in percent; `None` if the runner reports none.
    pub progress: Option<u8>,
    /// Last checkpoint saved by the run, from which a later run resumes; `None` without
    /// one.
    pub checkpoint: Option<String>,
}

impl ActiveRun {
    /// Creates a report without progress and checkpoint.
    pub fn new(run: RunId, age: Milliseconds) -> Self {
        Self {
            run,
            age,
            progress: None,
            checkpoint: None,
        }
    }
}

/// Run that has ended. Its runner keeps it until the leader confirms that the end
/// is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// Identifier of the run.
    pub run: RunId,
    /// Outcome reported by the runner.
    pub outcome: Outcome,
    /// Last checkpoint saved by the run, from which a later run resumes; `None` without
    /// one.
    pub checkpoint: Option<String>,
}

impl EndedRun {
    /// Creates a report without a checkpoint.
    pub fn new(run: RunId, outcome: Outcome) -> Self {
        Self {
            run,
            outcome,
            checkpoint: None,
        }
    }
}

/// Name of a run as callers and runners use it. It identifies the run to a restarted
/// agent, which no longer has the identifiers of the runs on its runner.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunName {
    /// Identifier of the job, chosen by the caller.
    pub job: JobId,
    /// Step that the task belongs to.
    pub step: StepName,
    /// Position of the task in the step, from 0.
    pub task: u32,
    /// Number of the run among the runs of its task, from 1.
    pub attempt: u32,
}

/// Run that is active or has ended on the runner of an agent, which has no
/// identifier for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnnamedRun {
    /// Name of the run, as the runner reports it.
    pub name: RunName,
    /// Outcome of the run; `None` while it is active.
    pub outcome: Option<Outcome>,
    /// Progress in percent; `None` if the runner reports none.
    pub progress: Option<u8>,
    /// Last checkpoint saved by the run, from which a later run resumes; `None` without
    /// one.
    pub checkpoint: Option<String>,
}

/// Reason for which the replicated state machine closed a run. A closed run is never
/// reopened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunClose {
    /// The runner reported the end with this outcome.
    Ended(Outcome),
    /// The runner confirmed that it has not started the run and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// The run is over without a report: its lease and margin expired, its runner
    /// restarted or was replaced, or an operator declared the runner lost. Does not
    /// count as a failure of the task.
    Lost,
    /// The runner rejected the start. Does not count as a failure of the task.
    #[serde(rename = "refused")]
    Rejected,
    /// The run exceeded its time limit and was fenced. Counts as a failure of the task.
    TimedOut,
}

impl RunClose {
    /// Returns whether this close counts as a failure of the task.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Ended(Outcome::Failed(_)) | Self::TimedOut)
    }
}
