//! Guarantee: no run starts before the earliest start of its job.
//!
//! Reads the starts of runs and the earliest start in the job's submits. Reports a
//! violation if a run starts more than `CLOCK_TOLERANCE` too early.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use types::Milliseconds;

/// Largest allowed difference between the leader's clock, which decides on the
/// start, and the observer's clock.
const CLOCK_TOLERANCE: Milliseconds = Milliseconds(100);

#[derive(Debug)]
pub(super) struct StartBeforeTime;

impl Rule for StartBeforeTime {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::RunStarted { run, job, .. } = &observation.event else {
            return;
        };
        let Some(not_before) = observed.job(job).and_then(|facts| facts.not_before) else {
            return;
        };
        if observation.at + CLOCK_TOLERANCE < not_before {
            let detail =
                format!("run {run} of {job} started before the job's earliest start, {not_before}");
            findings.add(ViolationKind::StartBeforeTime, observation.at, detail);
        }
    }
}
