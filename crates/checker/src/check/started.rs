//! A start of a run, as the rules about its task look at it.

use super::Limits;
use super::facts::{RunFacts, TaskFacts};
use super::observed::ObservedCluster;
use crate::{Event, Observation};
use std::fmt;
use types::{JobKey, Milliseconds, RunId, StepName};

/// A run began.
#[derive(Debug, Clone, Copy)]
pub(super) struct Started<'a> {
    pub at: Milliseconds,
    pub run: RunId,
    pub job: &'a JobKey,
    pub step: &'a StepName,
    pub task: u32,
}

impl<'a> Started<'a> {
    /// The start that an observation shows, if it shows one.
    pub fn of(observation: &'a Observation) -> Option<Self> {
        let Event::RunStarted {
            run,
            job,
            step,
            task,
            ..
        } = &observation.event
        else {
            return None;
        };
        Some(Self {
            at: observation.at,
            run: *run,
            job,
            step,
            task: *task,
        })
    }

    /// What is known of its task.
    pub fn facts<'w>(&self, observed: &'w ObservedCluster) -> Option<&'w TaskFacts> {
        observed.task(self.job, self.step, self.task)
    }

    /// Copies allowed of its task: the most that any submit of its job asked
    /// for.
    pub fn copies(&self, observed: &ObservedCluster) -> u32 {
        let job = observed.job(self.job);
        job.map_or(1, |facts| facts.allowed_copies(self.step))
    }

    /// True where no further run may begin after what happened at `decided_at`.
    /// A further copy may be on its way until that has been reported, which a
    /// fault may delay.
    pub fn is_too_late(
        &self,
        decided_at: Milliseconds,
        observed: &ObservedCluster,
        limits: &Limits,
    ) -> bool {
        let calm_since = observed.calm_since(decided_at);
        let is_late = calm_since.is_some_and(|calm| self.at > calm + limits.cancel_after);
        is_late || self.copies(observed) == 1
    }

    /// Failed runs of its task whose failure somebody can have received.
    pub fn reported_failures<'w>(&self, observed: &'w ObservedCluster) -> Vec<&'w RunFacts> {
        let failed = self
            .facts(observed)
            .into_iter()
            .flat_map(|facts| &facts.failed);
        let reported = failed.filter(|run| !observed.may_be_unreported(**run, self.at));
        reported.filter_map(|run| observed.run(*run)).collect()
    }

    /// Returns whether it is allowed only since a failure may be unreported.
    pub fn retries_unreported(&self, observed: &ObservedCluster) -> bool {
        let expected = observed.job(self.job).and_then(|job| job.step(self.step));
        let Some((expected, facts)) = expected.zip(self.facts(observed)) else {
            return false;
        };
        let allowed = expected.allowed_failures as usize;
        facts.failed.len() > allowed && self.reported_failures(observed).len() <= allowed
    }

    /// Returns whether its task has a done end that may be unreported.
    pub fn repeats_unreported(&self, observed: &ObservedCluster) -> bool {
        let done_run = self.facts(observed).and_then(|facts| facts.done_run);
        done_run.is_some_and(|done| observed.may_be_unreported(done, self.at))
    }
}

impl fmt::Display for Started<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            run,
            job,
            step,
            task,
            ..
        } = self;
        write!(out, "run {run} of {job} {step}.{task}")
    }
}
