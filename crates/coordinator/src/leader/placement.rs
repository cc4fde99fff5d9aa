//! Placement: the scheduler turns free resources into reservations, which are
//! proposed as one command.

use crate::leader::Leader;
use crate::leader::proposals::ProposalOrigin;
use scheduler::{Decision, DecisionKind};
use state_machine::{Command, ReservationRejection, StateMachine};
use std::collections::VecDeque;
use transport::DecisionEvent;
use types::{JobNumber, Milliseconds, Monotonic, Now, Reservation, RunId, TaskMeta, TaskRef};

/// Reservations that may be on their way through the log.
const MAX_RESERVATIONS_IN_FLIGHT: usize = 512;
/// Time between two placements. What comes in between shares one, and its
/// reservations one entry of the log.
const PLACEMENT_INTERVAL: Milliseconds = Milliseconds(5);
/// How long a rejected run stays bound in the scheduler.
const REJECTED_RUN_DELAY: Milliseconds = Milliseconds(200);

/// A run that the state machine or its runner rejected.
#[derive(Debug, Clone, Copy)]
struct RejectedRun {
    run: RunId,
    task: TaskRef,
    release_at: Monotonic,
}

/// When to place next, and reservations that are not settled yet.
#[derive(Debug)]
pub(super) struct PlacementState {
    requested: bool,
    not_before: Monotonic,
    in_flight: usize,
    /// Rejected runs that stay bound in the scheduler for a moment.
    rejected: VecDeque<RejectedRun>,
}

impl PlacementState {
    /// Begins with a placement that is due now.
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            requested: true,
            not_before: now,
            in_flight: 0,
            rejected: VecDeque::new(),
        }
    }

    /// Requests a placement: something has changed.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns whether something has changed since the last placement.
    pub(super) fn is_requested(&self) -> bool {
        self.requested
    }

    /// The earliest moment of the next placement.
    pub(super) fn not_before(&self) -> Monotonic {
        self.not_before
    }

    /// Returns whether reservations are on their way through the log.
    pub(super) fn has_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Counts reservations that are in the log.
    pub(super) fn add_in_flight(&mut self, reservations: usize) {
        self.in_flight += reservations;
    }

    /// Counts reservations that were applied; room for others.
    pub(super) fn finish_in_flight(&mut self, reservations: usize) {
        self.in_flight = self.in_flight.saturating_sub(reservations);
        self.requested = true;
    }

    /// Reservations that may be made now; 0 if it is too early.
    fn capacity(&self, start_reached: bool, now: Monotonic) -> usize {
        let is_wanted = self.requested || start_reached;
        if !is_wanted || now < self.not_before {
            return 0;
        }
        MAX_RESERVATIONS_IN_FLIGHT.saturating_sub(self.in_flight)
    }

    fn begin(&mut self, now: Monotonic) {
        self.requested = false;
        self.not_before = now + PLACEMENT_INTERVAL;
    }

    /// Removes a rejected run whose delay is over.
    fn pop_rejected(&mut self, now: Monotonic) -> Option<RejectedRun> {
        let first = self.rejected.front()?;
        if first.release_at > now {
            return None;
        }
        self.rejected.pop_front()
    }
}

impl Leader {
    /// Asks the scheduler for placements, if they are due, and proposes them
    /// as one command.
    pub(super) fn place(&mut self, state_machine: &StateMachine, now: Now) {
        let start = self.scheduler.next_start_time();
        let start_reached = start.is_some_and(|start| start <= now.wall);
        let capacity = self.placement.capacity(start_reached, now.monotonic);
        if capacity == 0 || !self.may_place(now.monotonic) {
            return;
        }
        self.placement.begin(now.monotonic);
        let mut reservations: Vec<Reservation> = Vec::new();
        for decision in self.scheduler.place(now, capacity) {
            reservations.extend(reservation_to_propose(&decision));
            let key = state_machine.job_key(task_of(&decision).job);
            self.decisions
                .record(key, DecisionEvent::Dispatch(decision));
        }
        if reservations.is_empty() {
            return;
        }
        let origin = ProposalOrigin::Placement(reservations.clone());
        let at = now.wall;
        self.proposals
            .add(Command::Reserve { reservations, at }, origin);
    }

    /// Returns whether the leader knows enough to place: its view is rebuilt
    /// and all runners that have open runs sent a heartbeat, or had time enough
    /// to do so.
    pub(super) fn may_place(&self, now: Monotonic) -> bool {
        if !self.rebuild.is_done() {
            return false;
        }
        let has_waited = self.lease.since_election(now) >= self.options.runner_wait;
        has_waited
            || self
                .runs
                .runners()
                .all(|runner| self.runners.contains(runner))
    }

    /// Releases reservations that the state machine rejected.
    pub(super) fn release_rejected(
        &mut self,
        reservations: &[Reservation],
        rejected: Vec<(RunId, ReservationRejection)>,
        now: Now,
    ) {
        for (run, reason) in rejected {
            tracing::debug!(%run, %reason, "reservation rejected by the state machine");
            let reservation = reservations.iter().find(|chosen| chosen.run == run);
            if let Some(reservation) = reservation {
                self.release_later(run, reservation.task, now.monotonic);
            }
        }
    }

    /// Leaves a rejected run bound in the scheduler for a moment. Whoever
    /// rejected it knows something that the scheduler does not yet; placed
    /// again at once, the task would go the same way, over and over.
    pub(super) fn release_later(&mut self, run: RunId, task: TaskRef, now: Monotonic) {
        let release_at = now + REJECTED_RUN_DELAY;
        self.placement.rejected.push_back(RejectedRun {
            run,
            task,
            release_at,
        });
    }

    /// Releases the rejected runs whose delay is over.
    pub(super) fn release_delayed_runs(&mut self, state_machine: &StateMachine, now: Now) {
        while let Some(rejected) = self.placement.pop_rejected(now.monotonic) {
            self.release(state_machine, rejected.run, rejected.task, now);
        }
    }

    /// Removes a run from the scheduler; its task is placed again if it may start.
    pub(super) fn release(
        &mut self,
        state_machine: &StateMachine,
        run: RunId,
        task: TaskRef,
        now: Now,
    ) {
        match ready_task(state_machine, task) {
            Some(meta) => self.scheduler.reschedule(run, meta, now),
            None => self.scheduler.remove_run(run),
        }
    }
}

/// The reservation of a decision, unless it is a shadow that is only logged.
fn reservation_to_propose(decision: &Decision) -> Option<Reservation> {
    match &decision.kind {
        DecisionKind::Placed {
            reservation,
            shadow: false,
            ..
        } => Some(reservation.clone()),
        DecisionKind::Placed { .. } | DecisionKind::NotPlaced { .. } => None,
    }
}

fn task_of(decision: &Decision) -> TaskRef {
    match &decision.kind {
        DecisionKind::Placed { reservation, .. } => reservation.task,
        DecisionKind::NotPlaced { task, .. } => *task,
    }
}

/// The task, if the state machine says that it may start.
fn ready_task(state_machine: &StateMachine, task: TaskRef) -> Option<TaskMeta> {
    let before = task.job.0.checked_sub(1).map(JobNumber);
    state_machine
        .ready_tasks(before, 1)
        .into_iter()
        .find(|meta| meta.task == task)
}
