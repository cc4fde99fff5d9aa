//! Builders shared by the tests of this crate.

#![allow(dead_code)]

pub mod fleet;

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
};
use scheduler::{Decision, DecisionKind, Scheduler, SchedulerOptions};
use types::*;

pub fn queue(name: &str) -> QueueName {
    QueueName::new(name).unwrap()
}

pub fn tenant(name: &str) -> TenantId {
    TenantId::new(name).unwrap()
}

pub fn runner(name: &str) -> RunnerId {
    RunnerId::new(name).unwrap()
}

/// Returns the monotonic time in milliseconds and the matching wall time.
pub fn at(milliseconds: u64) -> Now {
    Now {
        monotonic: Monotonic(milliseconds),
        wall: WallTime(1_000_000 + milliseconds),
    }
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

pub fn task(job: u64) -> TaskRef {
    TaskRef {
        job: JobNumber(job),
        step: 0,
        task: 0,
    }
}

/// Returns a task of queue `main` that needs this number of slots.
pub fn meta(job: u64, owner: &str, needs: u32) -> TaskMeta {
    TaskMeta {
        rules: Default::default(),
        step_tasks: 1,
        task: task(job),
        tenant: tenant(owner),
        queue: queue("main"),
        urgency: Urgency::Normal,
        resources: slots(needs),
        labels: Labels::new(),
        max_copies: 1,
        not_before: None,
    }
}

pub fn contract(share_percent: u32, resource_limit: Resources) -> TenantSettings {
    TenantSettings {
        share_percent,
        resource_limit,
        error_budget: ErrorBudget {
            late_after: Milliseconds(1_000),
            late_per_thousand: 1,
            failed_per_thousand: 1,
        },
        submits_per_second: 1_000,
        submit_burst: 1_000,
        max_unfinished_jobs: 1_000_000,
    }
}

/// Returns a configuration of pool `pool`, queue `main` and these tenants: name
/// and resource limit in slots, with a share of 100 %.
pub fn document(tenants: &[(&str, u32)]) -> ClusterConfiguration {
    let mut document = ClusterConfiguration::default();
    let pool = PoolName::new("pool").unwrap();
    document.pools.insert(
        pool.clone(),
        PoolSettings {
            largest_runner: slots(64),
        },
    );
    add_queue(&mut document, "main", QueueMode::Active);
    for (name, resource_limit) in tenants {
        let settings = contract(100, slots(*resource_limit));
        document.tenants.insert(tenant(name), settings);
    }
    document
}

/// Adds a queue of pool `pool` with priority 0, or replaces it.
pub fn add_queue(document: &mut ClusterConfiguration, name: &str, mode: QueueMode) {
    let settings = QueueSettings {
        priority: 0,
        pool: PoolName::new("pool").unwrap(),
        mode,
        max_unfinished_jobs: 1_000_000,
    };
    document.queues.insert(queue(name), settings);
}

pub fn report(name: &str, sequence: u64, capacity: u32, free: u32) -> RunnerReport {
    RunnerReport {
        endpoint: None,
        unnamed: Vec::new(),
        runner: runner(name),
        incarnation: RunnerIncarnation(1),
        sequence: HeartbeatSequence(sequence),
        pool: PoolName::new("pool").unwrap(),
        rack: RackName::new("rack").unwrap(),
        labels: Labels::new(),
        capacity: slots(capacity),
        free: slots(free),
        draining: false,
        self_stop: true,
        active: Vec::new(),
        ended: Vec::new(),
    }
}

pub fn active_run(run: RunId) -> ActiveRun {
    ActiveRun {
        progress: None,
        checkpoint: None,
        run,
        age: Milliseconds(10),
    }
}

pub fn scheduler(document: &ClusterConfiguration) -> Scheduler {
    let mut scheduler = Scheduler::new(SchedulerOptions::default(), Term(3), 7);
    scheduler.configure(document);
    scheduler
}

/// Returns the reservation of a decision to start a run; `None` for any other
/// decision, also in shadow mode.
pub fn placed(decision: Option<Decision>) -> Option<Reservation> {
    match decision?.kind {
        DecisionKind::Placed {
            reservation,
            shadow: false,
            ..
        } => Some(reservation),
        _ => None,
    }
}

/// Returns the reservations of the decisions to start a run.
pub fn all_placed(decisions: Vec<Decision>) -> Vec<Reservation> {
    let decisions = decisions.into_iter();
    decisions.filter_map(|one| placed(Some(one))).collect()
}
