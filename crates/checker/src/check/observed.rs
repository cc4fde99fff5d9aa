//! What the history has shown so far, shared by the rules.

use super::facts::{JobFacts, RunFacts, TaskFacts, is_overdue};
use crate::{Event, Observation, ReadState};
use std::collections::{BTreeMap, BTreeSet};
use types::{
    JobKey, LicenceName, Milliseconds, Outcome, Resources, RunId, RunnerId, StepName, TenantId,
};

/// Once no fault has been going on for so long, every runner has reported.
const REPORTED_AFTER: Milliseconds = Milliseconds(3_000);

/// All jobs and runs, and whether a fault is going on.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedCluster {
    jobs: BTreeMap<JobKey, JobFacts>,
    runs: BTreeMap<RunId, RunFacts>,
    open_by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
    usage: BTreeMap<TenantId, Resources>,
    /// Acknowledged jobs that may have work left.
    pub(super) unfinished: BTreeSet<JobKey>,
    /// Ended runs whose runner does not know yet that the record has them.
    unrecorded: BTreeMap<RunnerId, BTreeSet<RunId>>,
    frozen: BTreeSet<RunnerId>,
    is_disturbed: bool,
    healed_at: Milliseconds,
}

impl ObservedCluster {
    /// What is known of a job.
    pub(super) fn job(&self, job: &JobKey) -> Option<&JobFacts> {
        self.jobs.get(job)
    }

    /// All jobs.
    pub(super) fn jobs(&self) -> impl Iterator<Item = (&JobKey, &JobFacts)> {
        self.jobs.iter()
    }

    /// What is known of a task.
    pub(super) fn task(&self, job: &JobKey, step: &StepName, task: u32) -> Option<&TaskFacts> {
        self.job(job)?.tasks.get(&(step.clone(), task))
    }

    /// A run that was seen to start.
    pub(super) fn run(&self, run: RunId) -> Option<&RunFacts> {
        self.runs.get(&run)
    }

    /// Returns whether a runner's machine is frozen.
    pub(super) fn is_frozen(&self, runner: &RunnerId) -> bool {
        self.frozen.contains(runner)
    }

    /// Open runs of a runner.
    pub(super) fn open_on(&self, runner: &RunnerId) -> impl Iterator<Item = RunId> {
        self.open_by_runner
            .get(runner)
            .into_iter()
            .flatten()
            .copied()
    }

    /// Returns whether the end of a run may never have reached anyone by `at`: its
    /// runner was not notified that the record has it, and has either lost its
    /// memory with its process, or been unresponsive past its run lease and not had
    /// the time without a fault that a report takes.
    pub(super) fn may_be_unreported(&self, run: RunId, at: Milliseconds) -> bool {
        let Some(facts) = self.runs.get(&run).filter(|run| !run.end_recorded) else {
            return false;
        };
        let expired = facts.lease_until.is_some_and(|until| at >= until);
        let calm_since = facts.ended_at.and_then(|ended| self.calm_since(ended));
        let had_time = calm_since.is_some_and(|calm| at > calm + REPORTED_AFTER);
        facts.end_forgotten || (expired && !had_time)
    }

    /// What a tenant's runs hold over all runners but those whose machines
    /// stand still: there they do nothing, and once their lease is over they
    /// must end when the machine wakes.
    pub(super) fn usage(&self, tenant: &TenantId) -> Resources {
        let usage = self.usage.get(tenant).copied().unwrap_or_default();
        let still = self.frozen.iter().flat_map(|runner| self.open_on(runner));
        still
            .filter_map(|run| self.run(run))
            .filter(|run| run.job.tenant == *tenant)
            .fold(usage, |usage, run| usage.minus(&run.resources))
    }

    /// Runs that take a seat of a licence, but those whose machines stand still.
    pub(super) fn seats_used(&self, licence: &LicenceName) -> usize {
        let open = self.open_by_runner.iter();
        open.filter(|(runner, _)| !self.frozen.contains(*runner))
            .flat_map(|(_, runs)| runs)
            .filter_map(|run| self.run(*run))
            .filter(|run| self.licence_of(&run.job, &run.task.0) == Some(licence))
            .count()
    }

    /// The licence that a step of a job needs.
    pub(super) fn licence_of(&self, job: &JobKey, step: &StepName) -> Option<&LicenceName> {
        let expected = self.jobs.get(job)?.likely_step(step)?;
        expected.licence.as_ref()
    }

    /// Returns whether any run is going on any runner.
    pub(super) fn has_open_runs(&self) -> bool {
        !self.open_by_runner.is_empty()
    }

    /// Since when no fault delays reports on their way, counted from `since`
    /// at the earliest; None while one may.
    pub(super) fn calm_since(&self, since: Milliseconds) -> Option<Milliseconds> {
        (!self.is_disturbed).then_some(self.healed_at.max(since))
    }

    /// Takes an event in.
    pub(super) fn observe(&mut self, observation: &Observation) {
        let at = observation.at;
        match &observation.event {
            Event::SubmitSent {
                job,
                steps,
                not_before,
            } => self.job_mut(job).take_submit(steps, *not_before),
            Event::SubmitAcknowledged { job } => {
                self.job_mut(job).acknowledged_at.get_or_insert(at);
                self.review(job);
            }
            Event::StateRead {
                job,
                state: ReadState::Known(state),
                ..
            } if state.is_final() => {
                self.job_mut(job).final_state.get_or_insert(*state);
                self.review(job);
            }
            Event::CancelSent { job } => self.job_mut(job).cancel_sent = true,
            Event::CancelAcknowledged { job } => {
                self.job_mut(job).cancel_acknowledged_at.get_or_insert(at);
            }
            Event::RunStarted { .. } => self.start(observation),
            Event::RunEnded {
                run,
                outcome,
                lease_until,
                ..
            } => self.end(*run, outcome, *lease_until, at),
            Event::EndRecorded { runner, run } => self.record_end(runner, *run),
            Event::RunnerStopped { runner } => self.stop_runner(runner, at),
            Event::RunnerFrozen { runner } => {
                self.frozen.insert(runner.clone());
            }
            Event::RunnerWoke { runner } => {
                self.frozen.remove(runner);
            }
            Event::Fault { .. } => self.is_disturbed = true,
            Event::Healed => {
                self.is_disturbed = false;
                self.healed_at = at;
            }
            _ => {}
        }
    }

    fn job_mut(&mut self, job: &JobKey) -> &mut JobFacts {
        self.jobs.entry(job.clone()).or_default()
    }

    fn start(&mut self, observation: &Observation) {
        let Event::RunStarted {
            runner,
            run,
            job,
            step,
            task,
            resources,
            ..
        } = &observation.event
        else {
            return;
        };
        if self.runs.contains_key(run) {
            return;
        }
        let key = (step.clone(), *task);
        let task = self.job_mut(job).tasks.entry(key.clone()).or_default();
        task.open.insert(*run);
        task.changed_at = observation.at;
        let usage = self.usage.entry(job.tenant.clone()).or_default();
        *usage = usage.plus(resources);
        let open = self.open_by_runner.entry(runner.clone()).or_default();
        open.insert(*run);
        let facts = RunFacts {
            job: job.clone(),
            task: key,
            runner: runner.clone(),
            resources: *resources,
            started_at: observation.at,
            ended_at: None,
            lease_until: None,
            end_recorded: false,
            end_forgotten: false,
        };
        self.runs.insert(*run, facts);
    }

    fn stop_runner(&mut self, runner: &RunnerId, at: Milliseconds) {
        let open = self.open_by_runner.get(runner).cloned().unwrap_or_default();
        for run in open {
            self.end(run, &Outcome::Stopped, None, at);
        }
        for run in self.unrecorded.remove(runner).unwrap_or_default() {
            if let Some(facts) = self.runs.get_mut(&run) {
                facts.end_forgotten = true;
            }
        }
    }

    fn record_end(&mut self, runner: &RunnerId, run: RunId) {
        if let Some(runs) = self.unrecorded.get_mut(runner) {
            runs.remove(&run);
        }
        if let Some(facts) = self.runs.get_mut(&run) {
            facts.end_recorded = true;
        }
    }

    fn end(
        &mut self,
        id: RunId,
        outcome: &Outcome,
        lease_until: Option<Milliseconds>,
        at: Milliseconds,
    ) {
        let Some(run) = self.runs.get_mut(&id).filter(|run| run.is_open()) else {
            return;
        };
        run.ended_at = Some(at);
        run.lease_until = lease_until;
        let run = run.clone();
        self.unrecorded
            .entry(run.runner.clone())
            .or_default()
            .insert(id);
        self.free(id, &run);
        let facts = self.job_mut(&run.job);
        let limit = facts.step(&run.task.0).and_then(|step| step.time_limit);
        let task = facts.tasks.entry(run.task.clone()).or_default();
        task.open.remove(&id);
        task.changed_at = at;
        match outcome {
            Outcome::Done if task.done_at.is_none() => {
                task.done_at = Some(at);
                task.done_run = Some(id);
                *facts.done_by_step.entry(run.task.0).or_default() += 1;
            }
            Outcome::Done => {}
            Outcome::Failed(_) => task.failed.push(id),
            Outcome::Stopped if is_overdue(run.started_at, at, limit) => task.overdue_stops += 1,
            Outcome::Stopped => {}
        }
        self.review(&run.job);
    }

    fn free(&mut self, id: RunId, run: &RunFacts) {
        if let Some(usage) = self.usage.get_mut(&run.job.tenant) {
            *usage = usage.minus(&run.resources);
        }
        if let Some(open) = self.open_by_runner.get_mut(&run.runner) {
            open.remove(&id);
            if open.is_empty() {
                self.open_by_runner.remove(&run.runner);
            }
        }
    }

    // A job whose work is over, or may be, shows nothing about service.
    fn review(&mut self, job: &JobKey) {
        let Some(facts) = self.jobs.get(job) else {
            return;
        };
        let has_work = facts.acknowledged_at.is_some()
            && facts.final_state.is_none()
            && facts.is_done() == Some(false)
            && !facts.has_used_up_failures();
        if has_work {
            self.unfinished.insert(job.clone());
        } else {
            self.unfinished.remove(job);
        }
    }
}
