//! No start before the job's own time.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};
use types::Milliseconds;

/// The leader judges by its own clock, which may run this far from the
/// observer's.
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
        let Some(time) = observed.job(job).and_then(|facts| facts.not_before) else {
            return;
        };
        if observation.at + CLOCK_TOLERANCE < time {
            let detail = format!("run {run} of {job} began before the job's time, {time}");
            findings.add(ViolationKind::StartBeforeTime, observation.at, detail);
        }
    }
}
