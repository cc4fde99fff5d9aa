//! Runs: single attempts at a task on one runner.

use crate::{JobKey, Milliseconds, Resources, RunId, StepName};
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
pub struct HeldRun {
    /// The run.
    pub run: RunId,
    /// How long it has been going.
    pub age: Milliseconds,
}

/// A run that ended, kept by its runner until the record has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedRun {
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: Outcome,
}

/// Why the record closed a run. A closed run is never opened again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunClose {
    /// The runner reported this outcome.
    Ended(Outcome),
    /// The runner confirmed that it never started and never will.
    Voided,
    /// Its lease and margin ran out in silence; not a failure of the task.
    Lost,
    /// The runner refused it; not a failure of the task.
    Refused,
    /// It ran past its time limit and was fenced; counts as a failure.
    TimedOut,
}

impl RunClose {
    /// True when this close uses up one of the task's allowed failures.
    pub fn is_failure(&self) -> bool {
        matches!(self, Self::Ended(Outcome::Failed(_)) | Self::TimedOut)
    }
}
