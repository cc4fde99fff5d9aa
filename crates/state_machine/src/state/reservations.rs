//! Checks of reservations, and the opening of their runs.

use super::StateMachine;
use super::job::Job;
use super::usage::Usage;
use crate::mutation::Mutation;
use crate::{Change, CommandReply, ReservationRejection};
use configuration::QueueMode;
use std::collections::BTreeSet;
use types::{JobState, OpenRun, Reservation, Resources, RunId, StepSpec, TenantId, WallTime};

impl StateMachine {
    /// Opens a run for each reservation that passes the checks. Adjacent
    /// reservations of one gang are accepted or rejected as a whole.
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
                        self.insert_open_run(run.clone());
                        accepted.push(run.run);
                        changes.push(Change::RunOpened(run));
                    }
                }
                Err(rejection) => {
                    rejected.extend(group.iter().map(|reservation| (reservation.run, rejection)));
                }
            }
        }
        CommandReply::Reserved { accepted, rejected }
    }

    /// Checks one reservation, or all reservations of a gang, and returns their
    /// runs.
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

    /// Checks that a gang starts as a whole, each task once, within its tenant's
    /// resource limit and the free licence seats.
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
        let requested = runs.iter().map(|run| run.resources);
        self.check_resource_limit(&first.tenant, requested)?;
        self.check_seats(first, u32::try_from(size).unwrap_or(u32::MAX))
    }

    /// Checks that the runner has fewer runs of the step than the step allows.
    fn check_step_limit(
        &self,
        run: &OpenRun,
        max_per_runner: Option<u32>,
    ) -> Result<(), ReservationRejection> {
        let Some(max_per_runner) = max_per_runner else {
            return Ok(());
        };
        let open_runs = self
            .indexes
            .runs_of_step(run.task)
            .filter_map(|open| self.open_runs.get(&open))
            .filter(|open| open.runner == run.runner)
            .count();
        if open_runs < max_per_runner as usize {
            Ok(())
        } else {
            Err(ReservationRejection::RunnerAtStepLimit)
        }
    }

    /// Checks that `requested` seats of the run's licence are free. Reservations
    /// are checked in the order of the log, so two leaders cannot both grant the
    /// last seat.
    fn check_seats(&self, run: &OpenRun, requested: u32) -> Result<(), ReservationRejection> {
        let Some(licence) = &run.licence else {
            return Ok(());
        };
        let settings = self.document.licences.get(licence);
        let seats = settings.map_or(0, |settings| settings.seats);
        if self.seats_used(licence).saturating_add(requested) <= seats {
            Ok(())
        } else {
            Err(ReservationRejection::NoSeat)
        }
    }

    /// Checks a reservation against the state and returns the run to open.
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
        let skips_checks = self.mutation == Some(Mutation::SkipReservationCheck);
        if !skips_checks && !job.is_startable(task) {
            return Err(ReservationRejection::NotReady);
        }
        let step = job.task(task).ok_or(ReservationRejection::NotReady)?.spec;
        if !skips_checks && self.draining_runners.contains(&reservation.runner) {
            return Err(ReservationRejection::RunnerDraining);
        }
        let run = new_run(job, step, reservation, at);
        if !skips_checks {
            self.check_queue_starts(&run)?;
            self.check_resource_limit(&run.tenant, std::iter::once(run.resources))?;
            self.check_seats(&run, 1)?;
            self.check_step_limit(&run, step.rules.max_per_runner)?;
        }
        Ok(run)
    }

    /// Returns whether the identifier belongs to an open, closed or forgotten run.
    fn is_known_run(&self, run: RunId) -> bool {
        self.open_runs.contains_key(&run)
            || self.indexes.closed_runs.contains(&run)
            || self
                .highest_forgotten_run
                .is_some_and(|highest| run <= highest)
    }

    /// Checks that the queue starts tasks. A draining queue accepts no jobs, but
    /// still starts the tasks of its jobs.
    fn check_queue_starts(&self, run: &OpenRun) -> Result<(), ReservationRejection> {
        let mode = self.document.queues.get(&run.queue).map(|queue| queue.mode);
        match mode {
            Some(QueueMode::Active | QueueMode::Draining) => Ok(()),
            Some(QueueMode::Shadow | QueueMode::Paused) | None => {
                Err(ReservationRejection::QueueNotActive)
            }
        }
    }

    /// Checks that a tenant's open runs, together with runs of the requested
    /// resources, stay within the tenant's resource limit.
    fn check_resource_limit(
        &self,
        tenant: &TenantId,
        requested: impl Iterator<Item = Resources>,
    ) -> Result<(), ReservationRejection> {
        let usage = self.indexes.usage.get(tenant).copied();
        let usage = requested.fold(usage.unwrap_or_default(), Usage::plus);
        let contract = self.document.tenants.get(tenant);
        if contract.is_some_and(|contract| usage.fits_in(contract.resource_limit)) {
            Ok(())
        } else {
            Err(ReservationRejection::TenantAtLimit)
        }
    }

    /// Adds an open run to its job and the indexes.
    fn insert_open_run(&mut self, run: OpenRun) {
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
}

/// Returns the run that a reservation opens, with the next attempt number of its
/// task.
fn new_run(job: &Job, step: &StepSpec, reservation: &Reservation, at: WallTime) -> OpenRun {
    OpenRun {
        endpoint: reservation.endpoint.clone(),
        run: reservation.run,
        task: reservation.task,
        attempt: u32::from(job.next_attempt(reservation.task)),
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
    }
}
