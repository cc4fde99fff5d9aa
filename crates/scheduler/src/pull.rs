//! Pull of a runner: its request for one task.

use crate::index::{PoolIndex, RunnerIndex};
use std::sync::Arc;
use types::{EndpointName, Labels, RackName, Resources, RunnerIncarnation};

/// Pull of one runner, with the runner's state at that time.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    pub(crate) runner: RunnerIndex,
    pub(crate) incarnation: RunnerIncarnation,
    /// Whether the runner stops its runs by itself when it loses its lease.
    pub(crate) self_stop: bool,
    pub(crate) pool: PoolIndex,
    /// Resources that may still be placed on the runner.
    pub(crate) free: Resources,
    /// Total resources of the runner, used and free.
    pub(crate) capacity: Resources,
    pub(crate) labels: Arc<Labels>,
    pub(crate) rack: RackName,
    pub(crate) endpoint: Option<EndpointName>,
    pub(crate) scope: PullScope,
}

/// Which waiting tasks a pull may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PullScope {
    /// Any task.
    All,
    /// Only overdue tasks, which a reservation of the runner does not hold back.
    Overdue,
}

/// Whether a pull also searches for tasks that starve.
///
/// A placement on all runners reviews the tenant lists for starving tasks
/// instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StarvationSearch {
    /// Also examine tasks that do not fit now.
    Enabled,
    /// Examine only tasks that may start.
    Disabled,
}

/// Kind of run that a pull may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunKind {
    /// Run of a task that has no open run.
    Only,
    /// Further copy of a running task.
    Copy,
}
