//! Whether a task should go to the very runner that pulls: spreading, racks,
//! runners it failed on, and what is left to more urgent work.

use crate::Scheduler;
use crate::bounds::Bounds;
use crate::draw::Offer;
use crate::runner::RunnerIndex;
use crate::shape::{Shape, StepRef};
use types::{Milliseconds, Now, RackName, Resources, TaskRef};

/// A task waits this many times the patience for another runner than those it
/// failed on: a failure costs it more than a wait.
const ELSEWHERE_FACTOR: u64 = 3;

/// What of a runner stays free for work of more urgent queues.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Reserve(Resources);

impl Reserve {
    /// False only when no task within the bounds is admitted.
    pub(crate) fn may_admit(&self, bounds: &Bounds, offer: &Offer) -> bool {
        let beside = offer.capacity.minus(&self.0);
        let all_leave_it = bounds.max.fits_in(&beside);
        let free = match all_leave_it {
            true => offer.free.minus(&self.0),
            false => offer.free,
        };
        bounds.min.fits_in(&free)
    }

    /// Returns whether the task fits beside the reserve. One that never could, since
    /// it needs nearly the whole runner, need not leave it.
    pub(crate) fn admits(&self, needs: &Shape, offer: &Offer) -> bool {
        let beside = offer.capacity.minus(&self.0);
        let free = match needs.resources.fits_in(&beside) {
            true => offer.free.minus(&self.0),
            false => offer.free,
        };
        needs.resources.fits_in(&free)
    }
}

impl Scheduler {
    /// What of the runner is left free by work of a queue, for more urgent ones.
    pub(crate) fn reserve_beside(&self, queue: usize, offer: &Offer) -> Reserve {
        let priority = self.queues[queue].priority;
        let mut queues = self.pools[offer.pool].queues.iter();
        let has_more_urgent = queues.any(|other| self.queues[*other].priority < priority);
        let percent = match has_more_urgent {
            true => self.options.urgent_reserve_percent,
            false => 0,
        };
        Reserve(offer.capacity.part(percent))
    }

    /// Returns whether the task should go to this very runner: its step is not held
    /// there as often as it may be, and it has no better place to wait for.
    pub(crate) fn suits(&self, task: TaskRef, needs: &Shape, offer: &Offer, now: Now) -> bool {
        if !self.is_below_step_limit(needs, offer.runner) {
            return false;
        }
        let waited = self.tasks.get(&task);
        let waited = waited.map(|entry| now.monotonic.since(entry.waiting_since));
        let locality_wait = self.options.locality_wait;
        let elsewhere = Milliseconds(locality_wait.0.saturating_mul(ELSEWHERE_FACTOR));
        if self.options.policy.avoid_failed
            && waited.is_some_and(|waited| waited < elsewhere)
            && needs.failed_on.contains(&offer.runner)
        {
            return false;
        }
        let waits_for_rack = self.options.policy.rack_locality;
        if !waits_for_rack || waited.is_none_or(|waited| waited >= locality_wait) {
            return true;
        }
        match &needs.preferred_rack {
            Some(rack) if *rack != offer.rack => !self.rack_may_serve(rack, needs, offer.pool, now),
            _ => true,
        }
    }

    /// Returns whether the runner holds fewer runs of the task's step than it may.
    pub(crate) fn is_below_step_limit(&self, needs: &Shape, runner: RunnerIndex) -> bool {
        needs.spread.is_none_or(|spread| {
            self.runs_of_step_on(spread.step, runner) < spread.max_per_runner as usize
        })
    }

    /// Returns whether a runner of the rack could hold the task, now or as soon as
    /// something on it ends.
    fn rack_may_serve(&self, rack: &RackName, needs: &Shape, pool: usize, now: Now) -> bool {
        self.pools[pool].in_rack(rack).any(|runner| {
            self.record_scan();
            let reported = self.runners[runner].reported.as_ref();
            reported.is_some_and(|last| {
                needs.resources.fits_in(&last.capacity)
                    && needs.matches(&last.labels)
                    && self.pull_rejection(runner, now).is_none()
            })
        })
    }

    /// Open runs of one step on a runner.
    pub(crate) fn runs_of_step_on(&self, step: StepRef, runner: RunnerIndex) -> usize {
        let tasks = self.runs_of.range(step.task(0)..=step.task(u32::MAX));
        let runs = tasks.flat_map(|(_, runs)| runs);
        runs.filter_map(|run| self.runs.get(run))
            .filter(|run| run.runner == runner)
            .count()
    }
}
