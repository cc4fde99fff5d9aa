//! The links of one coordinator lose packets, each one's in a run of its own: a leader
//! there transfers leadership, fewer submits are late for it, and no promise breaks.

use checker::Event;
use simulation::{Fault, Outcome, Plan, PlannedFault, run};
use std::collections::BTreeMap;

const SEEDS: std::ops::Range<u64> = 40..43;
const COORDINATORS: usize = 5;
/// The links are bad for so long.
const SPELL_MS: u64 = 12_000;
/// An acknowledgement that takes longer is late: a lost packet takes 250 ms.
const LATE_MS: u64 = 200;

fn day(seed: u64, lossy: usize, transfer_when_degraded: bool) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.transfer_when_degraded = transfer_when_degraded;
    plan.fleet.coordinators = COORDINATORS;
    plan.load_ms = 2_000 + SPELL_MS;
    plan.fleet.load_percent = 40;
    plan.faults = vec![PlannedFault {
        at_ms: 2_000,
        fault: Fault::LossyLinks {
            machine: format!("coordinator-{lossy}"),
            lost_per_thousand: 30,
            wait_ms: 250,
            for_ms: SPELL_MS,
        },
    }];
    plan
}

/// Times from the first sending of a job to its acknowledgement, in milliseconds.
fn waits(outcome: &Outcome) -> Vec<u64> {
    let mut sent = BTreeMap::new();
    let mut waits = Vec::new();
    for observation in &outcome.history {
        match &observation.event {
            Event::SubmitSent { job, .. } => {
                sent.entry(job.clone()).or_insert(observation.at.0);
            }
            Event::SubmitAcknowledged { job } => {
                let begun = sent.get(job).copied().unwrap_or(observation.at.0);
                waits.push(observation.at.0 - begun);
            }
            _ => {}
        }
    }
    waits
}

fn late_in_hundred(transfer_when_degraded: bool) -> f64 {
    let (mut late, mut all) = (0, 0);
    for seed in SEEDS {
        for lossy in 0..COORDINATORS {
            let outcome = run(&day(seed, lossy, transfer_when_degraded)).unwrap();
            let violations = &outcome.report.violations;
            assert!(outcome.is_good(), "seed {seed}, {lossy}: {violations:#?}");
            let waits = waits(&outcome);
            late += waits.iter().filter(|wait| **wait >= LATE_MS).count();
            all += waits.len();
        }
    }
    late as f64 * 100.0 / all as f64
}

#[test]
fn fewer_submits_are_late_where_a_badly_placed_leader_gives_way() {
    let with = late_in_hundred(true);
    let without = late_in_hundred(false);
    println!("late in a hundred: {with:.2} with, {without:.2} without");
    assert!(with * 2.0 < without, "{with:.2} with, {without:.2} without");
}
