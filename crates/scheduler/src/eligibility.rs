//! Checks whether a task should run on the runner that pulls: racks, runners on
//! which the task failed, and the part of a runner reserved for more urgent
//! work.

use crate::bounds::Bounds;
use crate::index::{PoolIndex, QueueIndex};
use crate::pull::Pull;
use crate::shape::Shape;
use crate::view::View;
use types::{Milliseconds, Now, RackName, Resources, TaskRef};

/// Time that a task waits for a runner on which it has not failed, as a
/// multiple of `locality_wait`. Another failure costs the task more than this
/// wait.
const AVOID_FAILED_FACTOR: u64 = 3;

/// Part of a runner's resources that less urgent work leaves to more urgent
/// queues.
#[derive(Debug, Clone, Copy)]
pub(crate) struct UrgentReserve(Resources);

impl UrgentReserve {
    /// Returns `false` only when no task within the bounds is admitted.
    pub(crate) fn may_admit(&self, bounds: &Bounds, pull: &Pull) -> bool {
        bounds.min.fits_in(&self.free_for(&bounds.max, pull))
    }

    /// Returns whether the task fits on the runner without using the reserve.
    ///
    /// A task that would use the reserve even on an empty runner may use it.
    pub(crate) fn admits(&self, needs: &Shape, pull: &Pull) -> bool {
        let needs = &needs.resources;
        needs.fits_in(&self.free_for(needs, pull))
    }

    /// Returns the free resources that a task with these needs may use.
    fn free_for(&self, needs: &Resources, pull: &Pull) -> Resources {
        if needs.fits_in(&pull.capacity.minus(&self.0)) {
            pull.free.minus(&self.0)
        } else {
            pull.free
        }
    }
}

impl View {
    /// Returns the part of the runner that work of a queue leaves free.
    pub(crate) fn urgent_reserve(&self, queue: QueueIndex, pull: &Pull) -> UrgentReserve {
        let priority = self.queues[queue].priority;
        let mut queues = self.pools[pull.pool].queues.iter();
        let has_more_urgent = queues.any(|other| self.queues[*other].priority < priority);
        let percent = if has_more_urgent {
            self.options.urgent_reserve_percent
        } else {
            0
        };
        UrgentReserve(pull.capacity.part(percent))
    }

    /// Returns whether the task should run on this runner: the step allows
    /// another run there, and the task is not waiting for a better runner.
    ///
    /// The wait for a rack follows delay scheduling (Zaharia et al., "Delay
    /// Scheduling", EuroSys 2010).
    pub(crate) fn is_eligible(&self, task: TaskRef, needs: &Shape, pull: &Pull, now: Now) -> bool {
        if !self.is_below_step_limit(needs, pull.runner) {
            return false;
        }
        let Some(entry) = self.tasks.get(task) else {
            return true;
        };
        let waited = now.monotonic.since(entry.waiting_since);
        !self.waits_for_other_runner(needs, pull, waited)
            && !self.waits_for_rack(needs, pull, waited, now)
    }

    fn waits_for_other_runner(&self, needs: &Shape, pull: &Pull, waited: Milliseconds) -> bool {
        let locality_wait = self.options.locality_wait.0;
        self.options.policy.avoid_failed
            && waited.0 < locality_wait.saturating_mul(AVOID_FAILED_FACTOR)
            && needs.failed_on.contains(&pull.runner)
    }

    fn waits_for_rack(&self, needs: &Shape, pull: &Pull, waited: Milliseconds, now: Now) -> bool {
        if !self.options.policy.rack_locality || waited >= self.options.locality_wait {
            return false;
        }
        let preferred = needs.preferred_rack.as_ref();
        preferred.is_some_and(|rack| {
            *rack != pull.rack && self.rack_may_run(rack, needs, pull.pool, now)
        })
    }

    /// Returns whether a runner of the rack could run the task now, or once
    /// other runs on it have ended.
    fn rack_may_run(&self, rack: &RackName, needs: &Shape, pool: PoolIndex, now: Now) -> bool {
        self.pools[pool].runners_in_rack(rack).any(|runner| {
            self.count_scan();
            self.runners[runner].could_run(needs) && self.pull_rejection(runner, now).is_none()
        })
    }
}
