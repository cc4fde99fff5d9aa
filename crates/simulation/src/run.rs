//! One run of a plan, from an empty fleet to the checker's report.

use crate::cluster::{SimulatedCluster, TimedDecision};
use crate::event::Event;
use crate::fleet::build;
use crate::ids::Micros;
use crate::plan::{Fault, MAX_REPAIR_MS, Plan};
use checker::{Limits, Observation, Report, Violation, ViolationKind, check};
use serde::Serialize;
use sha2::{Digest, Sha256};
use types::Milliseconds;

/// The fleet must be in service this long after it is started.
const FIRST_SERVICE_MICROS: Micros = 60_000_000;
/// Time the run goes on after the last job ended.
const AFTERGLOW_MICROS: Micros = 3_000_000;
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
    let mut cluster = build(plan)?;
    if reach_service(&mut cluster) {
        let start = cluster.now;
        let heal_at = schedule_plan(&mut cluster, plan, start);
        while cluster.step(heal_at) {}
        finish_work(&mut cluster, plan);
    } else {
        cluster
            .broken
            .push("the fleet never came into service".to_owned());
    }
    cluster.observe("run", checker::Event::Finished);
    Ok(conclude(cluster))
}

/// Steps until the first configuration stands everywhere.
fn reach_service(cluster: &mut SimulatedCluster) -> bool {
    while cluster.now < FIRST_SERVICE_MICROS {
        let until = cluster.now + CHECK_MICROS;
        while cluster.step(until) {}
        if cluster.operators[0].known.0 > 0 {
            let settle = cluster.now + 1_000_000;
            while cluster.step(settle) {}
            let known = cluster.operators[0].known;
            let document = cluster.operators[0].document.clone();
            for operator in &mut cluster.operators {
                operator.known = known;
                operator.document = document.clone();
            }
            return true;
        }
    }
    false
}

/// Schedules load and faults; gives the moment at which all is healed.
fn schedule_plan(cluster: &mut SimulatedCluster, plan: &Plan, start: Micros) -> Micros {
    cluster.load_until = start + plan.load_ms * 1_000;
    for caller in 0..cluster.callers.len() {
        cluster.schedule_in(0, Event::Arrival(caller));
    }
    let mut heal_at = cluster.load_until;
    for planned in &plan.faults {
        let at = start + planned.at_ms * 1_000;
        cluster.schedule(at, Event::Fault(planned.fault.clone()));
        heal_at = heal_at.max(at + lasts_ms(&planned.fault) * 1_000);
    }
    cluster.schedule(heal_at, Event::Heal);
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
fn finish_work(cluster: &mut SimulatedCluster, plan: &Plan) {
    let give_up = cluster.now + plan.calm_ms * 1_000;
    while cluster.now < give_up {
        let until = cluster.now + CHECK_MICROS;
        while cluster.step(until) {}
        let open: usize = cluster
            .callers
            .iter()
            .map(|host| host.caller.unfinished())
            .sum();
        let orders = cluster
            .operators
            .iter()
            .any(|host| host.open_order.is_some());
        if open == 0 && !orders {
            break;
        }
    }
    let until = cluster.now + AFTERGLOW_MICROS;
    while cluster.step(until) {}
}

fn conclude(cluster: SimulatedCluster) -> Outcome {
    let mut report = check(&cluster.history, &Limits::default());
    for problem in &cluster.broken {
        report.violations.push(Violation {
            kind: ViolationKind::ServiceNotBack,
            at: Milliseconds(cluster.now / 1_000),
            detail: problem.clone(),
        });
    }
    let mut hasher = Sha256::new();
    for observation in &cluster.history {
        hasher.update(format!("{observation:?}").as_bytes());
    }
    let digest = hasher
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let max_liveness_wait = cluster.max_liveness_wait();
    Outcome {
        report,
        digest,
        events: cluster.handled,
        broken: cluster.broken,
        virtual_time: Milliseconds(cluster.now / 1_000),
        max_liveness_wait,
        decisions: cluster.decisions,
        history: cluster.history,
    }
}
