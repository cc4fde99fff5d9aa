//! Guarantee: after an acknowledged cancel, no run of the job starts.
//!
//! Reads the acknowledgements of cancels and the starts of runs. Reports a
//! violation if a run starts more than [`Limits::cancel_after`] after the
//! acknowledgement.

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
        let Some(cancelled_at) = facts.and_then(|facts| facts.cancel_acknowledged_at) else {
            return;
        };
        if observation.at > cancelled_at + limits.cancel_after {
            let detail =
                format!("run {run} of {job} started, cancel acknowledged at {cancelled_at}");
            findings.add(ViolationKind::StartAfterCancel, observation.at, detail);
        }
    }
}
