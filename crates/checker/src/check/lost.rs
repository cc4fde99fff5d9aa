//! An acknowledged job is known from then on, and comes to an end.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation, ReadState};
use types::{JobKey, Milliseconds};

#[derive(Debug)]
pub(super) struct LostJob;

impl Rule for LostJob {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        match &observation.event {
            Event::StateRead {
                job,
                asked_at,
                state: ReadState::Unknown,
            } => check_unknown(job, *asked_at, observation.at, observed, limits, findings),
            Event::Finished => check_unfinished(observation.at, observed, limits, findings),
            _ => {}
        }
    }
}

fn check_unknown(
    job: &JobKey,
    asked_at: Milliseconds,
    at: Milliseconds,
    observed: &ObservedCluster,
    limits: &Limits,
    findings: &mut Findings,
) {
    let acknowledged = observed.job(job).and_then(|facts| facts.acknowledged_at);
    let Some(acknowledged) = acknowledged else {
        return;
    };
    let must_be_known = asked_at >= acknowledged + limits.known_after;
    let may_be_forgotten = asked_at >= acknowledged + limits.retention;
    if must_be_known && !may_be_forgotten {
        let detail = format!(
            "job {job}, acknowledged at {acknowledged}, was unknown when asked for at {asked_at}"
        );
        findings.add(ViolationKind::LostJob, at, detail);
    }
}

fn check_unfinished(
    at: Milliseconds,
    observed: &ObservedCluster,
    limits: &Limits,
    findings: &mut Findings,
) {
    for (job, facts) in observed.jobs() {
        let Some(acknowledged) = facts.acknowledged_at else {
            continue;
        };
        // A job that could only just begin cannot be asked to have ended.
        let could_begin = facts.not_before.unwrap_or_default() + limits.service_after <= at;
        if facts.final_state.is_none() && could_begin {
            let detail = format!(
                "job {job}, acknowledged at {acknowledged}, was never seen in a final state"
            );
            findings.add(ViolationKind::LostJob, at, detail);
        }
    }
}
