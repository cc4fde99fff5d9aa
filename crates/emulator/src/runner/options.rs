//! Settings of an emulated runner.

use types::{Labels, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Identity, capacity and behaviour of an emulated runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Incarnation that heartbeats carry; a restart takes the next one.
    pub incarnation: RunnerIncarnation,
    /// Pool that the runner belongs to.
    pub pool: PoolName,
    /// Rack that the runner reports.
    pub rack: RackName,
    /// Labels that a task may ask for.
    pub labels: Labels,
    /// Total resources of the runner.
    pub capacity: Resources,
    /// Behaviour at the start; [`Runner::behave`](super::Runner::behave) changes it.
    pub behaviour: Behaviour,
    /// Guard to leave out, to show that a checker detects it. `None` outside such
    /// proofs.
    pub mutation: Option<RunnerMutation>,
    /// Seed of random failures.
    pub seed: u64,
}

impl RunnerOptions {
    /// Returns the options of the same runner in its next incarnation.
    pub fn restarted(&self) -> Self {
        Self {
            incarnation: self.incarnation.next(),
            ..self.clone()
        }
    }
}

/// Behaviour of an emulated runner towards its runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Ends every run as its payload asks.
    #[default]
    Healthy,
    /// Fails a share of the runs while the runner reports itself as healthy.
    Failing {
        /// Failed runs per thousand.
        per_thousand: u32,
    },
    /// Takes longer for each run than its payload asks.
    Slow {
        /// Factor by which the duration is multiplied.
        times: u32,
    },
    /// Never ends a run, not even at its time limit; a run ends only when it is
    /// stopped.
    Stuck,
}

/// Guard of the runner's side of the protocol that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerMutation {
    /// Runs that were revoked, rejected or recorded as ended may still start.
    NoTombstones,
    /// Orders of lower terms are accepted.
    NoTermFence,
    /// Starts are accepted however old the heartbeat is that they are based on.
    NoHeartbeatCheck,
    /// Runs continue after the run lease has expired.
    NoSelfStop,
}
