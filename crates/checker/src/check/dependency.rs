//! Guarantee: a step starts only after the steps that it depends on are done.
//!
//! Reads the starts of runs. Reports a violation for each dependency of which a
//! task had not ended done when the run started.

use super::observed::ObservedCluster;
use super::rule::{Findings, Rule};
use super::{Limits, ViolationKind};
use crate::{Event, Observation};

#[derive(Debug)]
pub(super) struct StartBeforeDependency;

impl Rule for StartBeforeDependency {
    fn observe(
        &mut self,
        observation: &Observation,
        observed: &ObservedCluster,
        _limits: &Limits,
        findings: &mut Findings,
    ) {
        let Event::RunStarted { run, job, step, .. } = &observation.event else {
            return;
        };
        let Some(facts) = observed.job(job) else {
            return;
        };
        let Some(expected) = facts.step(step) else {
            return;
        };
        for earlier in &expected.after {
            let tasks = facts.step(earlier).map_or(0, |step| step.tasks);
            let done = facts.done_tasks(earlier);
            if done < tasks {
                let detail = format!(
                    "run {run} of {job} {step} started with {done} of {tasks} tasks of {earlier} done"
                );
                findings.add(ViolationKind::StartBeforeDependency, observation.at, detail);
            }
        }
    }
}
