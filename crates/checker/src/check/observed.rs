//! Observed state of the cluster up to the current event, shared by the rules.

use super::facts::{JobFacts, RunFacts, TaskFacts, may_have_timed_out};
use crate::{Event, Observation, ReadState};
use std::collections::{BTreeMap, BTreeSet};
use types::{
    JobKey, LicenceName, Milliseconds, Outcome, Resources, RunId, RunnerId, StepName, TenantId,
};

/// Time without a fault after which every runner has reported its ended runs.
const REPORT_TIME: Milliseconds = Milliseconds(3_000);

/// Observed jobs, runs and runners, and whether a fault is active.
#[derive(Debug, Clone, Default)]
pub(super) struct ObservedCluster {
    jobs: BTreeMap<JobKey, JobFacts>,
    runs: BTreeMap<RunId, RunFacts>,
    open_by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
    /// Resources that the open runs of each tenant hold.
    usage: BTreeMap<TenantId, Resources>,
    /// Acknowledged jobs that definitely have tasks left to run.
    pub(super) unfinished: BTreeSet<JobKey>,
    /// Ended runs of each runner that has not been notified yet that the end is
    /// recorded.
    unrecorded: BTreeMap<RunnerId, BTreeSet<RunId>>,
    frozen_runners: BTreeSet<RunnerId>,
    has_fault: bool,
    healed_at: Milliseconds,
}

impl ObservedCluster {
    /// Returns the observed state of a job.
    pub(super) fn job(&self, job: &JobKey) -> Option<&JobFacts> {
        self.jobs.get(job)
    }

    /// Returns all observed jobs, in order of their keys.
    pub(super) fn jobs(&self) -> impl Iterator<Item = (&JobKey, &JobFacts)> {
        self.jobs.iter()
    }

    /// Returns the observed state of a task; None if none of its runs has started.
    pub(super) fn task(&self, job: &JobKey, step: &StepName, task: u32) -> Option<&TaskFacts> {
        self.job(job)?.tasks.get(&(step.clone(), task))
    }

    /// Returns the observed state of a run; None if it has not started.
    pub(super) fn run(&self, run: RunId) -> Option<&RunFacts> {
        self.runs.get(&run)
    }

    /// Returns whether a runner's machine is frozen.
    pub(super) fn is_frozen(&self, runner: &RunnerId) -> bool {
        self.frozen_runners.contains(runner)
    }

    /// Returns the open runs of a runner.
    pub(super) fn open_runs_on(&self, runner: &RunnerId) -> impl Iterator<Item = RunId> {
        self.open_by_runner
            .get(runner)
            .into_iter()
            .flatten()
            .copied()
    }

    /// Returns whether the runner may not have reported the end of a run by `at`.
    ///
    /// That is so if the runner was not notified that the end is recorded, and
    /// either its process stopped, or its run lease expired and it has not had
    /// `REPORT_TIME` without a fault since the end.
    pub(super) fn may_be_unreported(&self, run: RunId, at: Milliseconds) -> bool {
        let Some(facts) = self.runs.get(&run).filter(|run| !run.end_recorded) else {
            return false;
        };
        let is_expired = facts.lease_until.is_some_and(|expiry| at >= expiry);
        let fault_free_since = facts
            .ended_at
            .and_then(|ended_at| self.fault_free_since(ended_at));
        let had_time = fault_free_since.is_some_and(|since| at > since + REPORT_TIME);
        facts.end_lost || (is_expired && !had_time)
    }

    /// Returns the resources that a tenant's runs hold on runners that are not
    /// frozen. Runs on a frozen machine make no progress, and must end when it
    /// resumes if their lease has expired.
    pub(super) fn usage(&self, tenant: &TenantId) -> Resources {
        let usage = self.usage.get(tenant).copied().unwrap_or_default();
        let frozen_runs = self
            .frozen_runners
            .iter()
            .flat_map(|runner| self.open_runs_on(runner));
        frozen_runs
            .filter_map(|run| self.run(run))
            .filter(|run| run.job.tenant == *tenant)
            .fold(usage, |usage, run| usage.minus(&run.resources))
    }

    /// Returns the number of open runs that use a seat of a licence on runners that
    /// are not frozen.
    pub(super) fn seats_used(&self, licence: &LicenceName) -> usize {
        let open_runs = self.open_by_runner.iter();
        open_runs
            .filter(|(runner, _)| !self.frozen_runners.contains(*runner))
            .flat_map(|(_, runs)| runs)
            .filter_map(|run| self.run(*run))
            .filter(|run| self.licence_of(&run.job, &run.task.0) == Some(licence))
            .count()
    }

    /// Returns the licence that a step of a job needs; None if it needs none.
    pub(super) fn licence_of(&self, job: &JobKey, step: &StepName) -> Option<&LicenceName> {
        let expected = self.jobs.get(job)?.probable_step(step)?;
        expected.licence.as_ref()
    }

    /// Returns whether any run is open, on frozen runners as well.
    pub(super) fn has_open_runs(&self) -> bool {
        !self.open_by_runner.is_empty()
    }

    /// Returns the time since which no fault delays reports and orders, but at
    /// least `since`; None while a fault is active.
    pub(super) fn fault_free_since(&self, since: Milliseconds) -> Option<Milliseconds> {
        (!self.has_fault).then_some(self.healed_at.max(since))
    }

    /// Updates the state with an event.
    pub(super) fn observe(&mut self, observation: &Observation) {
        let at = observation.at;
        match &observation.event {
            Event::SubmitSent {
                job,
                steps,
                not_before,
            } => self.job_mut(job).record_submit(steps, *not_before),
            Event::SubmitAcknowledged { job } => {
                self.job_mut(job).acknowledged_at.get_or_insert(at);
                self.update_unfinished(job);
            }
            Event::StateRead {
                job,
                state: ReadState::Known(state),
                ..
            } if state.is_final() => {
                self.job_mut(job).final_state.get_or_insert(*state);
                self.update_unfinished(job);
            }
            Event::CancelSent { job } => self.job_mut(job).cancel_sent = true,
            Event::CancelAcknowledged { job } => {
                self.job_mut(job).cancel_acknowledged_at.get_or_insert(at);
            }
            Event::RunStarted { .. } => self.record_run_start(observation),
            Event::RunEnded {
                run,
                outcome,
                lease_until,
                ..
            } => self.record_run_end(*run, outcome, *lease_until, at),
            Event::EndRecorded { runner, run } => self.notify_recorded(runner, *run),
            Event::RunnerStopped { runner } => self.record_runner_stop(runner, at),
            Event::RunnerFrozen { runner } => {
                self.frozen_runners.insert(runner.clone());
            }
            Event::RunnerWoke { runner } => {
                self.frozen_runners.remove(runner);
            }
            Event::Fault { .. } => self.has_fault = true,
            Event::Healed => {
                self.has_fault = false;
                self.healed_at = at;
            }
            _ => {}
        }
    }

    fn job_mut(&mut self, job: &JobKey) -> &mut JobFacts {
        self.jobs.entry(job.clone()).or_default()
    }

    fn record_run_start(&mut self, observation: &Observation) {
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
        task.open_runs.insert(*run);
        task.changed_at = observation.at;
        let usage = self.usage.entry(job.tenant.clone()).or_default();
        *usage = usage.plus(resources);
        let open_runs = self.open_by_runner.entry(runner.clone()).or_default();
        open_runs.insert(*run);
        let facts = RunFacts {
            job: job.clone(),
            task: key,
            runner: runner.clone(),
            resources: *resources,
            started_at: observation.at,
            ended_at: None,
            lease_until: None,
            end_recorded: false,
            end_lost: false,
        };
        self.runs.insert(*run, facts);
    }

    fn record_runner_stop(&mut self, runner: &RunnerId, at: Milliseconds) {
        let open_runs = self.open_by_runner.get(runner).cloned().unwrap_or_default();
        for run in open_runs {
            self.record_run_end(run, &Outcome::Stopped, None, at);
        }
        for run in self.unrecorded.remove(runner).unwrap_or_default() {
            if let Some(facts) = self.runs.get_mut(&run) {
                facts.end_lost = true;
            }
        }
    }

    fn notify_recorded(&mut self, runner: &RunnerId, run: RunId) {
        if let Some(runs) = self.unrecorded.get_mut(runner) {
            runs.remove(&run);
        }
        if let Some(facts) = self.runs.get_mut(&run) {
            facts.end_recorded = true;
        }
    }

    fn record_run_end(
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
        self.release(id, &run);
        let facts = self.job_mut(&run.job);
        let time_limit = facts.step(&run.task.0).and_then(|step| step.time_limit);
        let task = facts.tasks.entry(run.task.clone()).or_default();
        task.open_runs.remove(&id);
        task.changed_at = at;
        match outcome {
            Outcome::Done if task.done_at.is_none() => {
                task.done_at = Some(at);
                task.done_run = Some(id);
                *facts.done_by_step.entry(run.task.0).or_default() += 1;
            }
            Outcome::Done => {}
            Outcome::Failed(_) => task.failed_runs.push(id),
            Outcome::Stopped if may_have_timed_out(run.started_at, at, time_limit) => {
                task.possible_timeouts += 1;
            }
            Outcome::Stopped => {}
        }
        self.update_unfinished(&run.job);
    }

    fn release(&mut self, id: RunId, run: &RunFacts) {
        if let Some(usage) = self.usage.get_mut(&run.job.tenant) {
            *usage = usage.minus(&run.resources);
        }
        if let Some(open_runs) = self.open_by_runner.get_mut(&run.runner) {
            open_runs.remove(&id);
            if open_runs.is_empty() {
                self.open_by_runner.remove(&run.runner);
            }
        }
    }

    // A job that may have no work left is no evidence that service is down.
    fn update_unfinished(&mut self, job: &JobKey) {
        let Some(facts) = self.jobs.get(job) else {
            return;
        };
        let has_work = facts.acknowledged_at.is_some()
            && facts.final_state.is_none()
            && facts.is_done() == Some(false)
            && !facts.may_have_exceeded_failures();
        if has_work {
            self.unfinished.insert(job.clone());
        } else {
            self.unfinished.remove(job);
        }
    }
}
