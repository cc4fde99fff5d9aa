//! State of the view: its tables, and the helpers that several steps share.
//!
//! Each table enforces its own rules. The steps that change several tables are
//! in modules that import this one; this module imports none of them.

use crate::backfill::BackfillTable;
use crate::gang::GangTable;
use crate::index::{ListIndex, PoolIndex, QueueIndex, RunnerIndex, TenantIndex};
use crate::licence::LicenceTable;
use crate::options::SchedulerOptions;
use crate::pool::Pool;
use crate::pull::RunKind;
use crate::queue::Queue;
use crate::run::RunTable;
use crate::runner::Runner;
use crate::shape::ShapeTable;
use crate::table::Table;
use crate::task::TaskTable;
use crate::tenant::Tenant;
use crate::tenant_list::TenantList;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, Now, PoolName, QueueName, RunnerId, TaskRef, TenantId, Term};

/// The leader's view of waiting and running work.
#[derive(Debug, Clone)]
pub(crate) struct View {
    pub(crate) options: SchedulerOptions,
    pub(crate) random: ChaCha8Rng,
    pub(crate) pools: Table<PoolName, Pool>,
    pub(crate) queues: Table<QueueName, Queue>,
    pub(crate) tenants: Table<TenantId, Tenant>,
    pub(crate) runners: Table<RunnerId, Runner>,
    pub(crate) lists: Vec<TenantList>,
    pub(crate) shapes: ShapeTable,
    pub(crate) tasks: TaskTable,
    pub(crate) runs: RunTable,
    pub(crate) gangs: GangTable,
    pub(crate) licences: LicenceTable,
    pub(crate) backfills: BackfillTable,
    /// Runners on which each unfinished task has failed.
    pub(crate) failed_on: BTreeMap<TaskRef, BTreeSet<RunnerIndex>>,
    /// List that was reviewed last; the next review starts after it.
    pub(crate) review_cursor: ListIndex,
    /// Earliest time at which a pull searches for a runner to reserve again.
    pub(crate) next_backfill_search: Monotonic,
    /// Whether lists and runners are skipped when bounds show that nothing
    /// fits. The decisions are the same either way.
    pub(crate) skips_by_bounds: bool,
    /// Whether a scan of a list finds tasks by their indexes. The decisions are
    /// the same either way.
    pub(crate) uses_indexes: bool,
    /// Latest time that was passed to a step.
    latest: Monotonic,
    list_by_pair: BTreeMap<(QueueIndex, TenantIndex), ListIndex>,
    /// Number of tasks and runners examined; a cell because read-only steps count
    /// as well.
    scan_cost: Cell<u64>,
}

impl View {
    /// Creates an empty view; new run identifiers carry `term`.
    pub(crate) fn new(options: SchedulerOptions, term: Term, seed: u64) -> Self {
        Self {
            options,
            random: ChaCha8Rng::seed_from_u64(seed),
            pools: Table::default(),
            queues: Table::default(),
            tenants: Table::default(),
            runners: Table::default(),
            lists: Vec::new(),
            shapes: ShapeTable::default(),
            tasks: TaskTable::default(),
            runs: RunTable::new(term),
            gangs: GangTable::default(),
            licences: LicenceTable::default(),
            backfills: BackfillTable::default(),
            failed_on: BTreeMap::new(),
            review_cursor: 0,
            next_backfill_search: Monotonic::default(),
            skips_by_bounds: true,
            uses_indexes: true,
            latest: Monotonic::default(),
            list_by_pair: BTreeMap::new(),
            scan_cost: Cell::new(0),
        }
    }

    /// Records the time of a step unless a later one was recorded.
    pub(crate) fn record_time(&mut self, now: Now) {
        self.latest = self.latest.max(now.monotonic);
    }

    /// Returns the latest time that was passed to a step, for steps that have
    /// no time of their own.
    pub(crate) fn latest(&self) -> Monotonic {
        self.latest
    }

    /// Returns the number of tasks and runners examined so far.
    pub(crate) fn scan_cost(&self) -> u64 {
        self.scan_cost.get()
    }

    /// Counts one examined task or runner.
    pub(crate) fn count_scan(&self) {
        self.count_scans(1);
    }

    /// Counts several examined tasks or runners.
    pub(crate) fn count_scans(&self, scanned: usize) {
        let scanned = u64::try_from(scanned).unwrap_or(u64::MAX);
        self.scan_cost
            .set(self.scan_cost.get().saturating_add(scanned));
    }

    /// Returns the index of a tenant's list in a queue, creating it if new.
    pub(crate) fn list_index(&mut self, queue: &QueueName, tenant: &TenantId) -> ListIndex {
        let queue = self.queues.get_or_insert(queue);
        let tenant = self.tenants.get_or_insert(tenant);
        self.list_index_of_pair(queue, tenant)
    }

    /// Returns the index of a list by the indexes of its queue and tenant,
    /// creating the list if new.
    pub(crate) fn list_index_of_pair(
        &mut self,
        queue: QueueIndex,
        tenant: TenantIndex,
    ) -> ListIndex {
        if let Some(&index) = self.list_by_pair.get(&(queue, tenant)) {
            return index;
        }
        let index = self.lists.len();
        self.lists.push(TenantList::new(queue, tenant, self.latest));
        self.list_by_pair.insert((queue, tenant), index);
        self.queues[queue].lists.push(index);
        self.tenants[tenant].lists.push(index);
        index
    }

    /// Returns a tenant's list in a queue; `None` when the tenant has not used
    /// the queue.
    pub(crate) fn find_list(&self, queue: &QueueName, tenant: &TenantId) -> Option<&TenantList> {
        let pair = (self.queues.find(queue)?, self.tenants.find(tenant)?);
        let index = self.list_by_pair.get(&pair)?;
        self.lists.get(*index)
    }

    /// Recomputes whether a list is in the runnable sets of its queue.
    pub(crate) fn refresh_list(&mut self, index: ListIndex) {
        let list = &self.lists[index];
        let is_below_limit = !self.tenants[list.tenant].is_at_limit();
        let is_runnable = is_below_limit && !list.above_limit && !list.pending().is_empty();
        let is_copyable = is_below_limit && !list.copyable().is_empty();
        let queue = &mut self.queues[list.queue];
        queue.runnable_mut(RunKind::Only).set(index, is_runnable);
        queue.runnable_mut(RunKind::Copy).set(index, is_copyable);
    }

    /// Recomputes whether the lists of a tenant are runnable, after its usage
    /// or resource limit changed.
    pub(crate) fn refresh_tenant(&mut self, tenant: TenantIndex) {
        for position in 0..self.tenants[tenant].lists.len() {
            let index = self.tenants[tenant].lists[position];
            self.lists[index].above_limit = false;
            self.refresh_list(index);
        }
    }

    /// Returns whether a list's tenant uses more than its share of a pool.
    pub(crate) fn is_above_share(&self, list: &TenantList, pool: PoolIndex) -> bool {
        self.tenants[list.tenant].is_above_share(pool, &self.pools[pool].capacity)
    }
}
