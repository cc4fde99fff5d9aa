//! Guarantee: an acknowledged job stays known and reaches a final state.
//!
//! Reads the replies that a job is unknown and the end of the history. Reports a
//! violation if
//!
//! * a request for the state, sent [`Limits::known_after`] after the
//!   acknowledgement or later, but within [`Limits::retention`], finds no job;
//! * no final state of the job was read by the end of the history, although the
//!   job could start [`Limits::service_after`] before the end or earlier.

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
    let acknowledged_at = observed.job(job).and_then(|facts| facts.acknowledged_at);
    let Some(acknowledged_at) = acknowledged_at else {
        return;
    };
    let must_be_known = asked_at >= acknowledged_at + limits.known_after;
    let may_be_removed = asked_at >= acknowledged_at + limits.retention;
    if must_be_known && !may_be_removed {
        let detail = format!(
            "job {job}, acknowledged at {acknowledged_at}, was unknown to a request sent at {asked_at}"
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
        let Some(acknowledged_at) = facts.acknowledged_at else {
            continue;
        };
        // A job whose earliest start is near the end of the history may not have
        // had the time to finish.
        let could_finish = facts.not_before.unwrap_or_default() + limits.service_after <= at;
        if facts.final_state.is_none() && could_finish {
            let detail = format!(
                "job {job}, acknowledged at {acknowledged_at}, was never read in a final state"
            );
            findings.add(ViolationKind::LostJob, at, detail);
        }
    }
}
