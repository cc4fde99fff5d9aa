//! Pools: the queues, runners and racks of each.

use crate::index::{QueueIndex, RunnerIndex};
use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, RackName, Resources};

/// Pool of runners and the queues that they serve.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    /// Queues whose tasks run in the pool.
    pub(crate) queues: Vec<QueueIndex>,
    /// Total capacity of the pool's present runners; tenants' shares are
    /// percentages of it.
    pub(crate) capacity: Resources,
    /// Time since which less than half of the pool has been in use; `None` while more is.
    pub(crate) underused_since: Option<Monotonic>,
    /// Time of the last start that used the reserve of a runner that is left to more urgent
    /// queues; `None` before the first one.
    pub(crate) urgent_reserve_used_at: Option<Monotonic>,
    runners: BTreeSet<RunnerIndex>,
    racks: BTreeMap<RackName, BTreeSet<RunnerIndex>>,
}

impl Pool {
    /// Adds a runner, or moves it to another rack.
    pub(crate) fn add_runner(&mut self, runner: RunnerIndex, rack: &RackName) {
        self.remove_from_racks(runner);
        self.runners.insert(runner);
        let rack = self.racks.entry(rack.clone()).or_default();
        rack.insert(runner);
    }

    /// Removes a runner.
    pub(crate) fn remove_runner(&mut self, runner: RunnerIndex) {
        self.remove_from_racks(runner);
        self.runners.remove(&runner);
    }

    /// Returns the runners in order of index.
    pub(crate) fn runners(&self) -> impl Iterator<Item = RunnerIndex> + '_ {
        self.runners.iter().copied()
    }

    /// Returns the number of runners.
    pub(crate) fn runner_count(&self) -> usize {
        self.runners.len()
    }

    /// Returns the runners of one rack in order of index.
    pub(crate) fn runners_in_rack(
        &self,
        rack: &RackName,
    ) -> impl Iterator<Item = RunnerIndex> + '_ {
        self.racks.get(rack).into_iter().flatten().copied()
    }

    fn remove_from_racks(&mut self, runner: RunnerIndex) {
        self.racks.retain(|_, runners| {
            runners.remove(&runner);
            !runners.is_empty()
        });
    }
}
