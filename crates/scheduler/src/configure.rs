//! Queues, pools and tenant contracts from a configuration.

use crate::Scheduler;
use crate::task::TaskStatus;
use configuration::{ClusterConfiguration, QueueMode};
use types::{PoolName, QueueName, Resources, RunnerId, TaskRef, TenantId};

impl Scheduler {
    pub(crate) fn take_configuration(&mut self, document: &ClusterConfiguration) {
        for name in document.pools.keys() {
            self.pool_index(name);
        }
        for name in document.queues.keys() {
            self.queue_index(name);
        }
        for name in document.tenants.keys() {
            self.tenant_index(name);
        }
        self.seats.configure(&document.licences);
        self.take_queues(document);
        self.take_tenants(document);
    }

    fn take_queues(&mut self, document: &ClusterConfiguration) {
        for pool in 0..self.pools.len() {
            self.pools[pool].queues.clear();
        }
        for queue in 0..self.queues.len() {
            let settings = self.queues.name(queue);
            let settings = settings.and_then(|name| document.queues.get(name));
            let pool = settings.map(|settings| self.pool_index(&settings.pool));
            let old_mode = self.queues[queue].mode;
            self.queues[queue].pool = pool;
            self.queues[queue].mode = settings.map(|settings| settings.mode).unwrap_or_default();
            let priority = settings.filter(|_| self.options.policy.priorities);
            self.queues[queue].priority = priority.map_or(0, |settings| settings.priority);
            if let Some(pool) = pool {
                self.pools[pool].queues.push(queue);
            }
            if old_mode == QueueMode::Shadow && self.queues[queue].mode != QueueMode::Shadow {
                self.return_shadowed(queue);
            }
        }
    }

    // What the shadow queue only decided on waits again.
    fn return_shadowed(&mut self, queue: usize) {
        for position in 0..self.queues[queue].lists.len() {
            let list = self.queues[queue].lists[position];
            let shadowed: Vec<TaskRef> = self.lists[list].shadowed.iter().copied().collect();
            for task in shadowed {
                self.stand(task, TaskStatus::Pending);
            }
        }
    }

    fn take_tenants(&mut self, document: &ClusterConfiguration) {
        for tenant in 0..self.tenants.len() {
            let settings = self.tenants.name(tenant);
            let settings = settings.and_then(|name| document.tenants.get(name));
            let entry = &mut self.tenants[tenant];
            entry.share_percent = settings.map_or(0, |settings| settings.share_percent);
            entry.resource_limit =
                settings.map_or(Resources::ZERO, |settings| settings.resource_limit);
            self.refresh_tenant(tenant);
        }
    }

    pub(crate) fn pool_index(&mut self, name: &PoolName) -> usize {
        self.pools.number(name)
    }

    pub(crate) fn queue_index(&mut self, name: &QueueName) -> usize {
        self.queues.number(name)
    }

    pub(crate) fn tenant_index(&mut self, name: &TenantId) -> usize {
        self.tenants.number(name)
    }

    pub(crate) fn runner_index(&mut self, name: &RunnerId) -> usize {
        self.runners.number(name)
    }
}
