//! No task runs again past its allowed failures.

use super::repeat::copies;
use super::rule::{Findings, Rule};
use super::world::World;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};

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
        let Event::RunStarted {
            run,
            job,
            step,
            task,
            ..
        } = &observation.event
        else {
            return;
        };
        let expected = world.job(job).and_then(|facts| facts.step(step));
        let Some((expected, facts)) = expected.zip(world.task(job, step, *task)) else {
            return;
        };
        if facts.failures <= expected.allowed_failures {
            return;
        }
        // A further copy may be on its way while the failure is reported.
        let calm_since = world.calm_since(facts.last_failure_at);
        let is_too_late =
            calm_since.is_some_and(|calm| observation.at > calm + limits.cancel_after);
        if copies(world, observation) == 1 || is_too_late {
            let detail = format!(
                "run {run} of {job} {step}.{task} began after {} failed runs, {} allowed",
                facts.failures, expected.allowed_failures
            );
            findings.add(ViolationKind::RetriedPastAllowed, observation.at, detail);
        }
    }
}
