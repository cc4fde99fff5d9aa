//! Queues, pools, tenants, and the waiting work of a tenant in a queue.

use crate::NotPlacedReason;
use crate::demand::Demand;
use crate::pending::PendingList;
use crate::runner::RunnerIndex;
use configuration::QueueMode;
use indexmap::IndexSet;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, RackName, Resources, TaskRef};

/// Index of a (queue, tenant) pair's waiting work.
pub(crate) type ListIndex = usize;

/// Waiting work of one tenant in one queue.
#[derive(Debug, Clone)]
pub(crate) struct TenantList {
    pub(crate) queue: usize,
    pub(crate) tenant: usize,
    /// Tasks without a run that may start now.
    pub(crate) pending: PendingList,
    /// Running tasks that may have a further copy.
    pub(crate) copies: PendingList,
    /// Tasks that a shadow queue has decided on.
    pub(crate) shadowed: BTreeSet<TaskRef>,
    /// Whether every task looked at would exceed the tenant's resource limit; until
    /// the list, the resource limit or the holdings change, it need not be drawn.
    pub(crate) above_limit: bool,
    /// Whether some of them would start but for what is kept for urgent work,
    /// which shrinks as time goes by.
    pub(crate) limited_by_headroom: bool,
    /// What its work asks for.
    pub(crate) demand: Demand,
    /// When a task of it was last given a runner.
    pub(crate) started_at: Monotonic,
    /// Since when some task of it waits.
    pub(crate) waiting_since: Monotonic,
    /// The reason last reported.
    pub(crate) last_reason: Option<NotPlacedReason>,
}

/// Lists that may be drawn, with a uniform draw in constant time.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunnableSet {
    members: IndexSet<ListIndex>,
}

impl RunnableSet {
    /// Number of members.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// The members, in no order that means anything.
    pub(crate) fn iter(&self) -> impl Iterator<Item = ListIndex> + '_ {
        self.members.iter().copied()
    }

    /// Makes the list a member or not.
    pub(crate) fn set(&mut self, list: ListIndex, member: bool) {
        if member {
            self.members.insert(list);
        } else {
            self.members.swap_remove(&list);
        }
    }

    /// The members that stand before the last `drawn`.
    pub(crate) fn left(&self, drawn: usize) -> impl Iterator<Item = ListIndex> + '_ {
        let left = self.members.len().saturating_sub(drawn);
        self.members.iter().take(left).copied()
    }

    /// Moves a member that is left among those drawn.
    pub(crate) fn take(&mut self, list: ListIndex, drawn: usize) {
        let last = self.members.len().saturating_sub(drawn + 1);
        if let Some(chosen) = self.members.get_index_of(&list) {
            self.members.swap_indices(chosen, last);
        }
    }

    /// Draws one of the members that stand before the last `drawn`, and moves
    /// it among those, so that repeated draws never meet one twice.
    pub(crate) fn draw(&mut self, drawn: usize, random: &mut impl Rng) -> Option<ListIndex> {
        let left = self.members.len().checked_sub(drawn)?;
        if left == 0 {
            return None;
        }
        let chosen = random.random_range(0..left);
        self.members.swap_indices(chosen, left - 1);
        self.members.get_index(left - 1).copied()
    }
}

/// A queue.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    /// Its pool; None when the configuration does not know the queue.
    pub(crate) pool: Option<usize>,
    pub(crate) mode: QueueMode,
    /// Work of a lower number goes first.
    pub(crate) priority: u8,
    /// Lists with startable tasks of tenants below their resource limit.
    pub(crate) runnable: RunnableSet,
    /// Lists with startable copies of tenants below their resource limit.
    pub(crate) copying: RunnableSet,
    pub(crate) lists: Vec<ListIndex>,
}

/// A pool of runners.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    pub(crate) queues: Vec<usize>,
    pub(crate) runners: BTreeSet<RunnerIndex>,
    /// The same by rack.
    racks: BTreeMap<RackName, BTreeSet<RunnerIndex>>,
    /// Sum over its runners.
    pub(crate) capacity: Resources,
    /// Runners kept free for a large task.
    pub(crate) backfills: BTreeSet<RunnerIndex>,
}

impl Pool {
    /// Takes a runner in, or notes that it stands in another rack now.
    pub(crate) fn enter(&mut self, runner: RunnerIndex, rack: &RackName) {
        self.leave_racks(runner);
        self.runners.insert(runner);
        let rack = self.racks.entry(rack.clone()).or_default();
        rack.insert(runner);
    }

    /// Lets a runner go.
    pub(crate) fn leave(&mut self, runner: RunnerIndex) {
        self.leave_racks(runner);
        self.runners.remove(&runner);
    }

    /// The runners of one rack.
    pub(crate) fn in_rack(&self, rack: &RackName) -> impl Iterator<Item = RunnerIndex> + '_ {
        self.racks.get(rack).into_iter().flatten().copied()
    }

    fn leave_racks(&mut self, runner: RunnerIndex) {
        self.racks.retain(|_, runners| {
            runners.remove(&runner);
            !runners.is_empty()
        });
    }
}

/// A tenant.
#[derive(Debug, Clone)]
pub(crate) struct Tenant {
    pub(crate) share_percent: u32,
    pub(crate) resource_limit: Resources,
    /// What its open runs hold in all pools.
    pub(crate) usage: Resources,
    /// The same by pool.
    pub(crate) usage_by_pool: BTreeMap<usize, Resources>,
    pub(crate) lists: Vec<ListIndex>,
}

impl Default for Tenant {
    // A tenant without a contract may hold nothing.
    fn default() -> Self {
        Self {
            share_percent: 0,
            resource_limit: Resources::ZERO,
            usage: Resources::ZERO,
            usage_by_pool: BTreeMap::new(),
            lists: Vec::new(),
        }
    }
}

impl Tenant {
    /// Returns whether a run with these resources stays within the resource limit.
    pub(crate) fn allows(&self, resources: &Resources) -> bool {
        self.usage.plus(resources).fits_in(&self.resource_limit)
    }

    /// Returns whether no kind of resource is left below the resource limit.
    pub(crate) fn is_at_limit(&self) -> bool {
        self.resource_limit.fits_in(&self.usage)
    }

    /// Returns whether its runs in the pool hold more than its share of any kind.
    pub(crate) fn is_above_share(&self, pool: usize, capacity: &Resources) -> bool {
        let Some(usage) = self.usage_by_pool.get(&pool) else {
            return false;
        };
        let share = u64::from(self.share_percent);
        let above =
            |usage: u32, all: u32| u64::from(usage) * 100 > share.saturating_mul(u64::from(all));
        above(usage.slots, capacity.slots)
            || above(usage.cpu_milli, capacity.cpu_milli)
            || above(usage.memory_mib, capacity.memory_mib)
            || above(usage.gpus, capacity.gpus)
    }
}
