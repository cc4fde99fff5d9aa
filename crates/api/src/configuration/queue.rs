//! JSON bodies of queues.

use configuration::QueueSettings;
use serde::{Deserialize, Serialize};
use types::PoolName;

/// Whether a queue accepts jobs and starts tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueMode {
    /// Accepts submits; decisions are made and logged, but nothing starts.
    Shadow,
    /// Accepts submits and starts tasks.
    #[default]
    Active,
    /// Accepts submits and starts nothing.
    Paused,
    /// Rejects submits and finishes the jobs that it has.
    Draining,
}

impl From<configuration::QueueMode> for QueueMode {
    fn from(mode: configuration::QueueMode) -> Self {
        match mode {
            configuration::QueueMode::Shadow => Self::Shadow,
            configuration::QueueMode::Active => Self::Active,
            configuration::QueueMode::Paused => Self::Paused,
            configuration::QueueMode::Draining => Self::Draining,
        }
    }
}

impl From<QueueMode> for configuration::QueueMode {
    fn from(mode: QueueMode) -> Self {
        match mode {
            QueueMode::Shadow => Self::Shadow,
            QueueMode::Active => Self::Active,
            QueueMode::Paused => Self::Paused,
            QueueMode::Draining => Self::Draining,
        }
    }
}

/// Settings of a queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueBody {
    /// Pool whose runners run the queue's tasks.
    pub pool: PoolName,
    /// Whether the queue accepts jobs and starts tasks. Default `active`.
    #[serde(default)]
    pub mode: QueueMode,
    /// Maximum number of unfinished jobs, default 100 000. Further submits are
    /// rejected.
    #[serde(default = "default_queue_jobs")]
    pub max_unfinished_jobs: u64,
    /// Rank among the queues of the pool, default 0. Work of a lower number
    /// starts first.
    #[serde(default)]
    pub priority: u8,
}

fn default_queue_jobs() -> u64 {
    100_000
}

impl From<QueueSettings> for QueueBody {
    fn from(queue: QueueSettings) -> Self {
        Self {
            pool: queue.pool,
            mode: queue.mode.into(),
            max_unfinished_jobs: queue.max_unfinished_jobs,
            priority: queue.priority,
        }
    }
}

impl From<QueueBody> for QueueSettings {
    fn from(body: QueueBody) -> Self {
        Self {
            pool: body.pool,
            mode: body.mode.into(),
            max_unfinished_jobs: body.max_unfinished_jobs,
            priority: body.priority,
        }
    }
}
