//! Emulated runners on side machines.

use crate::ids::{Incarnation, MachineIndex, Micros, ProcessIndex};
use emulator::runner::{Behaviour, Runner, RunnerOptions};
use types::{RunnerId, RunnerIncarnation};

/// Delay and loss of the orders to one runner and of their answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct OrderFaults {
    /// Upper bound of the random extra delay, in milliseconds.
    pub delay_ms: u64,
    /// Share of lost orders and answers, per thousand.
    pub loss_per_thousand: u32,
    /// Virtual time at which the fault ends.
    pub until: Micros,
}

/// An emulated runner with its machine and agent.
pub struct RunnerHost {
    /// Side machine that the runner is on.
    pub machine: MachineIndex,
    /// Agent on the same machine.
    pub agent: ProcessIndex,
    /// Options for the next incarnation.
    pub options: RunnerOptions,
    /// Incarnation, counted up at each start and kill.
    pub incarnation: Incarnation,
    /// Emulated runner; `None` while it is down.
    pub runner: Option<Runner>,
    /// Virtual time of the timer in the event queue; `None` if none is set.
    pub timer: Option<Micros>,
    /// Delay and loss of the orders to the runner.
    pub order_faults: OrderFaults,
}

impl RunnerHost {
    /// Returns the runner's identifier.
    pub fn id(&self) -> &RunnerId {
        &self.options.runner
    }

    /// Starts the runner with a new incarnation.
    pub fn start(&mut self, now: types::Monotonic, seed: u64) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.timer = None;
        self.options.incarnation = RunnerIncarnation(u64::from(self.incarnation.0));
        self.options.behaviour = Behaviour::Healthy;
        self.options.seed = seed;
        self.runner = Some(Runner::new(self.options.clone(), now));
    }

    /// Kills the runner and returns the runs that were active on it.
    pub fn kill(&mut self) -> Vec<types::RunId> {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        match self.runner.take() {
            Some(runner) => runner.active(),
            None => Vec::new(),
        }
    }
}
