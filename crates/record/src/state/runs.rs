//! Opening and closing runs.

use super::Record;
use super::job::{Job, Progress};
use super::jobs::is_unfinished;
use crate::mutation::Mutation;
use crate::{Change, ClosedRun, CommandReply, ReserveRefusal};
use configuration::{QueueMode, Timings};
use types::{
    JobState, Milliseconds, OpenRun, Outcome, Reservation, RunClose, RunId, TaskRef, WallTime,
};

impl Record {
    /// Binds each task that may still start to its runner.
    pub(super) fn reserve(
        &mut self,
        reservations: &[Reservation],
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut taken = Vec::new();
        let mut refused = Vec::new();
        for reservation in reservations {
            match self.check_reservation(reservation, at) {
                Ok(run) => {
                    self.open_run_of(run.clone());
                    taken.push(run.run);
                    changes.push(Change::RunOpened(run));
                }
                Err(refusal) => refused.push((reservation.run, refusal)),
            }
        }
        CommandReply::Reserved { taken, refused }
    }

    /// The run as it would be, when nothing speaks against it.
    fn check_reservation(
        &self,
        reservation: &Reservation,
        at: WallTime,
    ) -> Result<OpenRun, ReserveRefusal> {
        if self.is_known_run(reservation.run) {
            return Err(ReserveRefusal::KnownRun);
        }
        let task = reservation.task;
        let job = self.jobs.get(&task.job).ok_or(ReserveRefusal::NotReady)?;
        let skips = self.mutation == Some(Mutation::SkipReservationCheck);
        if !skips && !job.is_startable(task) {
            return Err(ReserveRefusal::NotReady);
        }
        let (step, _, _) = job.task(task).ok_or(ReserveRefusal::NotReady)?;
        if !skips && self.draining_runners.contains(&reservation.runner) {
            return Err(ReserveRefusal::RunnerDraining);
        }
        let run = OpenRun {
            run: reservation.run,
            task,
            tenant: job.spec.tenant.clone(),
            queue: job.spec.queue.clone(),
            runner: reservation.runner.clone(),
            incarnation: reservation.incarnation,
            resources: step.resources,
            time_limit: step.time_limit,
            reserved_at: at,
            self_stop: reservation.self_stop,
        };
        if !skips {
            self.check_queue_starts(&run)?;
            self.check_ceiling(&run)?;
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
    fn check_queue_starts(&self, run: &OpenRun) -> Result<(), ReserveRefusal> {
        let mode = self.document.queues.get(&run.queue).map(|queue| queue.mode);
        match mode {
            Some(QueueMode::Active | QueueMode::Draining) => Ok(()),
            Some(QueueMode::Shadow | QueueMode::Paused) | None => {
                Err(ReserveRefusal::QueueNotActive)
            }
        }
    }

    fn check_ceiling(&self, run: &OpenRun) -> Result<(), ReserveRefusal> {
        let held = self.indexes.holdings.get(&run.tenant).copied();
        let wanted = held.unwrap_or_default().plus(run.resources);
        let contract = self.document.tenants.get(&run.tenant);
        match contract {
            Some(contract) if wanted.fits_in(contract.ceiling) => Ok(()),
            _ => Err(ReserveRefusal::TenantAtCeiling),
        }
    }

    fn open_run_of(&mut self, run: OpenRun) {
        let number = run.task.job;
        if let Some(job) = self.jobs.get_mut(&number) {
            job.change_task(run.task, |task| {
                task.open_runs = task.open_runs.saturating_add(1);
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
                self.close_run(open, &run.close, at, changes);
            } else {
                self.take_late_end(run.run, &run.close, at, changes);
            }
        }
        CommandReply::Closed { runs: closed }
    }

    fn close_run(
        &mut self,
        run: OpenRun,
        close: &RunClose,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        self.indexes.close_run(&run);
        let task = run.task;
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.closed_runs.push(run.run);
        let counts = is_unfinished(job, task);
        release(job, task);
        let failed = counts && settle(job, task, close, &self.document.timings, at);
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
        }
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
        } else if *close == RunClose::Ended(Outcome::Done) {
            changes.push(self.task_ended(task));
            let job = self.jobs.get(&task.job);
            let step = job.and_then(|job| job.steps.get(usize::from(task.step)));
            if step.is_some_and(|step| step.is_done()) {
                self.step_done(task.job, task.step, at, changes);
            }
        }
    }

    fn failure_reason(&self, at: TaskRef, close: &RunClose) -> Option<String> {
        let (step, _, task) = self.jobs.get(&at.job)?.task(at)?;
        let last = match close {
            RunClose::Ended(Outcome::Failed(reason)) => reason.as_str(),
            _ => "it ran past its time limit",
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

/// Notes on an unfinished task how its run closed; true when the task failed
/// by it. The last allowed failure fails the task even while another copy is
/// going: copies race for one result and share the allowance.
pub(super) fn settle(
    job: &mut Job,
    at: TaskRef,
    close: &RunClose,
    timings: &Timings,
    now: WallTime,
) -> bool {
    let Some((step, _, _)) = job.task(at) else {
        return false;
    };
    let allowed = step.allowed_failures;
    let mut failed = false;
    job.change_task(at, |task| {
        if *close == RunClose::Ended(Outcome::Done) {
            task.progress = Progress::Done;
        } else if close.is_failure() {
            task.failed_runs = task.failed_runs.saturating_add(1);
            task.backoff_until = now + backoff(timings, task.failed_runs);
            failed = u32::from(task.failed_runs) > allowed;
        }
        if failed {
            task.progress = Progress::Failed;
        }
    });
    failed
}

/// The wait after the given number of failures: doubled each time, bounded.
fn backoff(timings: &Timings, failures: u8) -> Milliseconds {
    let doublings = u32::from(failures.saturating_sub(1));
    let factor = 1_u64.checked_shl(doublings).unwrap_or(u64::MAX);
    let wait = timings.retry_backoff.0.saturating_mul(factor);
    Milliseconds(wait).min(timings.max_retry_backoff)
}
