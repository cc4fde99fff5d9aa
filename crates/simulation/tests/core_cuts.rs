//! The core cut into halves, and a minority that missed what was acknowledged while
//! the others are lost or dark: nothing acknowledged is shown in an older state.

use simulation::{Fault, Plan, PlannedFault, run_plan};

const SEEDS: std::ops::Range<u64> = 5_200..5_206;

fn names(numbers: &[usize]) -> Vec<String> {
    let names = numbers.iter().map(|number| format!("coordinator-{number}"));
    names.collect()
}

fn day(seed: u64, faults: Vec<(u64, Fault)>) -> Plan {
    let mut plan = Plan::calm(seed);
    plan.load_ms = 20_000;
    plan.calm_ms = 60_000;
    plan.fleet.load_percent = 20;
    plan.fleet.coordinators = 5;
    let planned = |(at_ms, fault)| PlannedFault { at_ms, fault };
    plan.faults = faults.into_iter().map(planned).collect();
    plan
}

fn assert_kept(faults: impl Fn(usize) -> Vec<(u64, Fault)>) {
    for seed in SEEDS {
        let first = usize::try_from(seed % 5).unwrap();
        let result = run_plan(&day(seed, faults(first)));
        let violations = &result.report.violations;
        assert!(result.is_good(), "seed {seed}: {violations:#?}");
        assert!(result.report.done_jobs > 20, "seed {seed}");
    }
}

#[test]
fn halves_of_the_core_cut_apart_while_operators_race() {
    assert_kept(|first| {
        let half = names(&[first, (first + 1) % 5]);
        vec![
            (
                5_000,
                Fault::Split {
                    machines: half,
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
fn a_minority_that_missed_changes_does_not_serve_while_the_others_are_lost_or_dark() {
    assert_kept(|first| {
        let behind = names(&[first, (first + 1) % 5]);
        let others = names(&[(first + 2) % 5, (first + 3) % 5, (first + 4) % 5]);
        let dark = |machine: &String| Fault::Kill {
            machine: machine.clone(),
            down_ms: 5_000,
        };
        vec![
            (
                5_000,
                Fault::Split {
                    machines: behind,
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
            (9_000, dark(&others[1])),
            (9_000, dark(&others[2])),
        ]
    });
}
