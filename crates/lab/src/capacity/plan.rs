//! Size and load of a trial, and the matching configuration.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
    Timings,
};
use serde::{Deserialize, Serialize};
use types::{InvalidName, Milliseconds, PoolName, QueueName, Resources, TenantId};

/// Name of the only pool.
pub const POOL: &str = "hollow";
/// Name of the only queue.
pub const QUEUE: &str = "work";
/// Capacity of the runners in tenths of what the running tasks need.
const CAPACITY_TENTHS: u64 = 15;
/// Minimum number of slots of a runner.
const MIN_SLOTS: u64 = 8;
/// Duration of tasks that run throughout the trial.
const LONG_TASK: Milliseconds = Milliseconds(1_800_000);
/// Duration of tasks if the number of running tasks is not given.
const SHORT_TASK: Milliseconds = Milliseconds(100);
/// Retention of ended jobs: the minimum that validation allows.
const RETENTION: Milliseconds = Milliseconds(60_000);
/// Limit on unfinished jobs, above the number in any trial.
const MAX_UNFINISHED_JOBS: u64 = 1_000_000;

/// Size and load of one trial.
#[derive(Debug, Clone, Serialize)]
pub struct Size {
    /// Number of hollow workers, each an agent with one runner.
    pub workers: usize,
    /// Number of tenants, which submit jobs in round robin.
    pub tenants: usize,
    /// Offered load in task starts per second; 0 for none.
    pub starts_per_second: u64,
    /// Number of concurrently running tasks; 0 for short tasks, whose number
    /// follows from the starts.
    pub running: u64,
    /// Number of tasks in an ordinary job.
    pub tasks_per_job: u32,
    /// Urgent jobs per second, each with one task.
    pub urgent_per_second: u64,
    /// Configuration changes per minute; 0 for none.
    pub configurations_per_minute: u64,
}

/// Payload of a task. The emulated runner reads only `duration_ms`; the hollow
/// worker also reads the other fields.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadPayload {
    /// Duration of the task in milliseconds.
    pub duration_ms: u64,
    /// Time at which the job was sent, in milliseconds of this machine's monotonic
    /// clock.
    pub sent_at: u64,
    /// Whether the job is urgent.
    pub urgent: bool,
}

impl Size {
    /// Returns the duration of an ordinary task with which the offered starts lead
    /// to the requested number of running tasks.
    pub fn task_length(&self) -> Milliseconds {
        match (self.running, self.starts_per_second) {
            (0, _) => SHORT_TASK,
            (_, 0) => LONG_TASK,
            (running, starts) => Milliseconds((running * 1_000 / starts).max(1)),
        }
    }

    /// Returns the capacity of each runner.
    pub fn capacity(&self) -> Resources {
        let running = self.running.max(self.starts_per_second);
        let workers = u64::try_from(self.workers).unwrap_or(u64::MAX).max(1);
        let slots = (running * CAPACITY_TENTHS)
            .div_ceil(10 * workers)
            .max(MIN_SLOTS);
        let slots = u32::try_from(slots).unwrap_or(u32::MAX);
        Resources {
            slots,
            cpu_milli: slots.saturating_mul(1_000),
            memory_mib: slots.saturating_mul(4_096),
            gpus: 0,
        }
    }

    /// Returns the tenant at this index. Indexes wrap around at the number of
    /// tenants.
    ///
    /// # Errors
    ///
    /// Fails if the resulting name is not valid.
    pub fn tenant(&self, index: usize) -> Result<TenantId, InvalidName> {
        TenantId::new(format!("team-{}", index % self.tenants.max(1)))
    }

    /// Returns the configuration document of a version. Versions differ only in the
    /// retention.
    ///
    /// # Errors
    ///
    /// Fails if a name in the document is not valid.
    pub fn document(&self, version: u64) -> Result<ClusterConfiguration, InvalidName> {
        let pool = PoolName::new(POOL)?;
        let queue = QueueSettings {
            priority: 0,
            pool: pool.clone(),
            mode: QueueMode::Active,
            max_unfinished_jobs: MAX_UNFINISHED_JOBS,
        };
        let settings = PoolSettings {
            largest_runner: self.capacity(),
        };
        let tenants = (0..self.tenants.max(1))
            .map(|index| Ok((self.tenant(index)?, self.tenant_settings())))
            .collect::<Result<_, InvalidName>>()?;
        Ok(ClusterConfiguration {
            replaces: None,
            left_out: configuration::LeftOutQueues::Refuse,
            source: None,
            licences: Default::default(),
            pools: [(pool, settings)].into(),
            queues: [(QueueName::new(QUEUE)?, queue)].into(),
            tenants,
            keys: Vec::new(),
            timings: Timings {
                retention: RETENTION + Milliseconds(version),
                ..Timings::default()
            },
        })
    }

    fn tenant_settings(&self) -> TenantSettings {
        let tenants = u32::try_from(self.tenants.max(1)).unwrap_or(u32::MAX);
        TenantSettings {
            // A whole percentage of at least 1: each of 80 tenants has 1.
            share_percent: (100 / tenants).max(1),
            resource_limit: Resources::UNLIMITED,
            error_budget: ErrorBudget {
                late_after: Milliseconds(60_000),
                late_per_thousand: 10,
                failed_per_thousand: 10,
            },
            submits_per_second: 100_000,
            submit_burst: 100_000,
            max_unfinished_jobs: MAX_UNFINISHED_JOBS,
        }
    }
}
