//! Largest tolerated loss right after an acknowledgement: a minority of the coordinators
//! lose their disks, and at the same time all others lose power. Guards against the loss of
//! an acknowledged change that was not yet synced on a majority.

use checker::ViolationKind;
use simulation::{Acknowledgement, Fault, Mutation, Plan, PlannedFault, run_plan};

const SEEDS: std::ops::Range<u64> = 4_100..4_106;
/// Number of seeds of which one must show the violation when a mechanism is disabled.
const MUTATION_SEEDS: u64 = 20;
/// From this time on the next acknowledgement triggers the loss.
const LOSS_AT_MS: u64 = 9_000;

/// Returns a plan with `coordinators` coordinators of which `disks` lose their disks.
fn loss_plan(seed: u64, coordinators: usize, disks: usize, of: Acknowledgement) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.load_ms = 16_000;
    plan.calm_ms = 60_000;
    plan.fleet.load_percent = 20;
    plan.fleet.coordinators = coordinators;
    let first = usize::try_from(seed).unwrap();
    let machines = (0..disks).map(|n| format!("coordinator-{}", (first + n) % coordinators));
    let loss = Fault::LoseAtAcknowledgement {
        of,
        machines: machines.collect(),
        down_ms: 900,
    };
    let trigger = match of {
        Acknowledgement::Submit => None,
        Acknowledgement::Cancel => Some(Fault::CancelBatch { count: 10 }),
        Acknowledgement::Configuration => Some(Fault::ConfigurationStorm { count: 4 }),
    };
    let faults = std::iter::once(loss).chain(trigger);
    plan.faults = faults
        .map(|fault| PlannedFault {
            at_ms: LOSS_AT_MS,
            fault,
        })
        .collect();
    plan
}

fn assert_no_violation(coordinators: usize, disks: usize, of: Acknowledgement) {
    for seed in SEEDS {
        let plan = loss_plan(seed, coordinators, disks, of);
        let result = run_plan(&plan);
        let violations = &result.report.violations;
        assert!(result.is_good(), "seed {seed}, {of:?}: {violations:#?}");
        assert!(result.report.done_jobs > 20, "seed {seed}, {of:?}");
    }
}

#[test]
fn acknowledged_submit_survives_loss_of_one_disk_of_three() {
    assert_no_violation(3, 1, Acknowledgement::Submit);
}

#[test]
fn acknowledged_submit_survives_loss_of_two_disks_of_five() {
    assert_no_violation(5, 2, Acknowledgement::Submit);
}

#[test]
fn acknowledged_configuration_survives_loss_of_one_disk_of_three() {
    assert_no_violation(3, 1, Acknowledgement::Configuration);
}

#[test]
fn acknowledged_configuration_survives_loss_of_two_disks_of_five() {
    assert_no_violation(5, 2, Acknowledgement::Configuration);
}

#[test]
fn acknowledged_cancel_survives_loss_of_one_disk_of_three() {
    assert_no_violation(3, 1, Acknowledgement::Cancel);
}

#[test]
fn acknowledged_cancel_survives_loss_of_two_disks_of_five() {
    assert_no_violation(5, 2, Acknowledgement::Cancel);
}

#[test]
fn acknowledged_submit_is_lost_when_it_is_not_synced_first() {
    let lost = (0..MUTATION_SEEDS).any(|seed| {
        let mut plan = loss_plan(SEEDS.start + seed, 3, 1, Acknowledgement::Submit);
        plan.mutation = Some(Mutation::AcknowledgeBeforeSync);
        run_plan(&plan).breaks(ViolationKind::LostJob)
    });
    assert!(lost, "no seed lost an acknowledged job");
}
