//! Lost credit of jobs: equal seeds give equal tables, no job loses more than its
//! credit, and an outage of all coordinators counts as delay of acceptance.

use lab::losses::account::{Accounts, Cause, account};
use lab::losses::table::{SeedLosses, render};
use lab::losses::{LossesArguments, losses};
use simulation::{Fault, Plan, PlannedFault};
use std::path::PathBuf;

fn calm_arguments(seeds: u64) -> LossesArguments {
    LossesArguments {
        seeds,
        first_seed: 7,
        plan: None,
        load_percent: 30,
        policy: Vec::new(),
        json: false,
    }
}

/// Simulates 10 s of load under these faults and returns the accounts of its jobs.
fn accounts(faults: Vec<PlannedFault>, load_percent: u32) -> Accounts {
    let mut plan = Plan::calm(3);
    plan.load_ms = 10_000;
    plan.fleet.load_percent = load_percent;
    plan.faults = faults;
    account(&simulation::run(&plan).unwrap())
}

/// Returns the credit lost to a cause, for each 100 jobs that are done.
fn lost_to(accounts: &Accounts, cause: Cause) -> f64 {
    let sums = SeedLosses::new(1, accounts);
    sums.causes.get(&cause).copied().unwrap_or(0.0) * 100.0 / sums.done.max(1) as f64
}

#[test]
fn equal_seeds_give_equal_tables() {
    let first = render(&losses(&calm_arguments(2)).unwrap());
    let second = render(&losses(&calm_arguments(2)).unwrap());
    assert_eq!(first, second);
    assert!(
        first.contains("CAUSE") && first.contains("WINDOW"),
        "{first}"
    );
}

#[test]
fn job_loses_at_most_its_credit() {
    let accounts = accounts(Vec::new(), 100);
    assert!(accounts.jobs.len() > 50);
    for job in &accounts.jobs {
        let lost: f64 = job.lost.values().sum();
        assert!((0.0..=1.0 + 1e-9).contains(&lost), "{job:?}");
        assert!(job.lost.values().all(|part| *part >= 0.0));
    }
}

#[test]
fn outage_of_all_coordinators_counts_as_acceptance_delay() {
    let down = PlannedFault {
        at_ms: 3_000,
        fault: Fault::KillCoordinators { down_ms: 3_000 },
    };
    let baseline = lost_to(&accounts(Vec::new(), 40), Cause::Acceptance);
    let outage = lost_to(&accounts(vec![down], 40), Cause::Acceptance);
    assert!(outage > baseline * 2.0, "{outage} vs. {baseline}");
}

#[test]
fn two_policies_are_compared_by_seed() {
    let folder = temporary_folder();
    let no_shares = folder.join("without.toml");
    std::fs::write(&no_shares, "[policy]\nshares = false\ngives_way = false\n").unwrap();
    let shipped = folder.join("shipped.toml");
    std::fs::write(&shipped, "zone = \"a\"\n").unwrap();
    let arguments = LossesArguments {
        policy: vec![shipped, no_shares],
        ..calm_arguments(2)
    };
    let text = render(&losses(&arguments).unwrap());
    assert!(text.contains("seed by seed"), "{text}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn unknown_policy_key_gives_error_with_file_name() {
    let folder = temporary_folder();
    let invalid = folder.join("wrong.toml");
    std::fs::write(&invalid, "[policy]\nmagic = true\n").unwrap();
    let arguments = LossesArguments {
        policy: vec![invalid],
        ..calm_arguments(1)
    };
    let error = losses(&arguments).unwrap_err().to_string();
    assert!(
        error.contains("wrong.toml") && error.contains("magic"),
        "{error}"
    );
    std::fs::remove_dir_all(folder).unwrap();
}

/// Creates an empty temporary folder with a random name.
fn temporary_folder() -> PathBuf {
    let name = format!("losses-{}-{:x}", std::process::id(), rand::random::<u64>());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

#[test]
fn example_days_are_plans_with_faults() {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/days");
    for name in ["small", "grown", "large"] {
        let text = std::fs::read_to_string(folder.join(format!("{name}.toml"))).unwrap();
        let plan = Plan::parse(&text).unwrap();
        assert!(!plan.faults.is_empty(), "{name}");
    }
}
