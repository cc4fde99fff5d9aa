//! One run of a plan, from an empty fleet to the checker's report.

use crate::event::Event;
use crate::fleet::build;
use crate::network::Micros;
use crate::plan::{Fault, Plan};
use crate::world::{TimedDecision, World};
use checker::{Limits, Observation, Report, Violation, ViolationKind, check};
use serde::Serialize;
use sha2::{Digest, Sha256};
use types::Milliseconds;

/// The fleet must be in service this long after it is started.
const FIRST_SERVICE_MICROS: Micros = 60_000_000;
/// Time the run goes on after the last job ended.
const AFTERGLOW_MICROS: Micros = 3_000_000;
/// A second loss waits this long for a repair.
pub const MAX_REPAIR_MS: u64 = 15_000;
/// Time between two looks whether the run is over.
const CHECK_MICROS: Micros = 250_000;

/// What a run gave.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The checker's findings.
    pub report: Report,
    /// What was seen.
    pub history: Vec<Observation>,
    /// The decision log of all leaders.
    #[serde(skip)]
    pub decisions: Vec<TimedDecision>,
    /// SHA-256 of the history, in hex: equal for equal runs.
    pub digest: String,
    /// Events handled.
    pub events: u64,
    /// Daemons that could not go on, and why.
    pub broken: Vec<String>,
    /// Virtual time of the run.
    pub virtual_time: Milliseconds,
    /// Longest wait of a message that keeps leases and sessions alive, where the plan
    /// charges for the work of coordinators.
    #[serde(rename = "longest_liveness_wait")]
    pub max_liveness_wait: Milliseconds,
}

impl Outcome {
    /// Returns whether no promise broke and no daemon gave up.
    pub fn is_good(&self) -> bool {
        self.report.violations.is_empty() && self.broken.is_empty()
    }
}

/// Runs a plan.
///
/// # Errors
///
/// Fails if a name of the plan is not valid.
pub fn run(plan: &Plan) -> Result<Outcome, types::InvalidName> {
    let mut world = build(plan)?;
    if reach_service(&mut world) {
        let start = world.now;
        let heal_at = schedule_plan(&mut world, plan, start);
        while world.step(heal_at) {}
        finish_work(&mut world, plan);
    } else {
        world
            .broken
            .push("the fleet never came into service".to_owned());
    }
    world.observe("run", checker::Event::Finished);
    Ok(conclude(world))
}

/// Steps until the first configuration stands everywhere.
fn reach_service(world: &mut World) -> bool {
    while world.now < FIRST_SERVICE_MICROS {
        let until = world.now + CHECK_MICROS;
        while world.step(until) {}
        if world.operators[0].known.0 > 0 {
            let settle = world.now + 1_000_000;
            while world.step(settle) {}
            let known = world.operators[0].known;
            let document = world.operators[0].document.clone();
            for operator in &mut world.operators {
                operator.known = known;
                operator.document = document.clone();
            }
            return true;
        }
    }
    false
}

/// Schedules load and faults; gives the moment at which all is healed.
fn schedule_plan(world: &mut World, plan: &Plan, start: Micros) -> Micros {
    world.load_until = start + plan.load_ms * 1_000;
    for caller in 0..world.callers.len() {
        world.schedule_in(0, Event::Arrival(caller));
    }
    let mut heal_at = world.load_until;
    for planned in &plan.faults {
        let at = start + planned.at_ms * 1_000;
        world.schedule(at, Event::Fault(planned.fault.clone()));
        heal_at = heal_at.max(at + lasts_ms(&planned.fault) * 1_000);
    }
    world.schedule(heal_at, Event::Heal);
    heal_at
}

/// How long a fault lasts.
pub fn lasts_ms(fault: &Fault) -> u64 {
    match fault {
        Fault::Kill { down_ms, .. }
        | Fault::KillCoordinators { down_ms }
        | Fault::PowerLoss { down_ms }
        | Fault::LoseAtAcknowledgement { down_ms, .. }
        | Fault::LoseDisk { down_ms, .. }
        | Fault::Replace { down_ms, .. }
        | Fault::KillRunner { down_ms, .. } => *down_ms,
        Fault::Stop { down_ms, .. } => down_ms + 5_000,
        Fault::KillOnceRepaired {
            after_ms, down_ms, ..
        } => MAX_REPAIR_MS + after_ms + down_ms,
        Fault::DrainRunner { down_ms, .. } => down_ms + 8_000,
        Fault::Freeze { for_ms, .. }
        | Fault::Cut { for_ms, .. }
        | Fault::CutOneWay { for_ms, .. }
        | Fault::Split { for_ms, .. }
        | Fault::LossyLinks { for_ms, .. }
        | Fault::Weather { for_ms, .. }
        | Fault::LateOrders { for_ms, .. }
        | Fault::Misbehave { for_ms, .. }
        | Fault::Burst { for_ms, .. } => *for_ms,
        Fault::ClockStep { .. }
        | Fault::RaceOperators
        | Fault::ConfigurationStorm { .. }
        | Fault::InvalidConfiguration
        | Fault::CancelBatch { .. } => 0,
    }
}

/// Lets all work end, in at most the plan's calm time.
fn finish_work(world: &mut World, plan: &Plan) {
    let give_up = world.now + plan.calm_ms * 1_000;
    while world.now < give_up {
        let until = world.now + CHECK_MICROS;
        while world.step(until) {}
        let open: usize = world
            .callers
            .iter()
            .map(|host| host.caller.unfinished())
            .sum();
        let orders = world.operators.iter().any(|host| host.open_order.is_some());
        if open == 0 && !orders {
            break;
        }
    }
    let until = world.now + AFTERGLOW_MICROS;
    while world.step(until) {}
}

fn conclude(world: World) -> Outcome {
    let mut report = check(&world.history, &Limits::default());
    for problem in &world.broken {
        report.violations.push(Violation {
            kind: ViolationKind::ServiceNotBack,
            at: Milliseconds(world.now / 1_000),
            detail: problem.clone(),
        });
    }
    let mut hasher = Sha256::new();
    for observation in &world.history {
        hasher.update(format!("{observation:?}").as_bytes());
    }
    let digest = hasher
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let max_liveness_wait = world.max_liveness_wait();
    Outcome {
        report,
        digest,
        events: world.handled,
        broken: world.broken,
        virtual_time: Milliseconds(world.now / 1_000),
        max_liveness_wait,
        decisions: world.decisions,
        history: world.history,
    }
}
