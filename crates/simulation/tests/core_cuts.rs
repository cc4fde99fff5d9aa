//! Partitions between the coordinators. Guards against a minority that missed acknowledged
//! changes and answers with an older state, also while the other coordinators are down or
//! lose a disk.

use simulation::{Fault, Plan, PlannedFault, run_plan};

const SEEDS: std::ops::Range<u64> = 5_200..5_206;

fn coordinator_names(numbers: &[usize]) -> Vec<String> {
    let names = numbers.iter().map(|number| format!("coordinator-{number}"));
    names.collect()
}

fn faulty_plan(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.load_ms = 20_000;
    plan.calm_ms = 60_000;
    plan.fleet.load_percent = 20;
    plan.fleet.coordinators = 5;
    let planned = |(at_ms, fault)| PlannedFault { at_ms, fault };
    plan.faults = faults.into_iter().map(planned).collect();
    plan
}

fn assert_no_violation(faults: impl Fn(usize) -> Vec<(u64, Fault)>) {
    for seed in SEEDS {
        let first = usize::try_from(seed % 5).unwrap();
        let result = run_plan(&faulty_plan(seed, faults(first)));
        let violations = &result.report.violations;
        assert!(result.is_good(), "seed {seed}: {violations:#?}");
        assert!(result.report.done_jobs > 20, "seed {seed}");
    }
}

#[test]
fn partitioned_coordinators_violate_no_guarantee_while_operators_race() {
    assert_no_violation(|first| {
        let minority = coordinator_names(&[first, (first + 1) % 5]);
        vec![
            (
                5_000,
                Fault::Split {
                    machines: minority,
                    for_ms: 5_000,
                },
            ),
            (5_500, Fault::RaceOperators),
            (6_500, Fault::ConfigurationStorm { count: 3 }),
            (7_000, Fault::CancelBatch { count: 10 }),
        ]
    });
}

#[test]
fn outdated_minority_does_not_serve_while_other_coordinators_are_down() {
    assert_no_violation(|first| {
        let outdated = coordinator_names(&[first, (first + 1) % 5]);
        let others = coordinator_names(&[(first + 2) % 5, (first + 3) % 5, (first + 4) % 5]);
        let kill = |machine: &String| Fault::Kill {
            machine: machine.clone(),
            down_ms: 5_000,
        };
        vec![
            (
                5_000,
                Fault::Split {
                    machines: outdated,
                    for_ms: 5_000,
                },
            ),
            (6_000, Fault::ConfigurationStorm { count: 4 }),
            (7_000, Fault::CancelBatch { count: 10 }),
            (
                9_000,
                Fault::LoseDisk {
                    machine: others[0].clone(),
                    down_ms: 600,
                },
            ),
            (9_000, kill(&others[1])),
            (9_000, kill(&others[2])),
        ]
    });
}
