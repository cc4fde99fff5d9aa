//! Applies a cluster configuration to the view.

use crate::index::QueueIndex;
use crate::task::TaskStatus;
use crate::view::View;
use configuration::{ClusterConfiguration, QueueMode};
use types::{Resources, TaskRef};

impl View {
    /// Applies queues, pools, licences and tenant contracts.
    pub(crate) fn configure(&mut self, document: &ClusterConfiguration) {
        for name in document.pools.keys() {
            self.pools.get_or_insert(name);
        }
        for name in document.queues.keys() {
            self.queues.get_or_insert(name);
        }
        for name in document.tenants.keys() {
            self.tenants.get_or_insert(name);
        }
        self.licences.configure(&document.licences);
        self.configure_queues(document);
        self.configure_tenants(document);
    }

    fn configure_queues(&mut self, document: &ClusterConfiguration) {
        for pool in 0..self.pools.len() {
            self.pools[pool].queues.clear();
        }
        for index in 0..self.queues.len() {
            let settings = self.queues.name(index);
            let settings = settings.and_then(|name| document.queues.get(name));
            let pool = settings.map(|settings| self.pools.get_or_insert(&settings.pool));
            let priority = settings.filter(|_| self.options.policy.priorities);
            let queue = &mut self.queues[index];
            let old_mode = queue.mode;
            queue.pool = pool;
            queue.mode = settings.map(|settings| settings.mode).unwrap_or_default();
            queue.priority = priority.map_or(0, |settings| settings.priority);
            let left_shadow = old_mode == QueueMode::Shadow && queue.mode != QueueMode::Shadow;
            if let Some(pool) = pool {
                self.pools[pool].queues.push(index);
            }
            if left_shadow {
                self.requeue_shadowed(index);
            }
        }
    }

    /// Makes the tasks pending again that the queue has only decided on in
    /// shadow mode.
    fn requeue_shadowed(&mut self, queue: QueueIndex) {
        for position in 0..self.queues[queue].lists.len() {
            let list = self.queues[queue].lists[position];
            let shadowed: Vec<TaskRef> = self.lists[list].shadowed().iter().copied().collect();
            for task in shadowed {
                self.set_status(task, TaskStatus::Pending);
            }
        }
    }

    fn configure_tenants(&mut self, document: &ClusterConfiguration) {
        for tenant in 0..self.tenants.len() {
            let contract = self.tenants.name(tenant);
            let contract = contract.and_then(|name| document.tenants.get(name));
            let share_percent = contract.map_or(0, |contract| contract.share_percent);
            let limit = contract.map_or(Resources::ZERO, |contract| contract.resource_limit);
            self.tenants[tenant].set_contract(share_percent, limit);
            self.refresh_tenant(tenant);
        }
    }
}
