//! A stand-in runner: it keeps tombstones, leases and ended runs as the
//! runner's side of the protocol asks, and can be told to misbehave.

use types::{
    Labels, Milliseconds, Monotonic, OrderAnswer, PoolName, RackName, Resources, RunId, RunSpec,
    RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport,
};

/// Settings of a stand-in runner.
#[derive(Debug, Clone)]
pub struct RunnerOptions {
    /// Its name.
    pub runner: RunnerId,
    /// This life.
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
    /// Seed of draws.
    pub seed: u64,
}

/// How a stand-in runner behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// Does its work.
    #[default]
    Healthy,
    /// Fails this many runs in a thousand, and looks healthy.
    Failing {
        /// Failed runs in a thousand.
        per_thousand: u32,
    },
    /// Takes this many times as long.
    Slow {
        /// Factor.
        times: u32,
    },
    /// Lets every run stand still until it is stopped.
    Stuck,
}

/// What happened inside a runner, for the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerEvent {
    /// A run began.
    Started(RunSpec),
    /// A run ended.
    Ended {
        /// The run.
        run: RunId,
        /// How.
        outcome: types::Outcome,
    },
    /// An order was taken although a higher term had been seen before. Never
    /// happens unless fencing is off.
    AcceptedStale(RunnerOrder),
}

/// A stand-in runner. The payload of a run is JSON with `duration_ms` and,
/// where wanted, `fail: true`.
#[derive(Debug)]
pub struct Runner {
    _options: RunnerOptions,
}

impl Runner {
    /// A fresh runner that holds nothing.
    pub fn new(options: RunnerOptions, now: Monotonic) -> Self {
        let _ = now;
        Self { _options: options }
    }

    /// Ends runs whose time has come, and all runs whose lease is over.
    pub fn tick(&mut self, now: Monotonic) -> Vec<RunnerEvent> {
        let _ = now;
        todo!()
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self, now: Monotonic) -> RunnerReport {
        let _ = now;
        todo!()
    }

    /// Takes the agent's answer to a heartbeat. `confirmed` is the newest
    /// heartbeat of this life that the leader confirmed.
    pub fn heartbeat_answered(
        &mut self,
        now: Monotonic,
        answer: &RunnerInstruction,
    ) -> Vec<RunnerEvent> {
        let _ = (now, answer);
        todo!()
    }

    /// Takes an order.
    pub fn order(
        &mut self,
        now: Monotonic,
        order: &RunnerOrder,
    ) -> (OrderAnswer, Vec<RunnerEvent>) {
        let _ = (now, order);
        todo!()
    }

    /// Says in heartbeats that it leaves, from now on.
    pub fn drain(&mut self) {
        todo!()
    }

    /// Changes how it behaves.
    pub fn behave(&mut self, behaviour: Behaviour) {
        let _ = behaviour;
        todo!()
    }

    /// Runs it holds.
    pub fn held(&self) -> Vec<RunId> {
        todo!()
    }

    /// When [`Runner::tick`] wants to be called next; none when idle.
    pub fn next_wakeup(&self) -> Option<Monotonic> {
        todo!()
    }
}

/// What a heartbeat's answer tells a runner.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunnerInstruction {
    /// Highest term the agent has seen.
    pub term: types::Term,
    /// Newest heartbeat of this life the leader confirmed.
    pub confirmed: Option<types::HeartbeatSequence>,
    /// The life the confirmation is for.
    pub incarnation: RunnerIncarnation,
    /// Run lease, from when the confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Ended runs the record has.
    pub recorded: Vec<RunId>,
    /// Held runs the record closed.
    pub stop: Vec<RunId>,
}
