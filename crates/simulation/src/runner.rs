//! Runner hosts: emulated runners on side machines.

use crate::ids::{Incarnation, MachineIndex, Micros, ProcessIndex};
use emulator::runner::{Behaviour, Runner, RunnerOptions};
use types::{RunnerId, RunnerIncarnation};

/// Lateness and loss of orders to one runner.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFaults {
    /// Extra delay, up to this many milliseconds.
    pub delay_ms: u64,
    /// Orders or answers lost in a thousand.
    pub loss_per_thousand: u32,
    /// Until then.
    pub until: Micros,
}

/// A runner on its machine.
pub struct RunnerHost {
    /// Its side machine.
    pub machine: MachineIndex,
    /// The agent beside it.
    pub agent: ProcessIndex,
    /// Settings for its next incarnation.
    pub options: RunnerOptions,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// The runner, while it is up.
    pub runner: Option<Runner>,
    /// Moment of the timer in the queue.
    pub timer: Option<Micros>,
    /// Lateness and loss of its orders.
    pub order_faults: OrderFaults,
}

impl RunnerHost {
    /// Its name.
    pub fn id(&self) -> &RunnerId {
        &self.options.runner
    }

    /// Starts it with a new incarnation.
    pub fn start(&mut self, now: types::Monotonic, seed: u64) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.timer = None;
        self.options.incarnation = RunnerIncarnation(u64::from(self.incarnation.0));
        self.options.behaviour = Behaviour::Healthy;
        self.options.seed = seed;
        self.runner = Some(Runner::new(self.options.clone(), now));
    }

    /// Ends it at once; gives the runs that died with it.
    pub fn kill(&mut self) -> Vec<types::RunId> {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        match self.runner.take() {
            Some(runner) => runner.active(),
            None => Vec::new(),
        }
    }
}
