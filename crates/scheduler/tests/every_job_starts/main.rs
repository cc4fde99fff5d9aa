//! Every job that fits starts: random fleets, loads and events on a virtual clock, and an
//! oracle that shares no code with the scheduler.
//!
//! Jobs of every kind arrive while runners fail, leave, return, freeze and drain, jobs are
//! cancelled, limits change and leaders are replaced. Then arrivals and events stop, lasting
//! runs stay, and from [`CALM_MS`] after the last event on the oracle examines each step. At
//! the end the scheduler must give a reason for each task that waits.

mod oracle;
mod scenario;
#[path = "../support/mod.rs"]
mod support;
mod world;

use oracle::Oracle;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scenario::{ARRIVALS_MS, Scenario, any_scenario};
use std::collections::BTreeSet;
use support::at;
use types::TaskRef;
use world::World;

/// Time after the last event from which the property is checked, in milliseconds. Runners
/// may fail all they start for up to 7 s, and the rule allows 4 s after any trouble.
const CALM_MS: u64 = 11_000;
/// Time for which the property is checked, in milliseconds.
const CHECKED_MS: u64 = 12_000;
/// Random cases of one run; `EVERY_JOB_CASES` sets another number.
const CASES: u32 = 300;
/// Seed of the cases; `EVERY_JOB_SEED` sets another one.
const SEED: u64 = 20_261_204;

fn number_from_environment(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the job that breaks the property, with what the scheduler says of its tasks.
fn broken_job(scenario: &Scenario) -> Option<String> {
    let mut world = World::new(scenario);
    let mut oracle = Oracle::default();
    let checked_from = ARRIVALS_MS + CALM_MS;
    while world.fleet.now < checked_from + CHECKED_MS {
        world.step();
        if world.fleet.now < checked_from {
            continue;
        }
        if let Some(job) = oracle.check(&world) {
            return Some(format!(
                "at {} ms job {job} has not started for {} ms: {}",
                world.fleet.now,
                oracle::BOUND_MS,
                reasons(&world, job)
            ));
        }
    }
    waiting_without_reason(&mut world)
}

fn reasons(world: &World, job: u64) -> String {
    let tasks = world.fleet.tasks.keys().filter(|task| task.job.0 == job);
    let reasons = tasks.map(|task| {
        let reason = world.fleet.scheduler.explain(*task, at(world.fleet.now));
        format!("{task}: {reason:?}")
    });
    reasons.collect::<Vec<_>>().join(", ")
}

/// Goes on for the time of the bound, and returns a task that waits throughout although the
/// scheduler names no reason.
fn waiting_without_reason(world: &mut World) -> Option<String> {
    let mut silent: BTreeSet<TaskRef> = world.fleet.tasks.keys().copied().collect();
    let end = world.fleet.now + oracle::BOUND_MS;
    while world.fleet.now < end {
        world.step();
        let now = at(world.fleet.now);
        let scheduler = &world.fleet.scheduler;
        silent.retain(|task| world.fleet.tasks.contains_key(task));
        silent.retain(|task| !world.fleet.is_running(*task));
        silent.retain(|task| scheduler.explain(*task, now).is_none());
    }
    let task = silent.first()?;
    Some(format!("task {task} waits and explain gives no reason"))
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: number_from_environment("EVERY_JOB_CASES")
            .map_or(CASES, |cases| u32::try_from(cases).unwrap()),
        rng_seed: RngSeed::Fixed(number_from_environment("EVERY_JOB_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 3_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_job_that_fits_starts(scenario in any_scenario()) {
        let broken = broken_job(&scenario);
        prop_assert!(broken.is_none(), "{}", broken.unwrap());
    }
}
