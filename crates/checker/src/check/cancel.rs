//! An acknowledged cancel stops new starts in time.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};

#[derive(Debug)]
pub(super) struct StartAfterCancel;

impl Rule for StartAfterCancel {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::RunStarted { run, job, .. } = &observation.event else {
            return;
        };
        let facts = observed.job(job);
        let Some(cancelled) = facts.and_then(|facts| facts.cancel_acknowledged_at) else {
            return;
        };
        if observation.at > cancelled + limits.cancel_after {
            let detail = format!("run {run} of {job} began, cancel acknowledged at {cancelled}");
            findings.add(ViolationKind::StartAfterCancel, observation.at, detail);
        }
    }
}
