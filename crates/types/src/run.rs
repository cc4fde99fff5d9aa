//! Runs: single attempts at a task on one runner.

use crate::{JobId, JobKey, Milliseconds, Resources, RunId, StepName};
use serde::{Deserialize, Serialize};

/// All that a runner needs to start a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSpec {
    /// The run, started at most once ever.
    pub run: RunId,
    /// The job it belongs to.
    pub job: JobKey,
    /// Its step.
    pub step: StepName,
    /// Position in the step, from 0.
    pub task: u32,
    /// Number of this run among those of its task, from 1; the members of a
    /// gang share it.
    pub attempt: u32,
    /// What an earlier run of the task saved, to go on from.
    pub checkpoint: Option<String>,
    /// What it may use.
    pub resources: Resources,
    /// The runner stops it after this time.
    pub time_limit: Milliseconds,
    /// The step's text.
    pub payload: String,
}

/// How a run ended on its runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The task did its work.
    Done,
    /// The task failed; the reason is for people.
    Failed(String),
    /// Stopped by an order, or by the runner itself at the end of its lease.
    /// Not a failure of the task.
    Stopped,
}

/// A run that a runner holds now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// The run.
    pub run: RunId,
    /// How long it has been going.
    pub age: Milliseconds,
    /// How far it has come, in percent, where its runner can tell.
    pub progress: Option<u8>,
    /// What it saved last, to go on from.
    pub checkpoint: Option<String>,
}

impl ActiveRun {
    /// A run of which the runner reports nothing but its age.
    pub fn new(run: RunId, age: Milliseconds) -> Self {
        Self {
            run,
            age,
            progress: None,
            checkpoint: None,
        }
    }
}

/// A run that ended, kept by its runner until the record has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: Outcome,
    /// What it saved last, to go on from.
    pub checkpoint: Option<String>,
}

impl EndedRun {
    /// A run that saved nothing.
    pub fn new(run: RunId, outcome: Outcome) -> Self {
        Self {
            run,
            outcome,
            checkpoint: None,
        }
    }
}

/// A run as callers and runners name it, where its identifier is not known: an
/// agent that was started anew knows no other name of what its runner holds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunName {
    /// The caller's identifier of the job.
    pub job: JobId,
    /// The step.
    pub step: StepName,
    /// Position in the step, from 0.
    pub task: u32,
    /// Number of the run among those of its task.
    pub attempt: u32,
}

/// A run that an agent's runner holds or has ended, under no identifier that
/// the agent knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnnamedRun {
    /// Its name.
    pub name: RunName,
    /// How it ended; none while it is held.
    pub outcome: Option<Outcome>,
    /// How far it has come, in percent, where its runner can tell.
    pub progress: Option<u8>,
    /// What it saved last, to go on from.
    pub checkpoint: Option<String>,
}

/// Why the record closed a run. A closed run is never opened again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunClose {
    /// The runner reported this outcome.
    Ended(Outcome),
    /// The runner confirmed that it never started and never will.
    #[serde(rename = "voided")]
    Revoked,
    /// Its run lease and margin expired without a report; not a failure of the task.
    Lost,
    /// The runner rejected it; not a failure of the task.
    #[serde(rename = "refused")]
    Rejected,
    /// It ran past its time limit and was fenced; counts as a failure.
    TimedOut,
}

impl RunClose {
    /// Returns whether this close uses up one of the task's allowed failures.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Ended(Outcome::Failed(_)) | Self::TimedOut)
    }
}
