//! Cluster configuration used by the tests.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
    Timings,
};
use std::collections::BTreeMap;
use types::{Milliseconds, PoolName, QueueName, Resources, TenantId};

pub fn tenant() -> TenantId {
    TenantId::new("tenant").unwrap()
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

/// Returns a configuration with one pool, one queue and one tenant.
pub fn document() -> ClusterConfiguration {
    let pool = PoolName::new("pool").unwrap();
    let queue_settings = QueueSettings {
        priority: 0,
        pool: pool.clone(),
        mode: QueueMode::Active,
        max_unfinished_jobs: 1_000,
    };
    let tenant_settings = TenantSettings {
        share_percent: 100,
        resource_limit: Resources::UNLIMITED,
        error_budget: ErrorBudget {
            late_after: Milliseconds(1_000),
            late_per_thousand: 10,
            failed_per_thousand: 10,
        },
        submits_per_second: 100,
        submit_burst: 200,
        max_unfinished_jobs: 1_000,
    };
    let pool_settings = PoolSettings {
        largest_runner: slots(8),
    };
    ClusterConfiguration {
        replaces: None,
        left_out: configuration::LeftOutQueues::Refuse,
        source: None,
        licences: Default::default(),
        pools: BTreeMap::from([(pool, pool_settings)]),
        queues: BTreeMap::from([(QueueName::new("queue").unwrap(), queue_settings)]),
        tenants: BTreeMap::from([(tenant(), tenant_settings)]),
        keys: Vec::new(),
        timings: Timings::default(),
    }
}
