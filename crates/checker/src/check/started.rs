//! An observed start of a run, with the queries that several rules share.

use super::Limits;
use super::facts::{RunFacts, TaskFacts};
use super::observed::ObservedCluster;
use crate::{Event, Observation};
use std::fmt;
use types::{JobKey, Milliseconds, RunId, StepName};

/// Start of a run, borrowed from the observation of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunStart<'a> {
    pub at: Milliseconds,
    pub run: RunId,
    pub job: &'a JobKey,
    pub step: &'a StepName,
    /// Index of the task within the step, from 0.
    pub task: u32,
}

impl<'a> RunStart<'a> {
    /// Returns the start that an observation describes; None for other events.
    pub fn from_observation(observation: &'a Observation) -> Option<Self> {
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

    /// Returns the observed state of the task; None if this is its first run.
    pub fn facts<'o>(&self, observed: &'o ObservedCluster) -> Option<&'o TaskFacts> {
        observed.task(self.job, self.step, self.task)
    }

    /// Returns the number of copies allowed for the task: the highest in any submit
    /// of the job.
    pub fn max_copies(&self, observed: &ObservedCluster) -> u32 {
        let job = observed.job(self.job);
        job.map_or(1, |facts| facts.allowed_copies(self.step))
    }

    /// Returns whether the start is no longer allowed after an event at
    /// `decided_at` since which the task must not run again.
    ///
    /// With one copy, no later start is allowed. With further copies, an order to
    /// start one may still be in transit until the event is reported, which a
    /// fault may delay.
    pub fn is_too_late(
        &self,
        decided_at: Milliseconds,
        observed: &ObservedCluster,
        limits: &Limits,
    ) -> bool {
        let fault_free_since = observed.fault_free_since(decided_at);
        let is_late = fault_free_since.is_some_and(|since| self.at > since + limits.cancel_after);
        is_late || self.max_copies(observed) == 1
    }

    /// Returns the failed runs of the task, except those whose failure may be
    /// unreported.
    pub fn reported_failures<'o>(&self, observed: &'o ObservedCluster) -> Vec<&'o RunFacts> {
        let failed = self
            .facts(observed)
            .into_iter()
            .flat_map(|facts| &facts.failed_runs);
        let reported = failed.filter(|run| !observed.may_be_unreported(**run, self.at));
        reported.filter_map(|run| observed.run(*run)).collect()
    }

    /// Returns whether the start is allowed only because a failure of the task may
    /// be unreported.
    pub fn retries_unreported(&self, observed: &ObservedCluster) -> bool {
        let expected = observed.job(self.job).and_then(|job| job.step(self.step));
        let Some((expected, facts)) = expected.zip(self.facts(observed)) else {
            return false;
        };
        let allowed = expected.allowed_failures as usize;
        facts.failed_runs.len() > allowed && self.reported_failures(observed).len() <= allowed
    }

    /// Returns whether the task has a done end that may be unreported.
    pub fn repeats_unreported(&self, observed: &ObservedCluster) -> bool {
        let done_run = self.facts(observed).and_then(|facts| facts.done_run);
        done_run.is_some_and(|run| observed.may_be_unreported(run, self.at))
    }
}

impl fmt::Display for RunStart<'_> {
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
