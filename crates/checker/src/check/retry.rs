//! Guarantee: no task runs again after more failures than allowed.
//!
//! Reads the starts of runs. Reports a violation if a run starts although more
//! reported runs of its task have failed than allowed. Where copies are allowed,
//! one that was ordered before the last failure was reported may still start.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::RunStart;
use super::{Limits, ViolationKind};
use crate::Observation;

/// Guarantee: no run of a task starts after more failures than allowed.
///
/// As with done ends, a failure that the runner may not have reported does not
/// count. The report counts the starts that are allowed only for this reason.
#[derive(Debug)]
pub(super) struct RetriedPastAllowed;

impl Rule for RetriedPastAllowed {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let Some(start) = RunStart::from_observation(observation) else {
            return;
        };
        let Some(expected) = observed.job(start.job).and_then(|job| job.step(start.step)) else {
            return;
        };
        let failures = start.reported_failures(observed);
        if failures.len() <= expected.allowed_failures as usize {
            return;
        }
        let last_failure_at = failures.iter().filter_map(|run| run.ended_at).max();
        if start.is_too_late(last_failure_at.unwrap_or_default(), observed, limits) {
            let detail = format!(
                "{start} started after {} failed runs, {} allowed",
                failures.len(),
                expected.allowed_failures
            );
            findings.add(ViolationKind::RetriedPastAllowed, observation.at, detail);
        }
    }
}
