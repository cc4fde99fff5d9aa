//! Plans of simulations, which are written as TOML or drawn by the planner.

use crate::Mutation;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Time within which the cluster must be healthy for [`Fault::KillOnceRepaired`], in
/// milliseconds; otherwise the fault is dropped.
pub const MAX_REPAIR_MS: u64 = 15_000;

/// Plan of a simulation: seed, sizes, times and faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of all random numbers of the simulation.
    pub seed: u64,
    /// Numbers of machines and the load.
    #[serde(default)]
    pub fleet: FleetSize,
    /// Duration of the load phase, in which callers send new jobs, in milliseconds.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// Maximum duration of the calm phase after the load, in which all work must end, in
    /// milliseconds.
    #[serde(default = "default_calm_ms")]
    pub calm_ms: u64,
    /// Processor time that coordinators use; none by default.
    #[serde(default)]
    pub processing: Processing,
    /// Mechanisms that the scheduler uses for placement.
    #[serde(default)]
    pub policy: scheduler::Policy,
    /// Whether a degraded leader transfers leadership.
    #[serde(default = "default_transfer_when_degraded")]
    #[serde(rename = "gives_way")]
    pub transfer_when_degraded: bool,
    /// Mechanism to disable, so that a test shows its necessity; `None` disables nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mutation: Option<Mutation>,
    /// Faults in order of time.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

/// Default duration of the load phase, in milliseconds.
pub const DEFAULT_LOAD_MS: u64 = 20_000;
/// Default maximum duration of the calm phase, in milliseconds.
pub const DEFAULT_CALM_MS: u64 = 120_000;

fn default_transfer_when_degraded() -> bool {
    true
}

fn default_load_ms() -> u64 {
    DEFAULT_LOAD_MS
}

fn default_calm_ms() -> u64 {
    DEFAULT_CALM_MS
}

/// Numbers of machines and the load of a simulation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Number of coordinators.
    pub coordinators: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of runners in the media pool, each on a side machine with an agent.
    #[serde(rename = "stills_runners")]
    pub media_runners: usize,
    /// Number of runners in the documents pool, each on a side machine with an agent.
    pub documents_runners: usize,
    /// Rate of new jobs, in percent of the workloads' normal rate.
    pub load_percent: u32,
}

impl Default for FleetSize {
    fn default() -> Self {
        Self {
            coordinators: 3,
            gateways: 3,
            media_runners: 5,
            documents_runners: 6,
            load_percent: 100,
        }
    }
}

/// Processor time that coordinators use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processing {
    /// Cost of each task or runner that the scheduler examines, in nanoseconds.
    #[serde(rename = "nanos_per_look")]
    pub nanos_per_scan: u64,
    /// Cost of each input, in microseconds.
    pub micros_per_input: u64,
    /// Fixed cost of each step, in microseconds.
    pub micros_per_step: u64,
    /// Whether a step takes a single message in the order of arrival, as the event loop did
    /// before messages had lanes. Tests compare the two.
    pub single_queue: bool,
}

impl Processing {
    /// Returns the duration of a step in microseconds. `scan_cost` is the number of tasks
    /// and runners examined in it.
    pub fn cost_micros(&self, scan_cost: u64, inputs: u64) -> u64 {
        scan_cost.saturating_mul(self.nanos_per_scan) / 1_000
            + inputs.saturating_mul(self.micros_per_input)
            + self.micros_per_step
    }
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Time of the fault, in milliseconds after the fleet is in service and the load
    /// begins.
    pub at_ms: u64,
    /// Fault to inject.
    #[serde(flatten)]
    pub fault: Fault,
}

/// A fault to inject.
///
/// Machines are named `coordinator-N`, `gateway-N` and `side-N`. A side machine carries an
/// agent and a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Kills the daemon on a machine and restarts it after `down_ms`.
    Kill {
        /// Name of the machine.
        machine: String,
        /// Time until the daemon is started again, in milliseconds.
        down_ms: u64,
    },
    /// Stops the daemon on a machine, kills it if it still runs after a grace period of
    /// 5 s, and restarts it after `down_ms`.
    Stop {
        /// Name of the machine.
        machine: String,
        /// Time between the end of the grace period and the restart, in milliseconds.
        down_ms: u64,
    },
    /// Kills all coordinators at the same time and restarts them after `down_ms`.
    KillCoordinators {
        /// Time until the coordinators are started again, in milliseconds.
        down_ms: u64,
    },
    /// Cuts the power of all coordinators, which lose their unsynced writes, and restarts
    /// them after `down_ms`.
    PowerLoss {
        /// Time until the coordinators are started again, in milliseconds.
        down_ms: u64,
    },
    /// Kills a coordinator and restarts it with an empty disk after `down_ms`.
    LoseDisk {
        /// Name of the machine.
        machine: String,
        /// Time until the daemon is started again, in milliseconds.
        down_ms: u64,
    },
    /// Removes a coordinator permanently and starts a new one with an empty disk, at a new
    /// address, after `down_ms`.
    Replace {
        /// Name of the machine; the machine of the new coordinator takes it over.
        machine: String,
        /// Time until the new coordinator is started, in milliseconds.
        down_ms: u64,
    },
    /// Kills a coordinator, with or without the loss of its disk, `after_ms` after the
    /// cluster is healthy again, that is, has a serving leader and all voters are up. This
    /// is the second loss right after a repair.
    KillOnceRepaired {
        /// Name of the machine.
        machine: String,
        /// Time between the repair and the loss, in milliseconds.
        after_ms: u64,
        /// Time until the coordinator is started again, in milliseconds.
        down_ms: u64,
        /// Whether the coordinator loses its disk.
        loses_disk: bool,
    },
    /// At the next acknowledgement of a kind, wipes the disks of some coordinators and cuts
    /// the power of all others at the same time. All are restarted after `down_ms`.
    LoseAtAcknowledgement {
        /// Kind of acknowledgement that triggers the loss.
        of: Acknowledgement,
        /// Names of the machines whose disks are lost.
        machines: Vec<String>,
        /// Time until all coordinators are started again, in milliseconds.
        down_ms: u64,
    },
    /// Freezes a machine with its daemon and runner for `for_ms`. Its clocks run on.
    Freeze {
        /// Name of the machine.
        machine: String,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Partitions a machine from all others in both directions for `for_ms`.
    Cut {
        /// Name of the machine.
        machine: String,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Blocks messages from one machine to another for `for_ms`. The opposite direction
    /// stays open.
    CutOneWay {
        /// Name of the sending machine.
        from: String,
        /// Name of the receiving machine.
        to: String,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Partitions a group of machines from all others in both directions for `for_ms`.
    Split {
        /// Names of the machines in the group.
        machines: Vec<String>,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes the links of a machine lose packets for `for_ms`. Messages are delayed by the
    /// retransmission and stay in order.
    LossyLinks {
        /// Name of the machine.
        machine: String,
        /// Share of messages whose packet is lost, per thousand.
        lost_per_thousand: u32,
        /// Time until a lost packet is retransmitted, in milliseconds.
        wait_ms: u64,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes the whole network lose, duplicate and delay messages for `for_ms`.
    Weather {
        /// Share of lost messages, per thousand.
        loss_per_thousand: u32,
        /// Share of duplicated messages, per thousand.
        double_per_thousand: u32,
        /// Upper bound of the random extra delay, in milliseconds.
        delay_ms: u64,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Delays and loses the orders to one runner and their answers for `for_ms`.
    LateOrders {
        /// Name of the side machine.
        machine: String,
        /// Upper bound of the random extra delay, in milliseconds.
        delay_ms: u64,
        /// Share of lost orders and answers, per thousand.
        loss_per_thousand: u32,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Steps the wall clock of a machine by `by_ms`. The leader compares the start times of
    /// jobs with its own clock, so the clocks of coordinators may step only a little.
    ClockStep {
        /// Name of the machine.
        machine: String,
        /// Step in milliseconds; negative steps go back.
        by_ms: i64,
    },
    /// Kills a runner with all its runs and restarts it after `down_ms`.
    KillRunner {
        /// Name of the side machine.
        machine: String,
        /// Time until the runner is started again, in milliseconds.
        down_ms: u64,
    },
    /// Drains a runner, stops it after 8 s and restarts it after `down_ms`.
    DrainRunner {
        /// Name of the side machine.
        machine: String,
        /// Time between the stop and the restart, in milliseconds.
        down_ms: u64,
    },
    /// Makes a runner misbehave for `for_ms`.
    Misbehave {
        /// Name of the side machine.
        machine: String,
        /// Kind of misbehaviour.
        behaviour: Behaviour,
        /// Duration in milliseconds.
        for_ms: u64,
    },
    /// Makes both operators send a configuration for the same version.
    RaceOperators,
    /// Makes an operator send `count` configurations one after the other.
    ConfigurationStorm {
        /// Number of configurations.
        count: u32,
    },
    /// Makes an operator send a configuration that must be rejected.
    InvalidConfiguration,
    /// Makes callers cancel `count` of their unfinished jobs, chosen at random.
    CancelBatch {
        /// Number of cancels.
        count: u32,
    },
    /// Multiplies the rate of new jobs of one caller by `times` for `for_ms`.
    Burst {
        /// Index of the caller: 0 or 1.
        caller: usize,
        /// Factor on the rate.
        times: u32,
        /// Duration in milliseconds.
        for_ms: u64,
    },
}

/// Kind of request that the cluster acknowledges.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acknowledgement {
    /// Submit of a job, acknowledged to a caller.
    Submit,
    /// Cancel of a job, acknowledged to a caller.
    Cancel,
    /// Configuration or update of items, acknowledged to an operator.
    Configuration,
}

/// Misbehaviour of a runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Half of the runs fail.
    FailsHalf,
    /// All runs fail.
    FailsAll,
    /// Runs take four times as long.
    Slow,
    /// Runs do not end until they are stopped, past their time limit.
    Stuck,
}

/// Error of reading or writing a plan.
#[derive(Debug, Error)]
pub enum PlanError {
    /// The text is not TOML or does not have the fields of a plan.
    #[error("not a fault plan: {0}")]
    Parse(#[from] toml::de::Error),
    /// The plan cannot be encoded as TOML.
    #[error("the plan cannot be written: {0}")]
    Write(#[from] toml::ser::Error),
    /// A fault names a machine that the fleet does not have.
    #[error("fault {position}: the fleet has no machine {machine}")]
    UnknownMachine {
        /// Position of the fault, from 1.
        position: usize,
        /// Name of the unknown machine.
        machine: String,
    },
}

impl Plan {
    /// Returns a plan without faults, with default sizes and times.
    pub fn calm(seed: u64) -> Self {
        Self {
            seed,
            fleet: FleetSize::default(),
            load_ms: DEFAULT_LOAD_MS,
            calm_ms: DEFAULT_CALM_MS,
            processing: Processing::default(),
            policy: scheduler::Policy::default(),
            transfer_when_degraded: true,
            mutation: None,
            faults: Vec::new(),
        }
    }

    /// Reads a plan and checks the names of its machines.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a plan or names an unknown machine. The error names the
    /// place in the text or the position of the fault.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text)?;
        plan.check_machines()?;
        Ok(plan)
    }

    /// Encodes the plan as TOML.
    ///
    /// # Errors
    ///
    /// Fails if the plan cannot be encoded.
    pub fn to_text(&self) -> Result<String, PlanError> {
        Ok(toml::to_string(self)?)
    }

    fn check_machines(&self) -> Result<(), PlanError> {
        let names = self.fleet.machine_names();
        for (position, planned) in self.faults.iter().enumerate() {
            for machine in planned.fault.machines() {
                if !names.contains(machine) {
                    return Err(PlanError::UnknownMachine {
                        position: position + 1,
                        machine: machine.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

impl FleetSize {
    /// Returns the names of all machines, in the order of their indexes.
    pub fn machine_names(&self) -> Vec<String> {
        let sides = self.media_runners + self.documents_runners;
        let coordinators = (0..self.coordinators).map(|n| format!("coordinator-{n}"));
        let gateways = (0..self.gateways).map(|n| format!("gateway-{n}"));
        let sides = (0..sides).map(|n| format!("side-{n}"));
        coordinators.chain(gateways).chain(sides).collect()
    }
}

impl Fault {
    /// Returns the machines that the fault names.
    pub fn machines(&self) -> Vec<&String> {
        match self {
            Self::Kill { machine, .. }
            | Self::Stop { machine, .. }
            | Self::LoseDisk { machine, .. }
            | Self::Replace { machine, .. }
            | Self::KillOnceRepaired { machine, .. }
            | Self::Freeze { machine, .. }
            | Self::Cut { machine, .. }
            | Self::LossyLinks { machine, .. }
            | Self::LateOrders { machine, .. }
            | Self::ClockStep { machine, .. }
            | Self::KillRunner { machine, .. }
            | Self::DrainRunner { machine, .. }
            | Self::Misbehave { machine, .. } => vec![machine],
            Self::CutOneWay { from, to, .. } => vec![from, to],
            Self::Split { machines, .. } | Self::LoseAtAcknowledgement { machines, .. } => {
                machines.iter().collect()
            }
            Self::KillCoordinators { .. }
            | Self::PowerLoss { .. }
            | Self::Weather { .. }
            | Self::RaceOperators
            | Self::ConfigurationStorm { .. }
            | Self::InvalidConfiguration
            | Self::CancelBatch { .. }
            | Self::Burst { .. } => Vec::new(),
        }
    }
}
