//! The dispatch loop: room becomes reservations, reservations become entries.

use crate::leader::{Leader, Rebuild, Waiting};
use scheduler::DecisionKind;
use state_machine::{Command, ReservationRejection, StateMachine};
use transport::DecisionEvent;
use types::{JobNumber, Milliseconds, Monotonic, Now, Reservation, RunId, TaskMeta, TaskRef};

/// Reservations that may be on their way through the log.
const MAX_RESERVATIONS_IN_FLIGHT: usize = 512;

/// Time between two looks at all room. What comes in between shares one look,
/// and its choices one entry of the log.
const PLACEMENT_INTERVAL: Milliseconds = Milliseconds(5);
/// How long a rejected run stays bound in the view.
const REFUSED_WAIT: Milliseconds = Milliseconds(200);

/// A run that the record or its runner rejected.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RejectedRun {
    run: RunId,
    task: TaskRef,
    due: Monotonic,
}

/// Asks the scheduler for placements and proposes them as one command.
pub(crate) fn place(leader: &mut Leader, state_machine: &StateMachine, now: Now) {
    let available = MAX_RESERVATIONS_IN_FLIGHT.saturating_sub(leader.reservations_in_flight);
    let start = leader.scheduler.next_start_time();
    let start_reached = start.is_some_and(|start| start <= now.wall);
    let wanted = leader.placement_due || start_reached;
    let due = wanted && now.monotonic >= leader.timers.placement;
    if !due || available == 0 || !leader.may_place(now.monotonic) {
        return;
    }
    leader.placement_due = false;
    leader.timers.placement = now.monotonic + PLACEMENT_INTERVAL;
    let mut reservations: Vec<Reservation> = Vec::new();
    for decision in leader.scheduler.place(now, available) {
        let task = match &decision.kind {
            DecisionKind::Placed {
                reservation,
                shadow,
                ..
            } => {
                if !*shadow {
                    reservations.push(reservation.clone());
                }
                reservation.task
            }
            DecisionKind::NotPlaced { task, .. } => *task,
        };
        let key = state_machine.job_key(task.job);
        leader
            .decisions
            .push(key, DecisionEvent::Dispatch(decision));
    }
    if reservations.is_empty() {
        return;
    }
    let waiting = Waiting::Reservations(reservations.clone());
    let at = now.wall;
    leader.propose(Command::Reserve { reservations, at }, waiting);
}

impl Leader {
    /// A fresh leader places when its view is rebuilt and the runners that
    /// have open runs were heard, or were waited for long enough.
    pub(crate) fn may_place(&self, now: Monotonic) -> bool {
        if self.rebuild != Rebuild::Done {
            return false;
        }
        let waited = now.since(self.elected_at) >= self.options.runner_wait;
        waited
            || self
                .runs
                .runners()
                .all(|runner| self.runners.get(runner).is_some())
    }

    /// Takes reservations back that the record did not take.
    pub(crate) fn release_rejected(
        &mut self,
        reservations: &[Reservation],
        rejected: Vec<(RunId, ReservationRejection)>,
        now: Now,
    ) {
        for (run, reason) in rejected {
            tracing::debug!(%run, %reason, "reservation rejected by the state machine");
            let mut chosen = reservations.iter().filter(|chosen| chosen.run == run);
            if let Some(reservation) = chosen.next() {
                self.release_later(run, reservation.task, now.monotonic);
            }
        }
    }

    /// Leaves a rejected run bound in the view for a moment. Whoever rejected it
    /// knows something that the view does not yet; placed again at once, the
    /// task would go the same way, over and over.
    pub(crate) fn release_later(&mut self, run: RunId, task: TaskRef, now: Monotonic) {
        let due = now + REFUSED_WAIT;
        self.rejected.push_back(RejectedRun { run, task, due });
    }

    /// Frees rejected runs whose moment is over.
    pub(crate) fn release_due(&mut self, state_machine: &StateMachine, now: Now) {
        while let Some(first) = self.rejected.front().copied() {
            if first.due > now.monotonic {
                return;
            }
            self.rejected.pop_front();
            self.release(state_machine, first.run, first.task, now);
        }
    }

    /// Takes a run out of the view; its task waits again if it may start.
    pub(crate) fn release(
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

/// The task, if the record says that it may start.
fn ready_task(state_machine: &StateMachine, task: TaskRef) -> Option<TaskMeta> {
    let before = task.job.0.checked_sub(1).map(JobNumber);
    state_machine
        .ready_tasks(before, 1)
        .into_iter()
        .find(|meta| meta.task == task)
}
