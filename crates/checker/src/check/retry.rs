//! No task runs again past its allowed failures.

use super::rule::{Findings, Rule};
use super::started::Started;
use super::world::World;
use super::{Limits, ViolationKind};
use crate::Observation;

#[derive(Debug)]
pub(super) struct RetriedPastAllowed;

impl Rule for RetriedPastAllowed {
    fn observe(
        &mut self,
        observation: &Observation,
        world: &World,
        limits: &Limits,
        findings: &mut Findings,
    ) {
        let Some(start) = Started::of(observation) else {
            return;
        };
        let expected = world.job(start.job).and_then(|job| job.step(start.step));
        let Some((expected, facts)) = expected.zip(start.facts(world)) else {
            return;
        };
        let is_allowed = facts.failures <= expected.allowed_failures;
        if !is_allowed && start.is_too_late(facts.last_failure_at, world, limits) {
            let detail = format!(
                "{start} began after {} failed runs, {} allowed",
                facts.failures, expected.allowed_failures
            );
            findings.add(ViolationKind::RetriedPastAllowed, observation.at, detail);
        }
    }
}
