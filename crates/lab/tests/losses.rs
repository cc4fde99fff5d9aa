//! The table of lost credit: equal seeds give equal sums, and each cause is found
//! where it was brought about.

use lab::losses::account::{Accounts, Cause, account};
use lab::losses::table::{SeedLosses, render};
use lab::losses::{LossesArguments, losses};
use simulation::{Fault, Plan, PlannedFault};
use std::path::PathBuf;

fn calm(seeds: u64) -> LossesArguments {
    LossesArguments {
        seeds,
        first_seed: 7,
        plan: None,
        load_percent: 30,
        policy: Vec::new(),
        json: false,
    }
}

fn accounts(faults: Vec<PlannedFault>, load_percent: u32) -> Accounts {
    let mut plan = Plan::calm(3);
    plan.load_ms = 10_000;
    plan.fleet.load_percent = load_percent;
    plan.faults = faults;
    account(&simulation::run(&plan).unwrap())
}

fn lost_to(accounts: &Accounts, cause: Cause) -> f64 {
    let sums = SeedLosses::new(1, accounts);
    sums.causes.get(&cause).copied().unwrap_or(0.0) * 100.0 / sums.done.max(1) as f64
}

#[test]
fn equal_seeds_give_an_equal_table() {
    let first = render(&losses(&calm(2)).unwrap());
    let second = render(&losses(&calm(2)).unwrap());
    assert_eq!(first, second);
    assert!(
        first.contains("CAUSE") && first.contains("WINDOW"),
        "{first}"
    );
}

#[test]
fn a_job_loses_no_more_than_its_worth() {
    let accounts = accounts(Vec::new(), 100);
    assert!(accounts.jobs.len() > 50);
    for job in &accounts.jobs {
        let lost: f64 = job.lost.values().sum();
        assert!((0.0..=1.0 + 1e-9).contains(&lost), "{job:?}");
        assert!(job.lost.values().all(|part| *part >= 0.0));
    }
}

#[test]
fn jobs_wait_to_be_accepted_while_no_coordinator_is_up() {
    let down = PlannedFault {
        at_ms: 3_000,
        fault: Fault::KillCoordinators { down_ms: 3_000 },
    };
    let calm = lost_to(&accounts(Vec::new(), 40), Cause::Acceptance);
    let dark = lost_to(&accounts(vec![down], 40), Cause::Acceptance);
    assert!(dark > calm * 2.0, "{dark} against {calm}");
}

#[test]
fn two_policies_stand_side_by_side() {
    let folder = tempfile();
    let without = folder.join("without.toml");
    std::fs::write(&without, "[policy]\nshares = false\ngives_way = false\n").unwrap();
    let shipped = folder.join("shipped.toml");
    std::fs::write(&shipped, "zone = \"a\"\n").unwrap();
    let arguments = LossesArguments {
        policy: vec![shipped, without],
        ..calm(2)
    };
    let text = render(&losses(&arguments).unwrap());
    assert!(text.contains("seed by seed"), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn an_unknown_switch_is_an_error_that_names_the_file() {
    let folder = tempfile();
    let wrong = folder.join("wrong.toml");
    std::fs::write(&wrong, "[policy]\nmagic = true\n").unwrap();
    let arguments = LossesArguments {
        policy: vec![wrong],
        ..calm(1)
    };
    let error = losses(&arguments).unwrap_err().to_string();
    assert!(
        error.contains("wrong.toml") && error.contains("magic"),
        "{error}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// An empty folder of this test's own.
fn tempfile() -> PathBuf {
    let name = format!("losses-{}-{:x}", std::process::id(), rand::random::<u64>());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn the_days_of_the_examples_are_plans() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/days");
    for name in ["small", "grown", "large"] {
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
        let plan = Plan::parse(&text).unwrap();
        assert!(!plan.faults.is_empty(), "{name}");
    }
}
