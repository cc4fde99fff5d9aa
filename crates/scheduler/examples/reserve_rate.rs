//! Measures how the cost of a reserve grows with the number of waiting jobs, and
//! with the number of waiting jobs that no runner can take.
//!
//! Sets up 64 runners of 16 slots, and tenants with equal backlogs whose jobs
//! alternate. One thread reserves runs and removes each again 512 reserves later.
//! Each argument is one backlog to measure, as `JOBS[:UNMET[:TENANTS]]`: the number
//! of jobs that fit, of older jobs with needs that differ from each other and that
//! no runner can meet (0 by default), and of tenants (200 by default). Without
//! arguments, measures 200000 and 2000000 jobs. Prints one line per trial and
//! backlog.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
};
use scheduler::{DecisionKind, Scheduler, SchedulerOptions};
use std::error::Error;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Instant;
use types::{
    HeartbeatSequence, InvalidName, JobNumber, Labels, Milliseconds, Now, PoolName, QueueName,
    RackName, Resources, RunId, RunnerId, RunnerIncarnation, RunnerReport, TaskMeta, TaskRef,
    TenantId, Term, Urgency,
};

const DEFAULT_TENANTS: u64 = 200;
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

/// Age of the backlog at the first reserve, long enough for its jobs to starve.
const BACKLOG_AGE: Milliseconds = Milliseconds(60_000);

/// Jobs that wait when the measurement starts.
#[derive(Debug, Clone, Copy)]
struct Backlog {
    /// Number of jobs that fit on the runners.
    jobs: u64,
    /// Number of jobs with different needs that no runner can meet.
    unmet: u64,
    tenants: u64,
}

impl FromStr for Backlog {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        let mut numbers = text.split(':').map(str::parse);
        let mut next = |default| numbers.next().unwrap_or(Ok(default));
        Ok(Self {
            jobs: next(0)?,
            unmet: next(0)?,
            tenants: next(DEFAULT_TENANTS)?,
        })
    }
}

fn configuration_document(tenants: u64) -> Result<ClusterConfiguration, InvalidName> {
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
    for tenant in 0..tenants {
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

/// Returns the time at which the reserves are measured.
fn measured_at() -> Now {
    let start = Now::default();
    Now {
        monotonic: start.monotonic + BACKLOG_AGE,
        ..start
    }
}

/// Returns the task of a job that fits on the runners.
fn fitting_task(job: u64, tenant: TenantId) -> Result<TaskMeta, InvalidName> {
    Ok(TaskMeta {
        rules: Default::default(),
        step_tasks: 1,
        task: TaskRef {
            job: JobNumber(job),
            step: 0,
            task: 0,
        },
        tenant,
        queue: QueueName::new("queue")?,
        urgency: Urgency::Normal,
        resources: TASK_RESOURCES,
        labels: Labels::new(),
        max_copies: 1,
        not_before: None,
    })
}

/// Returns the task of a job whose needs no other job has and no runner can
/// meet: by a label, or by its CPU or memory.
fn unmet_task(job: u64, tenant: TenantId) -> Result<TaskMeta, InvalidName> {
    let mut task = fitting_task(job, tenant)?;
    let distinct = u32::try_from(job).unwrap_or(u32::MAX);
    let needs = &mut task.resources;
    match job % 4 {
        0 => {
            needs.cpu_milli = 100 + distinct;
            task.labels.insert("kind".to_owned(), "absent".to_owned());
        }
        1 => {
            let value = format!("absent-{job}");
            task.labels.insert("kind".to_owned(), value);
        }
        2 => needs.cpu_milli = RUNNER_CAPACITY.cpu_milli.saturating_add(distinct),
        _ => needs.memory_mib = RUNNER_CAPACITY.memory_mib.saturating_add(distinct),
    }
    Ok(task)
}

/// Returns a scheduler with the backlog and all runners.
fn scheduler_with(backlog: Backlog, seed: u64) -> Result<Scheduler, Box<dyn Error>> {
    let now = Now::default();
    let mut scheduler = Scheduler::new(SchedulerOptions::default(), Term(1), seed);
    scheduler.configure(&configuration_document(backlog.tenants)?);
    let tenants: Vec<TenantId> = (0..backlog.tenants)
        .map(tenant_name)
        .collect::<Result<_, _>>()?;
    let all_jobs = 1..=backlog.unmet + backlog.jobs;
    for (job, tenant) in all_jobs.zip(tenants.iter().cycle()) {
        let task = if job <= backlog.unmet {
            unmet_task(job, tenant.clone())?
        } else {
            fitting_task(job, tenant.clone())?
        };
        scheduler.publish(task, now);
    }
    for runner in 0..RUNNERS {
        scheduler.heartbeat(&heartbeat(runner_name(runner)?)?, measured_at());
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
        let decision = scheduler.reserve(&runners[cycle % RUNNERS], measured_at());
        let kind = decision.map(|decision| decision.kind);
        let Some(DecisionKind::Placed { reservation, .. }) = kind else {
            return Err("a reserve returned no task to start".into());
        };
        open[cycle % max_open] = Some(reservation.run);
    }
    Ok(CYCLES as f64 / started_at.elapsed().as_secs_f64())
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut backlogs: Vec<Backlog> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse())
        .collect::<Result<_, _>>()?;
    if backlogs.is_empty() {
        backlogs = vec!["200000".parse()?, "2000000".parse()?];
    }
    for trial in 0..TRIALS {
        for backlog in &backlogs {
            let started_at = Instant::now();
            let mut scheduler = scheduler_with(*backlog, trial as u64)?;
            let published = (backlog.jobs + backlog.unmet) as f64;
            let publishes = published / started_at.elapsed().as_secs_f64();
            let reserves = measure(&mut scheduler)?;
            println!(
                "trial {trial}: {} jobs that fit, {} that no runner can take, {} tenants: \
                 {publishes:.0} publishes/s, {reserves:.0} reserves/s",
                backlog.jobs, backlog.unmet, backlog.tenants
            );
        }
    }
    Ok(())
}
