//! Fault plans: data that a person can write, and the planner draws.

use crate::Mutation;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A second loss waits this long for a repair.
pub const MAX_REPAIR_MS: u64 = 15_000;

/// A whole run: seed, sizes, times and faults.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Seed of every draw in the run.
    pub seed: u64,
    /// Machines and load.
    #[serde(default)]
    pub fleet: FleetSize,
    /// Callers send new jobs for this long.
    #[serde(default = "default_load_ms")]
    pub load_ms: u64,
    /// Most time after the load in which all work must end.
    #[serde(default = "default_calm_ms")]
    pub calm_ms: u64,
    /// What the work of coordinators costs; nothing unless the plan says so.
    #[serde(default)]
    pub processing: Processing,
    /// Which mechanisms of placement decide.
    #[serde(default)]
    pub policy: scheduler::Policy,
    /// A degraded leader transfers leadership.
    #[serde(default = "default_gives_way")]
    #[serde(rename = "gives_way")]
    pub transfer_when_degraded: bool,
    /// A mechanism turned off, for proofs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub mutation: Option<Mutation>,
    /// Faults in order of time; times count from the fleet's first service.
    #[serde(default)]
    pub faults: Vec<PlannedFault>,
}

/// Callers send new jobs for this long unless the plan says otherwise.
pub const DEFAULT_LOAD_MS: u64 = 20_000;
/// Most time after the load in which all work must end.
pub const DEFAULT_CALM_MS: u64 = 120_000;

fn default_gives_way() -> bool {
    true
}

fn default_load_ms() -> u64 {
    DEFAULT_LOAD_MS
}

fn default_calm_ms() -> u64 {
    DEFAULT_CALM_MS
}

/// Machines and load of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Coordinators.
    pub coordinators: usize,
    /// Gateways.
    pub gateways: usize,
    /// Runners of the first pool, each with an agent.
    #[serde(rename = "stills_runners")]
    pub media_runners: usize,
    /// Runners of the second pool, each with an agent.
    pub documents_runners: usize,
    /// Load in percent of the brief's.
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

/// What the work of coordinators costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processing {
    /// A look of the scheduler.
    #[serde(rename = "nanos_per_look")]
    pub nanos_per_scan: u64,
    /// An input of any kind.
    pub micros_per_input: u64,
    /// A step, whatever it takes in.
    pub micros_per_step: u64,
    /// One message a step, in the order of arrival: the loop as it was before
    /// messages had lanes. For proofs.
    pub single_queue: bool,
}

impl Processing {
    /// Time that a step takes, in microseconds.
    pub fn cost_micros(&self, scan_cost: u64, inputs: u64) -> u64 {
        scan_cost.saturating_mul(self.nanos_per_scan) / 1_000
            + inputs.saturating_mul(self.micros_per_input)
            + self.micros_per_step
    }
}

/// A fault with its moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedFault {
    /// Milliseconds after the fleet's first service.
    pub at_ms: u64,
    /// What is done.
    #[serde(flatten)]
    pub fault: Fault,
}

/// What can be done to the fleet. Machines are named `coordinator-N`,
/// `gateway-N` and `side-N`; a side machine carries an agent and a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Hard kill of the daemon on a machine.
    Kill {
        /// The machine.
        machine: String,
        /// Time until it is started again.
        down_ms: u64,
    },
    /// Polite stop of the daemon on a machine.
    Stop {
        /// The machine.
        machine: String,
        /// Time until it is started again.
        down_ms: u64,
    },
    /// Hard kill of all coordinators at once.
    KillCoordinators {
        /// Time until they are started again.
        down_ms: u64,
    },
    /// Every machine with a disk loses power: what was not synced is gone.
    PowerLoss {
        /// Time until they are started again.
        down_ms: u64,
    },
    /// A coordinator is killed and comes back with an empty disk.
    LoseDisk {
        /// The machine.
        machine: String,
        /// Time until it is started again.
        down_ms: u64,
    },
    /// A coordinator is gone for good; an empty one starts elsewhere.
    Replace {
        /// The machine.
        machine: String,
        /// Time until the new one is started.
        down_ms: u64,
    },
    /// Waits until the cluster is whole again, all its voters up, and then
    /// takes a coordinator: the second loss right after a repair.
    KillOnceRepaired {
        /// The machine.
        machine: String,
        /// Time between the repair and the loss.
        after_ms: u64,
        /// Time until it is started again.
        down_ms: u64,
        /// Whether its disk is empty then.
        loses_disk: bool,
    },
    /// As soon as something is acknowledged, some coordinators lose their disks
    /// and, in the same moment, all others lose power.
    LoseAtAcknowledgement {
        /// Of what.
        of: Acknowledgement,
        /// The machines whose disks are lost.
        machines: Vec<String>,
        /// Time until all are started again.
        down_ms: u64,
    },
    /// A machine stands still and wakes; its clocks have gone on.
    Freeze {
        /// The machine.
        machine: String,
        /// For how long.
        for_ms: u64,
    },
    /// A machine is cut off from all others, both ways.
    Cut {
        /// The machine.
        machine: String,
        /// For how long.
        for_ms: u64,
    },
    /// Nothing gets from one machine to another; the way back is open.
    CutOneWay {
        /// Sender.
        from: String,
        /// Receiver.
        to: String,
        /// For how long.
        for_ms: u64,
    },
    /// Some machines are cut off from the rest together.
    Split {
        /// The machines on one side.
        machines: Vec<String>,
        /// For how long.
        for_ms: u64,
    },
    /// The links of a machine lose packets; messages come late, in order.
    LossyLinks {
        /// The machine.
        machine: String,
        /// Messages in a thousand whose packet is lost.
        lost_per_thousand: u32,
        /// Time until a lost packet comes again.
        wait_ms: u64,
        /// How long.
        for_ms: u64,
    },
    /// The whole network loses, doubles and delays.
    Weather {
        /// Messages lost in a thousand.
        loss_per_thousand: u32,
        /// Messages doubled in a thousand.
        double_per_thousand: u32,
        /// Extra delay, up to this.
        delay_ms: u64,
        /// For how long.
        for_ms: u64,
    },
    /// Orders to one runner, and their answers, come late or never.
    LateOrders {
        /// The side machine.
        machine: String,
        /// Extra delay, up to this.
        delay_ms: u64,
        /// Orders or answers lost in a thousand.
        loss_per_thousand: u32,
        /// For how long.
        for_ms: u64,
    },
    /// The wall clock of a machine steps. Start times are judged by the
    /// leader's clock: coordinators may step by little only.
    ClockStep {
        /// The machine.
        machine: String,
        /// By how much.
        by_ms: i64,
    },
    /// A runner process is killed with all its runs.
    KillRunner {
        /// The side machine.
        machine: String,
        /// Time until it is started again.
        down_ms: u64,
    },
    /// A runner says that it leaves, ends its work, and comes back later.
    DrainRunner {
        /// The side machine.
        machine: String,
        /// Time until it is stopped and started again.
        down_ms: u64,
    },
    /// A runner misbehaves.
    Misbehave {
        /// The side machine.
        machine: String,
        /// How.
        behaviour: Behaviour,
        /// For how long.
        for_ms: u64,
    },
    /// Both operators send a configuration under the same version.
    RaceOperators,
    /// An operator sends many configurations one after the other.
    ConfigurationStorm {
        /// How many.
        count: u32,
    },
    /// An operator sends a configuration that must be rejected.
    InvalidConfiguration,
    /// Callers cancel some of their unfinished jobs at once.
    CancelBatch {
        /// How many.
        count: u32,
    },
    /// One caller sends many times its usual load.
    Burst {
        /// Number of the caller.
        caller: usize,
        /// Factor.
        times: u32,
        /// For how long.
        for_ms: u64,
    },
}

/// What is acknowledged to a caller or an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Acknowledgement {
    /// A submit.
    Submit,
    /// A cancel.
    Cancel,
    /// A configuration, or changes to one.
    Configuration,
}

/// How a runner misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Behaviour {
    /// Fails half of what it starts.
    FailsHalf,
    /// Fails everything.
    FailsAll,
    /// Takes four times as long.
    Slow,
    /// Lets tasks stand still.
    Stuck,
}

/// A plan that cannot be read.
#[derive(Debug, Error)]
pub enum PlanError {
    /// Not TOML of this shape.
    #[error("not a fault plan: {0}")]
    Parse(#[from] toml::de::Error),
    /// Not writable as TOML.
    #[error("the plan cannot be written: {0}")]
    Write(#[from] toml::ser::Error),
    /// A machine that the fleet does not have.
    #[error("fault {position}: the fleet has no machine {machine}")]
    UnknownMachine {
        /// Position of the fault, from 1.
        position: usize,
        /// The name.
        machine: String,
    },
}

impl Plan {
    /// A plan without faults.
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
    /// Names the place of the plan that cannot be read.
    pub fn parse(text: &str) -> Result<Self, PlanError> {
        let plan: Self = toml::from_str(text)?;
        plan.check_machines()?;
        Ok(plan)
    }

    /// The plan as a person can write it.
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
    /// Names of all machines.
    pub fn machine_names(&self) -> Vec<String> {
        let sides = self.media_runners + self.documents_runners;
        let coordinators = (0..self.coordinators).map(|n| format!("coordinator-{n}"));
        let gateways = (0..self.gateways).map(|n| format!("gateway-{n}"));
        let sides = (0..sides).map(|n| format!("side-{n}"));
        coordinators.chain(gateways).chain(sides).collect()
    }
}

impl Fault {
    /// Machines the fault names.
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
