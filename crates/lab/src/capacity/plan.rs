//! Size and load of a trial, and the configuration it needs.

use configuration::{
    ClusterConfiguration, ErrorBudget, PoolSettings, QueueMode, QueueSettings, TenantSettings,
    Timings,
};
use serde::{Deserialize, Serialize};
use types::{InvalidName, Milliseconds, PoolName, QueueName, Resources, TenantId};

/// The one pool.
pub const POOL: &str = "hollow";
/// The one queue.
pub const QUEUE: &str = "work";
/// Capacity the runners have beyond what runs, as a factor in tenths.
const HEADROOM_TENTHS: u64 = 15;
/// Least slots of a runner.
const MIN_SLOTS: u64 = 8;
/// Length of tasks that are to run through the whole trial.
const TRIAL_LENGTH: Milliseconds = Milliseconds(1_800_000);
/// Length of tasks when only starts are asked for.
const SHORT_TASK: Milliseconds = Milliseconds(100);
/// Ended jobs are kept this long, the shortest that is allowed.
const RETENTION: Milliseconds = Milliseconds(60_000);
/// More than any trial holds.
const PLENTY: u64 = 1_000_000;

/// Size and load of one trial.
#[derive(Debug, Clone, Serialize)]
pub struct Size {
    /// Hollow workers.
    pub workers: usize,
    /// Tenants.
    pub tenants: usize,
    /// Task starts a second that are offered; zero for none.
    pub starts_per_second: u64,
    /// Tasks that run at once; zero to let it follow from the starts.
    pub running: u64,
    /// Tasks in a job.
    pub tasks_per_job: u32,
    /// Urgent one-task jobs a second.
    pub urgent_per_second: u64,
    /// Configurations a minute.
    pub configurations_per_minute: u64,
}

/// What the runners read in a payload of this trial. The emulated runner reads
/// `duration_ms` alone.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadPayload {
    /// How long the task takes.
    pub duration_ms: u64,
    /// When its job was sent, on this machine's monotonic clock.
    pub sent_at: u64,
    /// Whether the job is urgent.
    pub urgent: bool,
}

impl Size {
    /// How long a task runs, so that as many run as are asked for.
    pub fn task_length(&self) -> Milliseconds {
        match (self.running, self.starts_per_second) {
            (0, _) => SHORT_TASK,
            (_, 0) => TRIAL_LENGTH,
            (running, starts) => Milliseconds((running * 1_000 / starts).max(1)),
        }
    }

    /// Capacity of each runner.
    pub fn capacity(&self) -> Resources {
        let running = self.running.max(self.starts_per_second);
        let workers = u64::try_from(self.workers).unwrap_or(u64::MAX).max(1);
        let slots = (running * HEADROOM_TENTHS)
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

    /// Name of a tenant.
    ///
    /// # Errors
    ///
    /// Fails if the name made of the index is not valid.
    pub fn tenant(&self, place: usize) -> Result<TenantId, InvalidName> {
        TenantId::new(format!("team-{}", place % self.tenants.max(1)))
    }

    /// The document of a version; each differs in the retention.
    ///
    /// # Errors
    ///
    /// Fails if a name of the document is not valid.
    pub fn document(&self, version: u64) -> Result<ClusterConfiguration, InvalidName> {
        let pool = PoolName::new(POOL)?;
        let queue = QueueSettings {
            priority: 0,
            pool: pool.clone(),
            mode: QueueMode::Active,
            max_unfinished_jobs: PLENTY,
        };
        let settings = PoolSettings {
            largest_runner: self.capacity(),
        };
        let tenants = (0..self.tenants.max(1))
            .map(|place| Ok((self.tenant(place)?, self.contract())))
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

    fn contract(&self) -> TenantSettings {
        let tenants = u32::try_from(self.tenants.max(1)).unwrap_or(u32::MAX);
        TenantSettings {
            // Whole percents: 80 tenants have one each.
            share_percent: (100 / tenants).max(1),
            resource_limit: Resources::UNLIMITED,
            error_budget: ErrorBudget {
                late_after: Milliseconds(60_000),
                late_per_thousand: 10,
                failed_per_thousand: 10,
            },
            submits_per_second: 100_000,
            submit_burst: 100_000,
            max_unfinished_jobs: PLENTY,
        }
    }
}
