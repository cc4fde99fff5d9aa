//! Execution of a plan, from an empty cluster to the checker's report.

use crate::cluster::{SimulatedCluster, TimedDecision};
use crate::event::Event;
use crate::fleet::build;
use crate::ids::Micros;
use crate::plan::{Fault, MAX_REPAIR_MS, Plan};
use checker::{Limits, Observation, Report, Violation, ViolationKind, check};
use serde::Serialize;
use sha2::{Digest, Sha256};
use types::Milliseconds;

/// Time within which the fleet must be in service after its start.
const FIRST_SERVICE_MICROS: Micros = 60_000_000;
/// Time that the simulation continues after the last job has ended.
const SETTLE_MICROS: Micros = 3_000_000;
/// Interval at which the simulation checks whether a phase has ended.
const CHECK_INTERVAL_MICROS: Micros = 250_000;

/// Result of a simulation.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The checker's report: violations and totals.
    pub report: Report,
    /// Observations of the simulation, in the order of time.
    pub history: Vec<Observation>,
    /// Decision logs of all leaders.
    #[serde(skip)]
    pub decisions: Vec<TimedDecision>,
    /// SHA-256 of the history in hex, the same for each simulation of a plan.
    pub digest: String,
    /// Number of events handled.
    pub events: u64,
    /// Failures outside the history, such as a daemon that cannot start.
    pub broken: Vec<String>,
    /// Duration of the simulation in virtual time.
    pub virtual_time: Milliseconds,
    /// Longest wait of a message that keeps leases and sessions alive for a busy
    /// coordinator; 0 if the plan sets no processor time.
    #[serde(rename = "longest_liveness_wait")]
    pub max_liveness_wait: Milliseconds,
}

impl Outcome {
    /// Returns whether the simulation has neither violations nor failures.
    pub fn is_good(&self) -> bool {
        self.report.violations.is_empty() && self.broken.is_empty()
    }
}

/// Runs a plan and checks its history.
///
/// # Errors
///
/// Fails if a name of the plan is not valid.
pub fn run(plan: &Plan) -> Result<Outcome, types::InvalidName> {
    let mut cluster = build(plan)?;
    if wait_for_service(&mut cluster) {
        let start = cluster.now;
        let heal_at = schedule_plan(&mut cluster, plan, start);
        while cluster.step(heal_at) {}
        finish_work(&mut cluster, plan);
    } else {
        cluster
            .failures
            .push("the fleet was not in service within 60 s".to_owned());
    }
    cluster.observe("run", checker::Event::Finished);
    Ok(check_run(cluster))
}

/// Steps until the first configuration is acknowledged, and for 1 s more, so that it reaches
/// all daemons. Returns false if that takes longer than [`FIRST_SERVICE_MICROS`].
fn wait_for_service(cluster: &mut SimulatedCluster) -> bool {
    while cluster.now < FIRST_SERVICE_MICROS {
        let until = cluster.now + CHECK_INTERVAL_MICROS;
        while cluster.step(until) {}
        if cluster.operators[0].known_version.0 > 0 {
            let settled_at = cluster.now + 1_000_000;
            while cluster.step(settled_at) {}
            let version = cluster.operators[0].known_version;
            let document = cluster.operators[0].document.clone();
            for operator in &mut cluster.operators {
                operator.known_version = version;
                operator.document = document.clone();
            }
            return true;
        }
    }
    false
}

/// Schedules the load and the faults. Returns the virtual time at which all faults end.
fn schedule_plan(cluster: &mut SimulatedCluster, plan: &Plan, start: Micros) -> Micros {
    cluster.load_until = start + plan.load_ms * 1_000;
    for caller in 0..cluster.callers.len() {
        cluster.schedule_in(0, Event::Arrival(caller));
    }
    let mut heal_at = cluster.load_until;
    for planned in &plan.faults {
        let at = start + planned.at_ms * 1_000;
        cluster.schedule(at, Event::Fault(planned.fault.clone()));
        heal_at = heal_at.max(at + fault_duration_ms(&planned.fault) * 1_000);
    }
    cluster.schedule(heal_at, Event::Heal);
    heal_at
}

/// Returns the maximum duration of a fault in milliseconds, up to the restart of the daemons
/// or runners that it stops; 0 for a fault without a duration.
pub fn fault_duration_ms(fault: &Fault) -> u64 {
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

/// Steps until all work has ended, for the plan's calm phase at most.
fn finish_work(cluster: &mut SimulatedCluster, plan: &Plan) {
    let deadline = cluster.now + plan.calm_ms * 1_000;
    while cluster.now < deadline {
        let until = cluster.now + CHECK_INTERVAL_MICROS;
        while cluster.step(until) {}
        let unfinished_jobs: usize = cluster
            .callers
            .iter()
            .map(|host| host.caller.unfinished())
            .sum();
        let has_open_change = cluster
            .operators
            .iter()
            .any(|host| host.open_change.is_some());
        if unfinished_jobs == 0 && !has_open_change {
            break;
        }
    }
    let until = cluster.now + SETTLE_MICROS;
    while cluster.step(until) {}
}

fn check_run(cluster: SimulatedCluster) -> Outcome {
    let mut report = check(&cluster.history, &Limits::default());
    for failure in &cluster.failures {
        report.violations.push(Violation {
            kind: ViolationKind::ServiceNotBack,
            at: Milliseconds(cluster.now / 1_000),
            detail: failure.clone(),
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
        events: cluster.handled_events,
        broken: cluster.failures,
        virtual_time: Milliseconds(cluster.now / 1_000),
        max_liveness_wait,
        decisions: cluster.decisions,
        history: cluster.history,
    }
}
