//! Right after an acknowledgement as many disks are lost as may be, and in the same
//! moment all other coordinators lose power: what was acknowledged is still there.

use checker::ViolationKind;
use simulation::{Acknowledgement, Fault, Mutation, Plan, PlannedFault, run_plan};

const SEEDS: std::ops::Range<u64> = 4_100..4_106;
/// The moment is looked for in so many seeds where a mechanism is off.
const SEEDS_OF_MUTATIONS: u64 = 20;
const ARMED_AT_MS: u64 = 9_000;

/// A day with so many coordinators, of which so many lose their disks.
fn day(seed: u64, coordinators: usize, disks: usize, of: Acknowledgement) -> Plan {
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
    let asked = match of {
        Acknowledgement::Submit => None,
        Acknowledgement::Cancel => Some(Fault::CancelBatch { count: 10 }),
        Acknowledgement::Configuration => Some(Fault::ConfigurationStorm { count: 4 }),
    };
    let faults = std::iter::once(loss).chain(asked);
    plan.faults = faults
        .map(|fault| PlannedFault {
            at_ms: ARMED_AT_MS,
            fault,
        })
        .collect();
    plan
}

fn assert_kept(coordinators: usize, disks: usize, of: Acknowledgement) {
    for seed in SEEDS {
        let plan = day(seed, coordinators, disks, of);
        let result = run_plan(&plan);
        let violations = &result.report.violations;
        assert!(result.is_good(), "seed {seed}, {of:?}: {violations:#?}");
        assert!(result.report.done_jobs > 20, "seed {seed}, {of:?}");
    }
}

#[test]
fn after_a_submit_one_disk_of_three_is_lost() {
    assert_kept(3, 1, Acknowledgement::Submit);
}

#[test]
fn after_a_submit_two_disks_of_five_are_lost() {
    assert_kept(5, 2, Acknowledgement::Submit);
}

#[test]
fn after_an_update_one_disk_of_three_is_lost() {
    assert_kept(3, 1, Acknowledgement::Configuration);
}

#[test]
fn after_an_update_two_disks_of_five_are_lost() {
    assert_kept(5, 2, Acknowledgement::Configuration);
}

#[test]
fn after_a_cancel_one_disk_of_three_is_lost() {
    assert_kept(3, 1, Acknowledgement::Cancel);
}

#[test]
fn after_a_cancel_two_disks_of_five_are_lost() {
    assert_kept(5, 2, Acknowledgement::Cancel);
}

#[test]
fn without_the_sync_before_the_acknowledgement_it_is_lost() {
    let lost = (0..SEEDS_OF_MUTATIONS).any(|seed| {
        let mut plan = day(SEEDS.start + seed, 3, 1, Acknowledgement::Submit);
        plan.mutation = Some(Mutation::AcknowledgeBeforeSync);
        run_plan(&plan).breaks(ViolationKind::LostJob)
    });
    assert!(lost, "not noticed");
}
