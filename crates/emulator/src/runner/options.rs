//! Settings of an emulated runner.

use types::{Labels, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Settings of an emulated runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Its name.
    pub runner: RunnerId,
    /// This incarnation.
    pub incarnation: RunnerIncarnation,
    /// Its pool.
    pub pool: PoolName,
    /// Its rack.
    pub rack: RackName,
    /// Its labels.
    pub labels: Labels,
    /// All it has.
    pub capacity: Resources,
    /// How it behaves.
    pub behaviour: Behaviour,
    /// A guard left out, to prove that a checker notices; none outside proofs.
    pub mutation: Option<RunnerMutation>,
    /// Seed of draws.
    pub seed: u64,
}

impl RunnerOptions {
    /// The same runner in its next incarnation.
    pub fn restarted(&self) -> Self {
        Self {
            incarnation: self.incarnation.next(),
            ..self.clone()
        }
    }
}

/// How an emulated runner behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Does its work.
    #[default]
    Healthy,
    /// Fails this many runs in a thousand, while its health check is good.
    Failing {
        /// Failed runs in a thousand.
        per_thousand: u32,
    },
    /// Takes this many times as long.
    Slow {
        /// Factor.
        times: u32,
    },
    /// Lets every run stand still until it is stopped, past its time limit.
    Stuck,
}

/// A guard of the runner's side left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerMutation {
    /// Revoked, rejected and recorded runs may start after all.
    NoTombstones,
    /// Orders of lower terms are taken.
    NoTermFence,
    /// Starts are taken however old their basis is.
    NoHeartbeatCheck,
    /// Runs go on after the run lease.
    NoSelfStop,
}
