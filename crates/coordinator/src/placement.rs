//! The dispatch loop: room becomes reservations, reservations become entries.

use crate::leader::{Leader, Rebuild, Waiting};
use dispatch::DecisionKind;
use peer::DecisionEvent;
use record::{Command, Record, ReserveRefusal};
use types::{JobNumber, Milliseconds, Monotonic, Now, Reservation, RunId, TaskMeta, TaskRef};

/// Reservations that may be on their way through the log.
const MAX_RESERVATIONS_IN_FLIGHT: usize = 512;

/// Time between two looks at all room. What comes in between shares one look,
/// and its choices one entry of the log.
const PLACE_INTERVAL: Milliseconds = Milliseconds(5);
/// How long a refused run stays bound in the view.
const REFUSED_WAIT: Milliseconds = Milliseconds(200);

/// A run that the record or its runner refused.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RefusedRun {
    run: RunId,
    task: TaskRef,
    due: Monotonic,
}

/// Asks the dispatcher for placements and proposes them as one command.
pub(crate) fn place(leader: &mut Leader, record: &Record, now: Now) {
    let room = MAX_RESERVATIONS_IN_FLIGHT.saturating_sub(leader.reservations_in_flight);
    let start = leader.dispatcher.next_start_time();
    let start_reached = start.is_some_and(|start| start <= now.wall);
    let wanted = leader.placement_due || start_reached;
    let due = wanted && now.monotonic >= leader.timers.placement;
    if !due || room == 0 || !leader.may_place(now.monotonic) {
        return;
    }
    leader.placement_due = false;
    leader.timers.placement = now.monotonic + PLACE_INTERVAL;
    let mut reservations: Vec<Reservation> = Vec::new();
    for decision in leader.dispatcher.place(now, room) {
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
        let key = record.job_key(task.job);
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
    pub(crate) fn release_refused(
        &mut self,
        reservations: &[Reservation],
        refused: Vec<(RunId, ReserveRefusal)>,
        now: Now,
    ) {
        for (run, reason) in refused {
            tracing::debug!(%run, %reason, "the record refused a reservation");
            let mut chosen = reservations.iter().filter(|chosen| chosen.run == run);
            if let Some(reservation) = chosen.next() {
                self.release_later(run, reservation.task, now.monotonic);
            }
        }
    }

    /// Leaves a refused run bound in the view for a moment. Whoever refused it
    /// knows something that the view does not yet; placed again at once, the
    /// task would go the same way, over and over.
    pub(crate) fn release_later(&mut self, run: RunId, task: TaskRef, now: Monotonic) {
        let due = now + REFUSED_WAIT;
        self.refused.push_back(RefusedRun { run, task, due });
    }

    /// Frees refused runs whose moment is over.
    pub(crate) fn release_due(&mut self, record: &Record, now: Now) {
        while let Some(first) = self.refused.front().copied() {
            if first.due > now.monotonic {
                return;
            }
            self.refused.pop_front();
            self.release(record, first.run, first.task, now);
        }
    }

    /// Takes a run out of the view; its task waits again if it may start.
    pub(crate) fn release(&mut self, record: &Record, run: RunId, task: TaskRef, now: Now) {
        match ready_task(record, task) {
            Some(meta) => self.dispatcher.reschedule(run, meta, now),
            None => self.dispatcher.remove_run(run),
        }
    }
}

/// The task, if the record says that it may start.
fn ready_task(record: &Record, task: TaskRef) -> Option<TaskMeta> {
    let before = task.job.0.checked_sub(1).map(JobNumber);
    record
        .ready_tasks(before, 1)
        .into_iter()
        .find(|meta| meta.task == task)
}
