//! Tenants: their contracts (share and resource limit) and the usage of their
//! open runs.

use crate::index::{ListIndex, PoolIndex};
use std::collections::BTreeMap;
use types::Resources;

/// Contract and usage of a tenant. A tenant without a contract has no share and
/// a resource limit of zero.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tenant {
    share_percent: u32,
    resource_limit: Resources,
    usage: Resources,
    usage_by_pool: BTreeMap<PoolIndex, Resources>,
    /// Lists of the tenant, one for each queue it has used.
    pub(crate) lists: Vec<ListIndex>,
}

impl Tenant {
    /// Sets the tenant's share, in percent of each pool, and its resource
    /// limit.
    pub(crate) fn set_contract(&mut self, share_percent: u32, resource_limit: Resources) {
        self.share_percent = share_percent;
        self.resource_limit = resource_limit;
    }

    /// Returns the limit on the usage of the open runs in all pools.
    pub(crate) fn resource_limit(&self) -> &Resources {
        &self.resource_limit
    }

    /// Returns the resources that the open runs in all pools use.
    pub(crate) fn usage(&self) -> Resources {
        self.usage
    }

    /// Adds an open run to the usage; `pool` is `None` for a queue without a
    /// pool.
    pub(crate) fn add_run(&mut self, resources: &Resources, pool: Option<PoolIndex>) {
        self.usage = self.usage.plus(resources);
        if let Some(pool) = pool {
            let usage = self.usage_by_pool.entry(pool).or_default();
            *usage = usage.plus(resources);
        }
    }

    /// Removes a closed run from the usage.
    pub(crate) fn remove_run(&mut self, resources: &Resources, pool: Option<PoolIndex>) {
        self.usage = self.usage.minus(resources);
        if let Some(pool) = pool
            && let Some(usage) = self.usage_by_pool.get_mut(&pool)
        {
            *usage = usage.minus(resources);
            if *usage == Resources::ZERO {
                self.usage_by_pool.remove(&pool);
            }
        }
    }

    /// Returns the largest run that stays within the resource limit; `None` when
    /// the usage exceeds the limit, so that not even a run without needs may
    /// start.
    pub(crate) fn allowance(&self) -> Option<Resources> {
        let (usage, limit) = (&self.usage, &self.resource_limit);
        usage.fits_in(limit).then(|| limit.minus(usage))
    }

    /// Returns the largest run that stays within the resource limit and leaves
    /// `headroom` of it free; `None` as in [`Tenant::allowance`].
    ///
    /// Headroom is required only of a kind of resource of which the tenant uses
    /// at least half of its limit.
    pub(crate) fn allowance_with_headroom(&self, headroom: &Resources) -> Option<Resources> {
        let allowance = self.allowance()?;
        let (usage, limit) = (&self.usage, &self.resource_limit);
        let required = Resources {
            slots: required_headroom(usage.slots, headroom.slots, limit.slots),
            cpu_milli: required_headroom(usage.cpu_milli, headroom.cpu_milli, limit.cpu_milli),
            memory_mib: required_headroom(usage.memory_mib, headroom.memory_mib, limit.memory_mib),
            gpus: required_headroom(usage.gpus, headroom.gpus, limit.gpus),
        };
        Some(allowance.minus(&required))
    }

    /// Returns whether a run with these resources stays within the resource limit.
    pub(crate) fn allows(&self, needs: &Resources) -> bool {
        self.allowance()
            .is_some_and(|allowance| needs.fits_in(&allowance))
    }

    /// Returns whether a run with these resources stays within the resource
    /// limit and leaves `headroom` of it free.
    pub(crate) fn allows_with_headroom(&self, needs: &Resources, headroom: &Resources) -> bool {
        self.allowance_with_headroom(headroom)
            .is_some_and(|allowance| needs.fits_in(&allowance))
    }

    /// Returns whether every kind of resource is used up to the resource limit.
    pub(crate) fn is_at_limit(&self) -> bool {
        self.resource_limit.fits_in(&self.usage)
    }

    /// Returns whether the open runs in a pool use more than the tenant's share
    /// of any kind of resource.
    pub(crate) fn is_above_share(&self, pool: PoolIndex, capacity: &Resources) -> bool {
        let Some(usage) = self.usage_by_pool.get(&pool) else {
            return false;
        };
        let share = u64::from(self.share_percent);
        let exceeds =
            |usage: u32, all: u32| u64::from(usage) * 100 > share.saturating_mul(u64::from(all));
        exceeds(usage.slots, capacity.slots)
            || exceeds(usage.cpu_milli, capacity.cpu_milli)
            || exceeds(usage.memory_mib, capacity.memory_mib)
            || exceeds(usage.gpus, capacity.gpus)
    }
}

/// Returns the headroom that is required of one kind of resource.
fn required_headroom(usage: u32, headroom: u32, limit: u32) -> u32 {
    let uses_half = u64::from(usage) * 2 >= u64::from(limit);
    if uses_half { headroom } else { 0 }
}
