//! A runner's pull: its request for one task.

use crate::index::{PoolIndex, RunnerIndex};
use std::sync::Arc;
use types::{EndpointName, Labels, RackName, Resources, RunnerIncarnation};

/// One pull of one runner.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    pub(crate) runner: RunnerIndex,
    pub(crate) incarnation: RunnerIncarnation,
    /// Whether the runner stops its runs by itself when it loses its lease.
    pub(crate) self_stop: bool,
    pub(crate) pool: PoolIndex,
    /// Resources that may still be placed on the runner.
    pub(crate) free: Resources,
    /// All resources of the runner.
    pub(crate) capacity: Resources,
    pub(crate) labels: Arc<Labels>,
    pub(crate) rack: RackName,
    pub(crate) endpoint: Option<EndpointName>,
}

/// Whether a pull also searches for tasks that starve.
///
/// A placement over all runners reviews the tenant lists for that instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StarvationSearch {
    /// Examine tasks that do not fit as well.
    Enabled,
    /// Examine only tasks that may start.
    Disabled,
}

/// Which run of a task a pull may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunKind {
    /// The only run of a task.
    Only,
    /// A further copy of a running task.
    Copy,
}
