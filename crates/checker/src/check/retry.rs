//! No task runs again past its allowed failures.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::started::Started;
use super::{Limits, ViolationKind};
use crate::Observation;

/// No start of a task whose failed runs are more than allowed.
///
/// As with done ends, a failure that nobody can have received does not count;
/// starts that only this allows are counted in the report.
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
        let Some(start) = Started::of(observation) else {
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
                "{start} began after {} failed runs, {} allowed",
                failures.len(),
                expected.allowed_failures
            );
            findings.add(ViolationKind::RetriedPastAllowed, observation.at, detail);
        }
    }
}
