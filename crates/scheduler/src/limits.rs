//! Limits on what may start: tenants' resource limits with the headroom of more
//! urgent work, and runs of one step on a runner.
//!
//! A resource limit counts a tenant's runs in all pools. If work of a less
//! urgent queue used all of it, a short task of a more urgent queue would wait
//! although its own pool is empty. Therefore less urgent work leaves headroom
//! below the limit: the unmet recent demand of its tenant's more urgent queues.

use crate::index::{ListIndex, RunnerIndex};
use crate::shape::Shape;
use crate::view::View;
use types::{Monotonic, Now, Resources};

/// Wait after which less urgent work may use the headroom for one start, as a
/// multiple of `reserve_after`.
const MAX_HEADROOM_WAIT_FACTOR: u64 = 10;

impl View {
    /// Returns whether the tenant's resource limit and the headroom below it
    /// allow these additional resources to work of the list.
    pub(crate) fn list_allows(&self, index: ListIndex, needs: &Resources, now: Now) -> bool {
        let headroom = self.urgent_headroom(index, now.monotonic);
        self.tenants[self.lists[index].tenant].allows_with_headroom(needs, &headroom)
    }

    /// Returns the part of the tenant's resource limit that work of a list
    /// leaves to the tenant's more urgent queues.
    pub(crate) fn urgent_headroom(&self, index: ListIndex, now: Monotonic) -> Resources {
        if !self.options.policy.urgent_headroom || self.waits_too_long(index, now) {
            return Resources::ZERO;
        }
        let list = &self.lists[index];
        let tenant = &self.tenants[list.tenant];
        let priority = self.queues[list.queue].priority;
        let others = tenant.lists.iter().map(|other| &self.lists[*other]);
        let unmet = others
            .filter(|other| {
                let queue = &self.queues[other.queue];
                queue.starts_tasks() && queue.priority < priority
            })
            .map(|other| other.demand.unmet(now))
            .fold(Resources::ZERO, |sum, needs| sum.plus(&needs));
        let max_headroom = percent_of(
            tenant.resource_limit(),
            self.options.urgent_headroom_percent,
        );
        unmet.component_min(&max_headroom)
    }

    /// Returns whether the list has waited for the headroom long enough to use it.
    fn waits_too_long(&self, index: ListIndex, now: Monotonic) -> bool {
        let list = &self.lists[index];
        let reserve_after = self.options.reserve_after.0;
        let max_wait = reserve_after.saturating_mul(MAX_HEADROOM_WAIT_FACTOR);
        now.since(list.last_placed_at).0 >= max_wait
            && now.since(list.waiting_since()).0 >= max_wait
    }

    /// Returns whether the runner has fewer open runs of the task's step than
    /// the step allows.
    pub(crate) fn is_below_step_limit(&self, needs: &Shape, runner: RunnerIndex) -> bool {
        needs.spread.is_none_or(|spread| {
            let open_runs = self.runs.count_of_step_on_runner(spread.step, runner);
            open_runs < spread.max_per_runner as usize
        })
    }
}

/// Returns a percentage of each kind of resource, rounded down.
fn percent_of(amounts: &Resources, percent: u32) -> Resources {
    let part = |amount: u32| {
        let scaled = u64::from(amount) * u64::from(percent.min(100)) / 100;
        u32::try_from(scaled).unwrap_or(amount)
    };
    Resources {
        slots: part(amounts.slots),
        cpu_milli: part(amounts.cpu_milli),
        memory_mib: part(amounts.memory_mib),
        gpus: part(amounts.gpus),
    }
}
