//! Queues.

use configuration::QueueSettings;
use serde::{Deserialize, Serialize};
use types::PoolName;

/// How far a queue has been moved in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueMode {
    /// Decide and log, start nothing.
    Shadow,
    /// Decide and start.
    #[default]
    Active,
    /// Take submits, start nothing.
    Paused,
    /// Refuse submits, finish what is there.
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

/// A queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueBody {
    /// The pool its tasks run on.
    pub pool: PoolName,
    /// How far it has been moved in.
    #[serde(default)]
    pub mode: QueueMode,
    /// Unfinished jobs it may hold.
    #[serde(default = "default_queue_jobs")]
    pub max_unfinished_jobs: u64,
    /// Place among the queues of its pool: work of a lower number goes first.
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
