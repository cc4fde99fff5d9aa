//! Configuration and jobs of the tests.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
    Timings,
};
use std::collections::BTreeMap;
use types::{
    JobId, JobKey, JobSpec, Milliseconds, PoolName, QueueName, Resources, StepName, StepSpec,
    TenantId, Urgency,
};

pub fn tenant() -> TenantId {
    TenantId::new("tenant").unwrap()
}

pub fn key(job: &str) -> JobKey {
    JobKey {
        tenant: tenant(),
        job: JobId::new(job).unwrap(),
    }
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

/// One pool, one queue, one tenant.
pub fn document() -> ClusterConfiguration {
    let pool = PoolName::new("pool").unwrap();
    let queue = QueueSettings {
        priority: 0,
        pool: pool.clone(),
        mode: QueueMode::Active,
        max_unfinished_jobs: 1_000,
    };
    let contract = TenantSettings {
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
    let settings = PoolSettings {
        largest_runner: slots(8),
    };
    ClusterConfiguration {
        replaces: None,
        left_out: configuration::LeftOutQueues::Refuse,
        source: None,
        licences: Default::default(),
        pools: BTreeMap::from([(pool, settings)]),
        queues: BTreeMap::from([(QueueName::new("queue").unwrap(), queue)]),
        tenants: BTreeMap::from([(tenant(), contract)]),
        keys: Vec::new(),
        timings: Timings::default(),
    }
}

/// A job of one task.
pub fn job(job: &str) -> JobSpec {
    JobSpec {
        payload: String::new(),
        tenant: tenant(),
        job: JobId::new(job).unwrap(),
        queue: QueueName::new("queue").unwrap(),
        urgency: Urgency::Normal,
        start_at: None,
        steps: vec![StepSpec {
            rules: Default::default(),
            name: StepName::new("step").unwrap(),
            after: Vec::new(),
            tasks: 1,
            resources: slots(1),
            labels: BTreeMap::new(),
            max_copies: 1,
            allowed_failures: 1,
            time_limit: Milliseconds(60_000),
            payload: String::new(),
        }],
    }
}
