//! Placement of tasks: the scheduler assigns free resources to tasks, and the
//! resulting reservations are proposed as one command.

use crate::leader::Leader;
use crate::leader::proposals::ProposalOrigin;
use scheduler::{Decision, DecisionKind};
use state_machine::{Command, ReservationRejection, StateMachine};
use std::collections::VecDeque;
use transport::DecisionEvent;
use types::{JobNumber, Milliseconds, Monotonic, Now, Reservation, RunId, TaskMeta, TaskRef};

/// Maximum number of reservations that are proposed but not applied yet.
const MAX_RESERVATIONS_IN_FLIGHT: usize = 512;
/// Time between two placements. Changes in between are handled by one placement,
/// whose reservations share one entry of the log.
const PLACEMENT_INTERVAL: Milliseconds = Milliseconds(5);
/// Delay before a rejected run is removed from the scheduler.
const REJECTED_RUN_DELAY: Milliseconds = Milliseconds(200);

/// A run that the state machine or its runner rejected.
#[derive(Debug, Clone, Copy)]
struct RejectedRun {
    run: RunId,
    task: TaskRef,
    release_at: Monotonic,
}

/// State of placement: when it is due, the reservations in flight, and the
/// rejected runs.
#[derive(Debug)]
pub(super) struct PlacementState {
    requested: bool,
    not_before: Monotonic,
    in_flight: usize,
    /// Rejected runs that stay in the scheduler until their `release_at`, oldest
    /// first.
    rejected: VecDeque<RejectedRun>,
}

impl PlacementState {
    /// Creates a state whose first placement is due at `now`.
    pub(super) fn new(now: Monotonic) -> Self {
        Self {
            requested: true,
            not_before: now,
            in_flight: 0,
            rejected: VecDeque::new(),
        }
    }

    /// Requests a placement, after any change that may affect it.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns whether a placement was requested since the last one.
    pub(super) fn is_requested(&self) -> bool {
        self.requested
    }

    /// Returns the earliest time of the next placement.
    pub(super) fn not_before(&self) -> Monotonic {
        self.not_before
    }

    /// Returns whether reservations are proposed but not applied yet.
    pub(super) fn has_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Counts reservations whose command was proposed.
    pub(super) fn add_in_flight(&mut self, reservations: usize) {
        self.in_flight += reservations;
    }

    /// Counts reservations whose command was applied, and requests a placement,
    /// since more reservations may be in flight now.
    pub(super) fn finish_in_flight(&mut self, reservations: usize) {
        self.in_flight = self.in_flight.saturating_sub(reservations);
        self.requested = true;
    }

    /// Returns how many reservations may be made now: 0 if no placement is due.
    fn capacity(&self, start_reached: bool, now: Monotonic) -> usize {
        let is_needed = self.requested || start_reached;
        if !is_needed || now < self.not_before {
            return 0;
        }
        MAX_RESERVATIONS_IN_FLIGHT.saturating_sub(self.in_flight)
    }

    fn begin(&mut self, now: Monotonic) {
        self.requested = false;
        self.not_before = now + PLACEMENT_INTERVAL;
    }

    /// Removes the oldest rejected run, or returns `None` if its delay has not
    /// passed.
    fn pop_rejected(&mut self, now: Monotonic) -> Option<RejectedRun> {
        let first = self.rejected.front()?;
        if first.release_at > now {
            return None;
        }
        self.rejected.pop_front()
    }
}

impl Leader {
    /// Runs the scheduler if a placement is due, and proposes its reservations
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

    /// Returns whether tasks may be placed: the scheduler is rebuilt, and every
    /// runner with open runs has sent a heartbeat, or `runner_wait` has passed
    /// since the election.
    pub(super) fn may_place(&self, now: Monotonic) -> bool {
        if !self.rebuild.is_done() {
            return false;
        }
        let wait_expired = self.lease.since_election(now) >= self.options.runner_wait;
        wait_expired
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
            let reservation = reservations.iter().find(|other| other.run == run);
            if let Some(reservation) = reservation {
                self.release_after_delay(run, reservation.task, now.monotonic);
            }
        }
    }

    /// Releases a rejected run after [`REJECTED_RUN_DELAY`]. The reason of the
    /// rejection is not visible to the scheduler yet: without the delay, the task
    /// would be placed and rejected in the same way repeatedly.
    pub(super) fn release_after_delay(&mut self, run: RunId, task: TaskRef, now: Monotonic) {
        let release_at = now + REJECTED_RUN_DELAY;
        self.placement.rejected.push_back(RejectedRun {
            run,
            task,
            release_at,
        });
    }

    /// Releases the rejected runs whose delay has passed.
    pub(super) fn release_delayed_runs(&mut self, state_machine: &StateMachine, now: Now) {
        while let Some(rejected) = self.placement.pop_rejected(now.monotonic) {
            self.release(state_machine, rejected.run, rejected.task, now);
        }
    }

    /// Removes a run from the scheduler. Its task is placed again if the state
    /// machine lists it as ready.
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

/// Returns the reservation of a decision, or `None` if the task was not placed
/// or only a shadow placement was logged.
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

/// Returns the task if the state machine lists it as ready.
fn ready_task(state_machine: &StateMachine, task: TaskRef) -> Option<TaskMeta> {
    let previous_job = task.job.0.checked_sub(1).map(JobNumber);
    state_machine
        .ready_tasks(previous_job, 1)
        .into_iter()
        .find(|meta| meta.task == task)
}
