//! Opening and closing runs.

use super::StateMachine;
use super::job::{Job, Progress};
use super::jobs::is_unfinished;
use super::settle::settle;
use crate::mutation::Mutation;
use crate::{Change, ClosedRun, CommandReply, ReservationRejection};
use configuration::QueueMode;
use std::collections::BTreeSet;
use types::{JobState, OpenRun, Outcome, Reservation, RunClose, RunId, TaskRef, WallTime};

impl StateMachine {
    /// Binds each task that may still start to its runner.
    pub(super) fn reserve(
        &mut self,
        reservations: &[Reservation],
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut accepted = Vec::new();
        let mut rejected = Vec::new();
        let same_gang = |a: &Reservation, b: &Reservation| {
            (a.task.job, a.task.step) == (b.task.job, b.task.step) && self.is_gang(a.task)
        };
        let groups: Vec<&[Reservation]> = reservations.chunk_by(same_gang).collect();
        for group in groups {
            match self.check_group(group, at) {
                Ok(runs) => {
                    for run in runs {
                        self.open_run_of(run.clone());
                        accepted.push(run.run);
                        changes.push(Change::RunOpened(run));
                    }
                }
                Err(rejection) => rejected.extend(group.iter().map(|one| (one.run, rejection))),
            }
        }
        CommandReply::Reserved { accepted, rejected }
    }

    /// Returns whether the task is a member of a gang.
    pub fn is_gang(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.is_gang(task.step))
    }

    /// Returns whether the task is to run until its job is cancelled.
    pub fn is_endless(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.task(task))
            .is_some_and(|(step, _, _)| step.rules.endless)
    }

    /// The runs of one reservation, or of a whole gang: all or none.
    fn check_group(
        &self,
        group: &[Reservation],
        at: WallTime,
    ) -> Result<Vec<OpenRun>, ReservationRejection> {
        let runs = group
            .iter()
            .map(|reservation| self.check_reservation(reservation, at))
            .collect::<Result<Vec<OpenRun>, ReservationRejection>>()?;
        if let Some(first) = runs.first()
            && self.is_gang(first.task)
        {
            self.check_gang(&runs)?;
        }
        Ok(runs)
    }

    /// A gang starts whole, each member once, within its tenant's resource limit.
    fn check_gang(&self, runs: &[OpenRun]) -> Result<(), ReservationRejection> {
        let Some(first) = runs.first() else {
            return Ok(());
        };
        let members: BTreeSet<u32> = runs.iter().map(|run| run.task.task).collect();
        let job = self.jobs.get(&first.task.job);
        let step = job.and_then(|job| job.spec.steps.get(usize::from(first.task.step)));
        let size = step.map_or(0, |step| step.tasks as usize);
        if members.len() != size || runs.len() != size {
            return Err(ReservationRejection::NotReady);
        }
        let usage = self.indexes.usage.get(&first.tenant).copied();
        let wanted = runs.iter().fold(usage.unwrap_or_default(), |sum, run| {
            sum.plus(run.resources)
        });
        match self.document.tenants.get(&first.tenant) {
            Some(contract) if wanted.fits_in(contract.resource_limit) => {}
            _ => return Err(ReservationRejection::TenantAtLimit),
        }
        self.check_seats(first, u32::try_from(size).unwrap_or(u32::MAX))
    }

    /// One runner holds no more runs of a step than the step allows.
    fn check_spread(&self, run: &OpenRun, most: Option<u32>) -> Result<(), ReservationRejection> {
        let Some(most) = most else {
            return Ok(());
        };
        let there = self
            .indexes
            .runs_of_step(run.task)
            .filter_map(|open| self.open_runs.get(&open))
            .filter(|open| open.runner == run.runner)
            .count();
        match there < most as usize {
            true => Ok(()),
            false => Err(ReservationRejection::RunnerAtStepLimit),
        }
    }

    /// The count of seats is the record's own: every reservation passes here in
    /// the order of the log, so no two leaders can grant the last one.
    fn check_seats(&self, run: &OpenRun, wanted: u32) -> Result<(), ReservationRejection> {
        let Some(licence) = &run.licence else {
            return Ok(());
        };
        let settings = self.document.licences.get(licence);
        let seats = settings.map_or(0, |settings| settings.seats);
        match self.seats_used(licence).saturating_add(wanted) <= seats {
            true => Ok(()),
            false => Err(ReservationRejection::NoSeat),
        }
    }

    /// The run as it would be, when nothing speaks against it.
    fn check_reservation(
        &self,
        reservation: &Reservation,
        at: WallTime,
    ) -> Result<OpenRun, ReservationRejection> {
        if self.is_known_run(reservation.run) {
            return Err(ReservationRejection::KnownRun);
        }
        let task = reservation.task;
        let job = self
            .jobs
            .get(&task.job)
            .ok_or(ReservationRejection::NotReady)?;
        let skips = self.mutation == Some(Mutation::SkipReservationCheck);
        if !skips && !job.is_startable(task) {
            return Err(ReservationRejection::NotReady);
        }
        let (step, _, _) = job.task(task).ok_or(ReservationRejection::NotReady)?;
        if !skips && self.draining_runners.contains(&reservation.runner) {
            return Err(ReservationRejection::RunnerDraining);
        }
        let run = OpenRun {
            endpoint: reservation.endpoint.clone(),
            run: reservation.run,
            task,
            attempt: u32::from(job.next_attempt(task)),
            tenant: job.spec.tenant.clone(),
            queue: job.spec.queue.clone(),
            runner: reservation.runner.clone(),
            incarnation: reservation.incarnation,
            resources: step.resources,
            time_limit: step.time_limit,
            expected: step.rules.expected,
            licence: step.rules.licence.clone(),
            reserved_at: at,
            self_stop: reservation.self_stop,
        };
        if !skips {
            self.check_queue_starts(&run)?;
            self.check_resource_limit(&run)?;
            self.check_seats(&run, 1)?;
            self.check_spread(&run, step.rules.max_per_runner)?;
        }
        Ok(run)
    }

    fn is_known_run(&self, run: RunId) -> bool {
        self.open_runs.contains_key(&run)
            || self.indexes.closed_runs.contains(&run)
            || self.highest_forgotten_run.is_some_and(|known| run <= known)
    }

    /// A draining queue takes no submits but finishes what it holds, so its
    /// tasks start like those of an active one.
    fn check_queue_starts(&self, run: &OpenRun) -> Result<(), ReservationRejection> {
        let mode = self.document.queues.get(&run.queue).map(|queue| queue.mode);
        match mode {
            Some(QueueMode::Active | QueueMode::Draining) => Ok(()),
            Some(QueueMode::Shadow | QueueMode::Paused) | None => {
                Err(ReservationRejection::QueueNotActive)
            }
        }
    }

    fn check_resource_limit(&self, run: &OpenRun) -> Result<(), ReservationRejection> {
        let usage = self.indexes.usage.get(&run.tenant).copied();
        let wanted = usage.unwrap_or_default().plus(run.resources);
        let contract = self.document.tenants.get(&run.tenant);
        match contract {
            Some(contract) if wanted.fits_in(contract.resource_limit) => Ok(()),
            _ => Err(ReservationRejection::TenantAtLimit),
        }
    }

    fn open_run_of(&mut self, run: OpenRun) {
        let number = run.task.job;
        if let Some(job) = self.jobs.get_mut(&number) {
            let attempt = u16::try_from(run.attempt).unwrap_or(u16::MAX);
            job.change_task(run.task, |task| {
                task.open_runs = task.open_runs.saturating_add(1);
                task.attempts = task.attempts.max(attempt);
            });
            job.first_reserved_at.get_or_insert(run.reserved_at);
            job.state = JobState::Running;
            self.indexes.refresh(number, job);
        }
        self.indexes.insert_run(&run);
        self.open_runs.insert(run.run, run);
    }

    /// Closes runs; one that is closed already or unknown stays as it is, but
    /// the late end of a lost one is taken.
    pub(super) fn close_runs(
        &mut self,
        runs: &[ClosedRun],
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut closed = Vec::new();
        for run in runs {
            if let Some(open) = self.open_runs.remove(&run.run) {
                closed.push(run.run);
                self.close_run(open, run, at, changes);
            } else {
                self.take_late_end(run.run, &run.close, at, changes);
            }
        }
        CommandReply::Closed { runs: closed }
    }

    fn close_run(
        &mut self,
        run: OpenRun,
        closed: &ClosedRun,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let close = &closed.close;
        self.indexes.close_run(&run);
        let task = run.task;
        let attempt = run.attempt;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.closed_runs.push(run.run);
        if let Some(checkpoint) = &closed.checkpoint {
            job.keep_checkpoint(task, checkpoint);
        }
        let forgets = self.mutation == Some(Mutation::ForgetFailures) && close.is_failure();
        let counts = is_unfinished(job, task) && !forgets;
        release(job, task);
        let failed = counts && settle(job, task, attempt, close, &self.document.timings, at);
        let again = job.startable_meta(task);
        self.indexes.refresh(task.job, job);
        self.remember_lost(&run, close);
        changes.push(Change::RunClosed {
            run,
            close: close.clone(),
            again,
        });
        if counts {
            self.follow_close(task, close, failed, at, changes);
            self.follow_gang(task, close, changes);
        }
    }

    /// What the end of one member means for the rest of its gang: after any
    /// end but done the others are of no use and are stopped; once no run of
    /// the gang is open, all of it may start again.
    fn follow_gang(&self, task: TaskRef, close: &RunClose, changes: &mut Vec<Change>) {
        let Some(job) = self
            .jobs
            .get(&task.job)
            .filter(|job| job.is_gang(task.step))
        else {
            return;
        };
        let members: Vec<TaskRef> = job.step_tasks(task.job, task.step).collect();
        let open = members
            .iter()
            .flat_map(|member| self.indexes.runs_of(*member));
        let open: Vec<RunId> = open.collect();
        if open.is_empty() {
            let others = members.into_iter().filter(|member| *member != task);
            let ready = others.filter_map(|member| job.startable_meta(member));
            changes.extend(ready.map(Change::TaskReady));
        } else if *close != RunClose::Ended(Outcome::Done)
            && self.mutation != Some(Mutation::KeepRestOfGang)
        {
            changes.push(Change::RunsUseless(open));
        }
    }

    /// One member's done end is the end of all: their own ends may come later.
    fn complete_gang(&mut self, task: TaskRef, changes: &mut Vec<Change>) {
        let Some(job) = self
            .jobs
            .get_mut(&task.job)
            .filter(|job| job.is_gang(task.step))
        else {
            return;
        };
        let members: Vec<TaskRef> = job.step_tasks(task.job, task.step).collect();
        for member in members.into_iter().filter(|member| *member != task) {
            job.change_task(member, |member| member.progress = Progress::Done);
            changes.push(Change::TaskEnded {
                task: member,
                open_runs: Vec::new(),
            });
        }
        self.indexes.refresh(task.job, job);
    }

    /// What the close of a run means for its task's step and job.
    pub(super) fn follow_close(
        &mut self,
        task: TaskRef,
        close: &RunClose,
        failed: bool,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        if failed {
            changes.push(self.task_ended(task));
            let reason = self.failure_reason(task, close);
            self.end_job(task.job, JobState::Failed, reason, at, changes);
        } else if self.is_done_end(task, close) {
            changes.push(self.task_ended(task));
            self.complete_gang(task, changes);
            let job = self.jobs.get(&task.job);
            let step = job.and_then(|job| job.steps.get(usize::from(task.step)));
            if step.is_some_and(|step| step.is_done()) {
                self.step_done(task.job, task.step, at, changes);
            }
        }
    }

    /// True for an end that finishes its task. No end finishes a task of an
    /// endless step.
    fn is_done_end(&self, task: TaskRef, close: &RunClose) -> bool {
        !self.is_endless(task) && *close == RunClose::Ended(Outcome::Done)
    }

    fn failure_reason(&self, at: TaskRef, close: &RunClose) -> Option<String> {
        let (step, _, task) = self.jobs.get(&at.job)?.task(at)?;
        let last = match close {
            RunClose::Ended(Outcome::Failed(reason)) => reason.as_str(),
            RunClose::TimedOut => "it ran past its time limit",
            _ => "told late, while it ran again",
        };
        let (name, failed) = (&step.name, task.failed_runs);
        Some(format!(
            "task {} of step {name} failed {failed} times, last: {last}",
            at.task
        ))
    }
}

/// Takes one open run off a task.
fn release(job: &mut Job, at: TaskRef) {
    job.change_task(at, |task| {
        task.open_runs = task.open_runs.saturating_sub(1);
    });
}
