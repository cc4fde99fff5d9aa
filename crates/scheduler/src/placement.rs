//! Placement on all runners with free resources.

use crate::bounds::Bounds;
use crate::decision::Decision;
use crate::index::{PoolIndex, RunnerIndex};
use crate::pull::{RunKind, StarvationSearch};
use crate::view::View;
use rand::Rng;
use std::collections::{BTreeMap, BinaryHeap};
use types::Now;

/// Entry of a runner in the pull order. The greatest entry pulls first:
/// reliable runners before suspect ones, then by most free slots, by most free
/// CPU, and by a random number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PullOrderEntry {
    reliability: Reliability,
    free_slots: u32,
    free_cpu_milli: u32,
    random: u32,
    runner: RunnerIndex,
}

/// Reliability of a runner, by the outcomes of its recent runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Reliability {
    /// Many recent runs failed; the runner pulls after the others.
    Suspect,
    /// Few or no recent runs failed.
    Normal,
}

impl View {
    /// Places at most `limit` tasks on all runners. Returns these decisions and
    /// the changed reasons of tasks that stay pending.
    pub(crate) fn place(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        self.admit_due(now);
        let mut runners = BinaryHeap::new();
        let mut bounds_by_pool = BTreeMap::new();
        for pool in 0..self.pools.len() {
            self.review_backfills(pool, now);
            self.remove_unresponsive(pool, now.monotonic);
            if let Some(bounds) = self.startable_bounds(pool) {
                runners.extend(self.pull_order_entries(pool, &bounds, now));
                bounds_by_pool.insert(pool, bounds);
            }
        }
        let mut decisions = Vec::new();
        self.place_gangs(now, limit, &mut decisions);
        while decisions.len() < limit {
            let Some(PullOrderEntry { runner, .. }) = runners.pop() else {
                break;
            };
            if let Some(decision) = self.reserve(runner, StarvationSearch::Disabled, now) {
                decisions.push(decision);
                let pool = self.runners[runner].pool();
                let bounds = pool.and_then(|pool| bounds_by_pool.get(&pool));
                runners
                    .extend(bounds.and_then(|bounds| self.pull_order_entry(runner, bounds, now)));
            }
        }
        self.review_lists(now, &mut decisions);
        decisions
    }

    /// Returns bounds on the resources of a pool's startable tasks; `None` when
    /// there are none.
    fn startable_bounds(&self, pool: PoolIndex) -> Option<Bounds> {
        let bounds_of = |kind: RunKind| {
            let queues = self.pools[pool].queues.iter();
            let lists = queues.flat_map(move |queue| self.queues[*queue].runnable(kind).iter());
            lists.filter_map(move |list| self.lists[list].startable(kind).bounds())
        };
        bounds_of(RunKind::Only)
            .chain(bounds_of(RunKind::Copy))
            .reduce(Bounds::with)
    }

    fn pull_order_entries(
        &mut self,
        pool: PoolIndex,
        bounds: &Bounds,
        now: Now,
    ) -> Vec<PullOrderEntry> {
        self.count_scans(self.pools[pool].runner_count());
        let usable: Vec<RunnerIndex> = self.pools[pool]
            .runners()
            .filter(|runner| self.pull_rejection(*runner, now).is_none())
            .collect();
        usable
            .into_iter()
            .filter_map(|runner| self.pull_order_entry(runner, bounds, now))
            .collect()
    }

    /// Returns the runner's entry in the pull order; `None` when no task within
    /// the bounds fits on it.
    fn pull_order_entry(
        &mut self,
        runner: RunnerIndex,
        bounds: &Bounds,
        now: Now,
    ) -> Option<PullOrderEntry> {
        let state = &self.runners[runner];
        let free = state.free();
        if !bounds.min.fits_in(&free) && self.skips_by_bounds {
            return None;
        }
        let suspect_runners_last = self.options.policy.suspect_runners_last;
        let reliability = if suspect_runners_last && state.health.is_suspect(now.monotonic) {
            Reliability::Suspect
        } else {
            Reliability::Normal
        };
        Some(PullOrderEntry {
            reliability,
            free_slots: free.slots,
            free_cpu_milli: free.cpu_milli,
            random: self.random.random(),
            runner,
        })
    }
}
