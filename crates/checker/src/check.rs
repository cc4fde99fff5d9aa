//! The rules.

use crate::Observation;
use serde::{Deserialize, Serialize};
use types::Milliseconds;

/// Times and margins of the promises, from the brief.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// An acknowledged job is known to everyone after this.
    pub known_after: Milliseconds,
    /// No new start of a cancelled job after this.
    pub cancel_after: Milliseconds,
    /// No new start on a leaving runner after this.
    pub drain_after: Milliseconds,
    /// An acknowledged configuration holds everywhere after this.
    pub configuration_after: Milliseconds,
    /// Service is back this long after the last fault healed.
    pub service_after: Milliseconds,
    /// A ceiling may be exceeded by this part, in percent.
    pub ceiling_margin_percent: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            known_after: Milliseconds(3_000),
            cancel_after: Milliseconds(3_000),
            drain_after: Milliseconds(2_000),
            configuration_after: Milliseconds(2_000),
            service_after: Milliseconds(12_000),
            ceiling_margin_percent: 5,
        }
    }
}

/// Kinds of broken promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ViolationKind {
    /// An acknowledged job was unknown later, or never finished.
    LostJob,
    /// A job was marked failed or cancelled without cause.
    FalseEnd,
    /// A final state changed.
    Reopened,
    /// Two runs of a task at once beyond its copies.
    OverlappingRuns,
    /// A task started again after it ended done.
    RepeatedTask,
    /// One run identifier started twice.
    DoubleStart,
    /// A start before a step it depends on was done.
    StartBeforeDependency,
    /// A start before the job's time.
    StartBeforeTime,
    /// A tenant held more than its ceiling and margin.
    CeilingExceeded,
    /// A task was run again past its allowed failures.
    RetriedPastAllowed,
    /// A start after the cancel should have held.
    StartAfterCancel,
    /// A start on a runner that was leaving.
    StartOnDrainingRunner,
    /// A configuration was not in force in time.
    ConfigurationLate,
    /// A daemon went back to an older configuration.
    ConfigurationSlidBack,
    /// Two documents were acknowledged under one version.
    TwoWinners,
    /// An order of a superseded leader was accepted.
    StaleOrderAccepted,
    /// Service was not back in time.
    ServiceNotBack,
}

/// A broken promise, with what shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub kind: ViolationKind,
    /// When it broke.
    pub at: Milliseconds,
    /// What was seen, in one sentence.
    pub detail: String,
}

/// The checker's findings and counts.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Report {
    /// Broken promises in order of time.
    pub violations: Vec<Violation>,
    /// Jobs acknowledged.
    pub acknowledged_jobs: u64,
    /// Jobs seen done.
    pub done_jobs: u64,
    /// Jobs seen failed.
    pub failed_jobs: u64,
    /// Jobs seen cancelled.
    pub cancelled_jobs: u64,
    /// Runs started.
    pub started_runs: u64,
}

/// Checks a whole history, in order of time.
pub fn check(history: &[Observation], limits: &Limits) -> Report {
    let _ = (history, limits);
    todo!()
}
