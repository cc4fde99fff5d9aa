//! Measures how the cost of a reserve grows with the number of waiting jobs.
//!
//! Sets up 64 runners of 16 slots, and 200 tenants with equal backlogs whose jobs
//! alternate. One thread reserves runs and removes each again 512 reserves later.
//! The arguments are the numbers of waiting jobs to measure, by default 200000 and
//! 2000000. Prints one line per trial and number.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
};
use scheduler::{DecisionKind, Scheduler, SchedulerOptions};
use std::error::Error;
use std::time::Instant;
use types::{
    HeartbeatSequence, InvalidName, JobNumber, Labels, Milliseconds, Now, PoolName, QueueName,
    RackName, Resources, RunId, RunnerId, RunnerIncarnation, RunnerReport, TaskMeta, TaskRef,
    TenantId, Term, Urgency,
};

const TENANTS: u64 = 200;
const RUNNERS: usize = 64;
/// Reserves per measurement.
const CYCLES: u64 = 150_000;
const TRIALS: usize = 5;

const RUNNER_CAPACITY: Resources = Resources {
    slots: 16,
    cpu_milli: 16_000,
    memory_mib: 65_536,
    gpus: 0,
};

const TASK_RESOURCES: Resources = Resources {
    slots: 1,
    cpu_milli: 1_000,
    memory_mib: 2_048,
    gpus: 0,
};

fn configuration_document() -> Result<ClusterConfiguration, InvalidName> {
    let mut document = ClusterConfiguration::default();
    let pool = PoolName::new("pool")?;
    let largest_runner = RUNNER_CAPACITY;
    let settings = PoolSettings { largest_runner };
    document.pools.insert(pool.clone(), settings);
    let settings = QueueSettings {
        priority: 0,
        pool,
        mode: QueueMode::Active,
        max_unfinished_jobs: u64::MAX,
    };
    document.queues.insert(QueueName::new("queue")?, settings);
    for tenant in 0..TENANTS {
        let settings = TenantSettings {
            share_percent: 1,
            resource_limit: Resources::UNLIMITED,
            error_budget: ErrorBudget {
                late_after: Milliseconds(1_000),
                late_per_thousand: 1,
                failed_per_thousand: 1,
            },
            submits_per_second: 1,
            submit_burst: 1,
            max_unfinished_jobs: u64::MAX,
        };
        document.tenants.insert(tenant_name(tenant)?, settings);
    }
    Ok(document)
}

fn tenant_name(tenant: u64) -> Result<TenantId, InvalidName> {
    TenantId::new(format!("tenant-{tenant}"))
}

fn runner_name(runner: usize) -> Result<RunnerId, InvalidName> {
    RunnerId::new(format!("runner-{runner}"))
}

fn heartbeat(runner: RunnerId) -> Result<RunnerReport, InvalidName> {
    Ok(RunnerReport {
        endpoint: None,
        unnamed: Vec::new(),
        runner,
        incarnation: RunnerIncarnation(1),
        sequence: HeartbeatSequence(1),
        pool: PoolName::new("pool")?,
        rack: RackName::new("rack")?,
        labels: Labels::new(),
        capacity: RUNNER_CAPACITY,
        free: RUNNER_CAPACITY,
        draining: false,
        self_stop: true,
        active: Vec::new(),
        ended: Vec::new(),
    })
}

/// Returns a scheduler with `jobs` waiting jobs of one task and all runners.
fn scheduler_with_backlog(jobs: u64, seed: u64) -> Result<Scheduler, Box<dyn Error>> {
    let now = Now::default();
    let mut scheduler = Scheduler::new(SchedulerOptions::default(), Term(1), seed);
    scheduler.configure(&configuration_document()?);
    let queue = QueueName::new("queue")?;
    let tenants: Vec<TenantId> = (0..TENANTS).map(tenant_name).collect::<Result<_, _>>()?;
    for (job, tenant) in (0..jobs).zip(tenants.iter().cycle()) {
        let task = TaskRef {
            job: JobNumber(job + 1),
            step: 0,
            task: 0,
        };
        let meta = TaskMeta {
            rules: Default::default(),
            step_tasks: 1,
            task,
            tenant: tenant.clone(),
            queue: queue.clone(),
            urgency: Urgency::Normal,
            resources: TASK_RESOURCES,
            labels: Labels::new(),
            max_copies: 1,
            not_before: None,
        };
        scheduler.publish(meta, now);
    }
    for runner in 0..RUNNERS {
        scheduler.heartbeat(&heartbeat(runner_name(runner)?)?, now);
    }
    Ok(scheduler)
}

/// Returns the reserves per second over [`CYCLES`] cycles of reserve and remove.
fn measure(scheduler: &mut Scheduler) -> Result<f64, Box<dyn Error>> {
    let runners: Vec<RunnerId> = (0..RUNNERS).map(runner_name).collect::<Result<_, _>>()?;
    let mut open: Vec<Option<RunId>> = vec![None; RUNNERS * 8];
    let max_open = open.len();
    let started_at = Instant::now();
    for cycle in 0..usize::try_from(CYCLES).unwrap_or(usize::MAX) {
        if let Some(run) = open[cycle % max_open].take() {
            scheduler.remove_run(run);
        }
        let decision = scheduler.reserve(&runners[cycle % RUNNERS], Now::default());
        let kind = decision.map(|decision| decision.kind);
        let Some(DecisionKind::Placed { reservation, .. }) = kind else {
            return Err("a reserve returned no task to start".into());
        };
        open[cycle % max_open] = Some(reservation.run);
    }
    Ok(CYCLES as f64 / started_at.elapsed().as_secs_f64())
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut sizes: Vec<u64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse())
        .collect::<Result<_, _>>()?;
    if sizes.is_empty() {
        sizes = vec![200_000, 2_000_000];
    }
    for trial in 0..TRIALS {
        for jobs in &sizes {
            let started_at = Instant::now();
            let mut scheduler = scheduler_with_backlog(*jobs, trial as u64)?;
            let publishes = *jobs as f64 / started_at.elapsed().as_secs_f64();
            let reserves = measure(&mut scheduler)?;
            println!(
                "trial {trial}: {jobs} jobs, {publishes:.0} publishes/s, {reserves:.0} reserves/s"
            );
        }
    }
    Ok(())
}
