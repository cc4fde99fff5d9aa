//! A run starts once, a task runs once at a time and never after it is done.

use super::rule::{Findings, Rule};
use super::world::World;
use super::{Limits, ViolationKind};
use crate::{Event, Observation};

/// One run identifier starts once, on one runner.
#[derive(Debug)]
pub(super) struct DoubleStart;

impl Rule for DoubleStart {
    fn observe(
        &mut self,
        observation: &Observation,
        world: &World,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::RunStarted { runner, run, .. } = &observation.event else {
            return;
        };
        if let Some(first) = world.run(*run) {
            let detail = format!(
                "run {run} started on {runner}, and had started on {} at {}",
                first.runner, first.started_at
            );
            findings.add(ViolationKind::DoubleStart, observation.at, detail);
        }
    }
}

/// No more runs of a task at once than its copies.
#[derive(Debug)]
pub(super) struct OverlappingRuns;

impl Rule for OverlappingRuns {
    fn observe(
        &mut self,
        observation: &Observation,
        world: &World,
        _limits: &Limits,
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
        let Some(facts) = world.task(job, step, *task) else {
            return;
        };
        let others = facts.open.iter().filter(|open| *open != run).count();
        if others >= copies(world, observation) as usize {
            let detail = format!("run {run} of {job} {step}.{task} began beside {others} more");
            findings.add(ViolationKind::OverlappingRuns, observation.at, detail);
        }
    }
}

/// No start of a task that ended done.
#[derive(Debug)]
pub(super) struct RepeatedTask;

impl Rule for RepeatedTask {
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
        let facts = world.task(job, step, *task);
        let Some(done_at) = facts.and_then(|facts| facts.done_at) else {
            return;
        };
        // A further copy may be on its way until the end has been reported,
        // which a fault may delay.
        let calm_since = world.calm_since(done_at);
        let is_too_late =
            calm_since.is_some_and(|calm| observation.at > calm + limits.cancel_after);
        if copies(world, observation) == 1 || is_too_late {
            let detail = format!("run {run} of {job} {step}.{task} began, done since {done_at}");
            findings.add(ViolationKind::RepeatedTask, observation.at, detail);
        }
    }
}

/// Copies allowed of the task that a run belongs to: the most that any submit
/// of its job asked for.
pub(super) fn copies(world: &World, observation: &Observation) -> u32 {
    let Event::RunStarted { job, step, .. } = &observation.event else {
        return 1;
    };
    world.job(job).map_or(1, |facts| facts.most_copies(step))
}
