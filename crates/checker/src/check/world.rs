//! What the history has shown so far, shared by the rules.

use crate::{Event, ExpectedStep, Observation, ReadState};
use std::collections::{BTreeMap, BTreeSet};
use types::{
    JobKey, JobState, LicenceName, Milliseconds, Outcome, Resources, RunId, RunnerId, StepName,
    TenantId,
};

/// A run stopped this much before its time limit may still have been stopped
/// for it: the limit is measured from a moment before the start was seen.
const TIME_LIMIT_TOLERANCE: Milliseconds = Milliseconds(500);

/// A task within its job.
pub(super) type TaskKey = (StepName, u32);

/// What is known of a job.
#[derive(Debug, Clone, Default)]
pub(super) struct JobFacts {
    steps: Vec<ExpectedStep>,
    /// True when submits of different content were sent: either may have won.
    is_ambiguous: bool,
    /// Most copies of each step over all contents sent.
    copies: BTreeMap<StepName, u32>,
    was_sent: bool,
    /// The earliest among the contents sent; None when one has no start time.
    pub(super) not_before: Option<Milliseconds>,
    pub(super) acknowledged_at: Option<Milliseconds>,
    pub(super) cancel_sent: bool,
    pub(super) cancel_acknowledged_at: Option<Milliseconds>,
    /// The first final state read.
    pub(super) final_state: Option<JobState>,
    pub(super) tasks: BTreeMap<TaskKey, TaskFacts>,
    done_by_step: BTreeMap<StepName, u32>,
}

/// What is known of a task.
#[derive(Debug, Clone, Default)]
pub(super) struct TaskFacts {
    pub(super) open: BTreeSet<RunId>,
    pub(super) done_at: Option<Milliseconds>,
    /// The run that was first seen to end done.
    pub(super) done_run: Option<RunId>,
    /// Runs that ended failed, and when the last of them did.
    pub(super) failures: u32,
    pub(super) last_failure_at: Milliseconds,
    /// Stopped runs that may count as failed, since they reached their limit.
    pub(super) overdue_stops: u32,
}

/// A run that was seen to start.
#[derive(Debug, Clone)]
pub(super) struct RunFacts {
    pub(super) job: JobKey,
    pub(super) task: TaskKey,
    pub(super) runner: RunnerId,
    pub(super) resources: Resources,
    pub(super) started_at: Milliseconds,
    pub(super) is_open: bool,
    /// When its runner's lease would have ended, as of its end.
    pub(super) lease_until: Option<Milliseconds>,
    /// True when its runner knows that the record has its end.
    pub(super) end_recorded: bool,
    /// True when its runner's process ended after it, unless recorded before.
    pub(super) end_forgotten: bool,
}

impl JobFacts {
    /// What the job's submit said of a step, when that is certain.
    pub(super) fn step(&self, name: &StepName) -> Option<&ExpectedStep> {
        let mut steps = self.certain_steps()?.iter();
        steps.find(|step| step.name == *name)
    }

    /// All steps, when they are certain.
    pub(super) fn certain_steps(&self) -> Option<&[ExpectedStep]> {
        (self.was_sent && !self.is_ambiguous).then_some(&self.steps)
    }

    /// Tasks of a step that ended done.
    pub(super) fn done_in(&self, step: &StepName) -> u32 {
        self.done_by_step.get(step).copied().unwrap_or(0)
    }

    /// Most copies of a step over all contents sent, at least 1.
    pub(super) fn most_copies(&self, step: &StepName) -> u32 {
        self.copies.get(step).copied().unwrap_or(1)
    }

    /// True when every task ended done; None when the steps are not certain.
    pub(super) fn is_done(&self) -> Option<bool> {
        let mut steps = self.certain_steps()?.iter();
        Some(steps.all(|step| self.done_in(&step.name) >= step.tasks))
    }

    /// True when a task may have used up its allowed failures by `at`.
    pub(super) fn may_have_failed(&self, world: &World, at: Milliseconds) -> bool {
        if self.certain_steps().is_none() {
            return true;
        }
        self.tasks.iter().any(|(key, task)| {
            let Some(step) = self.step(&key.0) else {
                return false;
            };
            let open = task.open.iter().filter_map(|run| world.run(*run));
            let overdue = open.filter(|run| is_overdue(run.started_at, at, step.time_limit));
            let overdue = u32::try_from(overdue.count()).unwrap_or(u32::MAX);
            task.failures + task.overdue_stops + overdue > step.allowed_failures
        })
    }

    fn take_submit(&mut self, steps: &[ExpectedStep], not_before: Option<Milliseconds>) {
        for step in steps {
            let copies = self.copies.entry(step.name.clone()).or_insert(1);
            *copies = (*copies).max(step.max_copies);
        }
        if !self.was_sent {
            self.was_sent = true;
            self.steps = steps.to_vec();
            self.not_before = not_before;
            return;
        }
        self.is_ambiguous |= self.steps != steps;
        self.not_before = self
            .not_before
            .zip(not_before)
            .map(|(one, two)| one.min(two));
    }
}

fn is_overdue(started: Milliseconds, now: Milliseconds, limit: Option<Milliseconds>) -> bool {
    limit.is_none_or(|limit| now + TIME_LIMIT_TOLERANCE >= started + limit)
}

/// All jobs and runs, and whether a fault is going on.
#[derive(Debug, Clone, Default)]
pub(super) struct World {
    jobs: BTreeMap<JobKey, JobFacts>,
    runs: BTreeMap<RunId, RunFacts>,
    open_by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
    held: BTreeMap<TenantId, Resources>,
    /// Acknowledged jobs that may have work left.
    pub(super) unfinished: BTreeSet<JobKey>,
    /// Ended runs whose runner does not know yet that the record has them.
    unrecorded: BTreeMap<RunnerId, BTreeSet<RunId>>,
    frozen: BTreeSet<RunnerId>,
    is_disturbed: bool,
    healed_at: Milliseconds,
}

impl World {
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

    /// True while a runner's machine stands still.
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

    /// True when the end of a run may never have reached anyone by `at`: its
    /// runner was not told that the record has it, and has either lost its
    /// memory with its process or been silent past its run lease.
    pub(super) fn may_be_unreported(&self, run: RunId, at: Milliseconds) -> bool {
        let Some(facts) = self.runs.get(&run) else {
            return false;
        };
        let lapsed = facts.lease_until.is_some_and(|until| at >= until);
        !facts.end_recorded && (facts.end_forgotten || lapsed)
    }

    /// What a tenant's runs hold over all runners but those whose machines
    /// stand still: there they do nothing, and once their lease is over they
    /// must end when the machine wakes.
    pub(super) fn held(&self, tenant: &TenantId) -> Resources {
        let held = self.held.get(tenant).copied().unwrap_or_default();
        let still = self.frozen.iter().flat_map(|runner| self.open_on(runner));
        still
            .filter_map(|run| self.run(run))
            .filter(|run| run.job.tenant == *tenant)
            .fold(held, |held, run| held.minus(&run.resources))
    }

    /// Runs that take a seat of a licence, but those whose machines stand still.
    pub(super) fn seats_taken(&self, licence: &LicenceName) -> usize {
        let open = self.open_by_runner.iter();
        open.filter(|(runner, _)| !self.frozen.contains(*runner))
            .flat_map(|(_, runs)| runs)
            .filter_map(|run| self.run(*run))
            .filter(|run| self.licence_of(&run.job, &run.task.0) == Some(licence))
            .count()
    }

    /// The licence that a step of a job needs.
    pub(super) fn licence_of(&self, job: &JobKey, step: &StepName) -> Option<&LicenceName> {
        let steps = &self.jobs.get(job)?.steps;
        let step = steps.iter().find(|expected| expected.name == *step)?;
        step.licence.as_ref()
    }

    /// True when any run is going on any runner.
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
        let held = self.held.entry(job.tenant.clone()).or_default();
        *held = held.plus(resources);
        let open = self.open_by_runner.entry(runner.clone()).or_default();
        open.insert(*run);
        let facts = RunFacts {
            job: job.clone(),
            task: key,
            runner: runner.clone(),
            resources: *resources,
            started_at: observation.at,
            is_open: true,
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
        let Some(run) = self.runs.get_mut(&id).filter(|run| run.is_open) else {
            return;
        };
        run.is_open = false;
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
        match outcome {
            Outcome::Done if task.done_at.is_none() => {
                task.done_at = Some(at);
                task.done_run = Some(id);
                *facts.done_by_step.entry(run.task.0).or_default() += 1;
            }
            Outcome::Done => {}
            Outcome::Failed(_) => {
                task.failures += 1;
                task.last_failure_at = at;
            }
            Outcome::Stopped if is_overdue(run.started_at, at, limit) => task.overdue_stops += 1,
            Outcome::Stopped => {}
        }
        self.review(&run.job);
    }

    fn free(&mut self, id: RunId, run: &RunFacts) {
        if let Some(held) = self.held.get_mut(&run.job.tenant) {
            *held = held.minus(&run.resources);
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

impl JobFacts {
    // Without the runs that are still open: enough to know that work may be over.
    fn has_used_up_failures(&self) -> bool {
        self.tasks.iter().any(|(key, task)| {
            let allowed = self.step(&key.0).map_or(0, |step| step.allowed_failures);
            task.failures + task.overdue_stops > allowed
        })
    }
}
