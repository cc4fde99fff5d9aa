//! A leader on a slow processor, under a load that exceeds the capacity of its runners many
//! times. Guards against messages that renew leases and sessions waiting behind other work,
//! which makes an overloaded leader lose its sessions. All work must end.

use simulation::{Fault, Mutation, Outcome, Plan, PlannedFault, Processing, run};
use types::Milliseconds;

/// Session lease of the simulated fleet.
const SESSION_LEASE: Milliseconds = Milliseconds(1_500);

/// Returns a plan of a large fleet under a burst, with a slow processor of the leader.
fn overload_plan(seed: u64) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.load_ms = 8_000;
    plan.calm_ms = 240_000;
    plan.fleet.media_runners = 60;
    plan.fleet.documents_runners = 60;
    plan.fleet.load_percent = 400;
    plan.processing = Processing {
        nanos_per_scan: 2_000,
        micros_per_input: 60,
        micros_per_step: 100,
        single_queue: false,
    };
    let burst = |caller| PlannedFault {
        at_ms: 1_000,
        fault: Fault::Burst {
            caller,
            times: 6,
            for_ms: 4_000,
        },
    };
    plan.faults = vec![burst(0), burst(1)];
    plan
}

fn print_result(name: &str, outcome: &Outcome) {
    println!(
        "{name}: longest liveness wait {}, {} jobs done, {} violations",
        outcome.max_liveness_wait,
        outcome.report.done_jobs,
        outcome.report.violations.len()
    );
}

#[test]
fn overloaded_leader_renews_sessions_in_time() {
    for seed in [61, 62] {
        let outcome = run(&overload_plan(seed)).unwrap();
        print_result("lanes and bounded scans", &outcome);
        assert!(outcome.is_good(), "{:#?}", outcome.report.violations);
        let waited = outcome.max_liveness_wait;
        assert!(waited.0 * 5 < SESSION_LEASE.0, "seed {seed}: {waited}");
    }
}

// The plan violates a guarantee under these two seeds and under 4 of the 12 seeds from 61
// to 72. The long wait occurs under each of them.
#[test]
fn overloaded_leader_with_single_queue_and_full_scans_violates_guarantees() {
    for seed in [64, 66] {
        let mut plan = overload_plan(seed);
        plan.processing.single_queue = true;
        plan.mutation = Some(Mutation::ScanAll);
        let outcome = run(&plan).unwrap();
        print_result("single queue, full scans", &outcome);
        assert!(!outcome.is_good(), "seed {seed}: no violation");
        let waited = outcome.max_liveness_wait;
        assert!(waited.0 * 3 > SESSION_LEASE.0, "seed {seed}: {waited}");
    }
}
