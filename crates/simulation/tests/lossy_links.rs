//! Packet loss on all links of one coordinator, with one run for each coordinator. Guards
//! against a leader that stays on such a machine and delays submits. With the transfer of
//! leadership fewer submits are late, and no guarantee is violated.

use checker::Event;
use simulation::{Fault, Outcome, Plan, PlannedFault, run};
use std::collections::BTreeMap;

const SEEDS: std::ops::Range<u64> = 40..43;
const COORDINATORS: usize = 5;
/// Duration of the packet loss.
const LOSS_MS: u64 = 12_000;
/// Wait for an acknowledgement from which on a submit counts as late. A lost packet delays
/// it by 250 ms.
const LATE_MS: u64 = 200;

fn lossy_plan(seed: u64, lossy: usize, transfer_when_degraded: bool) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.transfer_when_degraded = transfer_when_degraded;
    plan.fleet.coordinators = COORDINATORS;
    plan.load_ms = 2_000 + LOSS_MS;
    plan.fleet.load_percent = 40;
    plan.faults = vec![PlannedFault {
        at_ms: 2_000,
        fault: Fault::LossyLinks {
            machine: format!("coordinator-{lossy}"),
            lost_per_thousand: 30,
            wait_ms: 250,
            for_ms: LOSS_MS,
        },
    }];
    plan
}

/// Returns the times from the first submit of each job to its acknowledgement, in
/// milliseconds.
fn submit_waits(outcome: &Outcome) -> Vec<u64> {
    let mut sent = BTreeMap::new();
    let mut waits = Vec::new();
    for observation in &outcome.history {
        match &observation.event {
            Event::SubmitSent { job, .. } => {
                sent.entry(job.clone()).or_insert(observation.at.0);
            }
            Event::SubmitAcknowledged { job } => {
                let first_sent = sent.get(job).copied().unwrap_or(observation.at.0);
                waits.push(observation.at.0 - first_sent);
            }
            _ => {}
        }
    }
    waits
}

/// Returns the share of late submits over all runs, in percent.
fn late_percent(transfer_when_degraded: bool) -> f64 {
    let (mut late, mut all) = (0, 0);
    for seed in SEEDS {
        for lossy in 0..COORDINATORS {
            let outcome = run(&lossy_plan(seed, lossy, transfer_when_degraded)).unwrap();
            let violations = &outcome.report.violations;
            assert!(outcome.is_good(), "seed {seed}, {lossy}: {violations:#?}");
            let waits = submit_waits(&outcome);
            late += waits.iter().filter(|wait| **wait >= LATE_MS).count();
            all += waits.len();
        }
    }
    late as f64 * 100.0 / all as f64
}

#[test]
fn leadership_transfer_halves_late_submits_on_lossy_links() {
    let with = late_percent(true);
    let without = late_percent(false);
    println!("late submits: {with:.2} % with transfer, {without:.2} % without");
    assert!(with * 2.0 < without, "{with:.2} with, {without:.2} without");
}
