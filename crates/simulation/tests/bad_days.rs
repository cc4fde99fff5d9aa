//! The five kinds of failures that users reported, simulated in a whole fleet under
//! several seeds: faults of callers, runners, daemons, network and operators. No guarantee
//! may be violated, and jobs must be done.

use simulation::{Behaviour, Fault, Plan, PlannedFault, run_plan};

const SEEDS: std::ops::Range<u64> = 700..704;
const LOAD_MS: u64 = 24_000;

fn faulty_plan(seed: u64, faults: &[(u64, Fault)]) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.load_ms = LOAD_MS;
    plan.fleet.load_percent = 20;
    plan.faults = faults
        .iter()
        .map(|(at_ms, fault)| PlannedFault {
            at_ms: *at_ms,
            fault: fault.clone(),
        })
        .collect();
    plan
}

fn assert_no_violation(kind: &str, faults: &[(u64, Fault)]) {
    for seed in SEEDS {
        let result = run_plan(&faulty_plan(seed, faults));
        let violations = &result.report.violations;
        assert!(result.is_good(), "{kind}, seed {seed}: {violations:#?}");
        let jobs = result.report.done_jobs;
        assert!(jobs > 20, "{kind}, seed {seed}: {jobs} jobs");
    }
}

fn machine(name: &str) -> String {
    name.to_owned()
}

#[test]
fn submit_bursts_and_cancels_violate_no_guarantee() {
    assert_no_violation(
        "users",
        &[
            (
                2_000,
                Fault::Burst {
                    caller: 0,
                    times: 8,
                    for_ms: 6_000,
                },
            ),
            (4_000, Fault::CancelBatch { count: 20 }),
            (
                9_000,
                Fault::Burst {
                    caller: 1,
                    times: 8,
                    for_ms: 6_000,
                },
            ),
            (10_000, Fault::CancelBatch { count: 40 }),
        ],
    );
}

#[test]
fn failing_stuck_slow_and_draining_runners_violate_no_guarantee() {
    let misbehave = |name: &str, behaviour| Fault::Misbehave {
        machine: machine(name),
        behaviour,
        for_ms: 8_000,
    };
    assert_no_violation(
        "runners",
        &[
            (2_000, misbehave("side-0", Behaviour::FailsAll)),
            (2_500, misbehave("side-5", Behaviour::Stuck)),
            (3_000, misbehave("side-1", Behaviour::Slow)),
            (
                4_000,
                Fault::LateOrders {
                    machine: machine("side-2"),
                    delay_ms: 9_000,
                    loss_per_thousand: 300,
                    for_ms: 6_000,
                },
            ),
            (
                5_000,
                Fault::DrainRunner {
                    machine: machine("side-6"),
                    down_ms: 4_000,
                },
            ),
            (
                12_000,
                Fault::KillRunner {
                    machine: machine("side-3"),
                    down_ms: 3_000,
                },
            ),
        ],
    );
}

#[test]
fn daemon_crashes_disk_losses_and_freezes_violate_no_guarantee() {
    assert_no_violation(
        "daemons",
        &[
            (
                2_000,
                Fault::Kill {
                    machine: machine("coordinator-0"),
                    down_ms: 1_500,
                },
            ),
            (
                5_000,
                Fault::LoseDisk {
                    machine: machine("coordinator-1"),
                    down_ms: 1_000,
                },
            ),
            (
                6_000,
                Fault::KillOnceRepaired {
                    machine: machine("coordinator-2"),
                    after_ms: 10,
                    down_ms: 1_000,
                    loses_disk: true,
                },
            ),
            (
                14_000,
                Fault::Freeze {
                    machine: machine("coordinator-0"),
                    for_ms: 3_000,
                },
            ),
            (
                15_000,
                Fault::Freeze {
                    machine: machine("side-2"),
                    for_ms: 21_000,
                },
            ),
            (19_000, Fault::PowerLoss { down_ms: 2_000 }),
        ],
    );
}

#[test]
fn partitions_message_loss_and_duplication_violate_no_guarantee() {
    assert_no_violation(
        "network",
        &[
            (
                2_000,
                Fault::Weather {
                    loss_per_thousand: 100,
                    double_per_thousand: 100,
                    delay_ms: 200,
                    for_ms: 5_000,
                },
            ),
            (
                8_000,
                Fault::CutOneWay {
                    from: machine("coordinator-0"),
                    to: machine("coordinator-1"),
                    for_ms: 4_000,
                },
            ),
            (
                9_000,
                Fault::Cut {
                    machine: machine("side-4"),
                    for_ms: 25_000,
                },
            ),
            (
                13_000,
                Fault::Split {
                    machines: vec![machine("coordinator-2"), machine("side-1")],
                    for_ms: 6_000,
                },
            ),
        ],
    );
}

#[test]
fn configuration_races_during_leader_failures_violate_no_guarantee() {
    let kill = |name: &str| Fault::Kill {
        machine: machine(name),
        down_ms: 1_000,
    };
    assert_no_violation(
        "operators",
        &[
            (2_000, Fault::RaceOperators),
            (2_010, kill("coordinator-0")),
            (4_000, Fault::InvalidConfiguration),
            (5_000, Fault::ConfigurationStorm { count: 40 }),
            (6_000, Fault::RaceOperators),
            (6_020, kill("coordinator-1")),
            (9_000, Fault::ConfigurationStorm { count: 40 }),
            (9_500, Fault::PowerLoss { down_ms: 1_500 }),
            (13_000, Fault::RaceOperators),
        ],
    );
}
