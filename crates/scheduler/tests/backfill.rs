//! Backfill reservations for tasks that starve.

mod support;

use scheduler::{NotPlacedReason, Scheduler};
use std::collections::VecDeque;
use support::*;
use types::RunId;

/// Ends one small run in each tick and places tasks. Returns the number of
/// small tasks that start before task 1000000, which needs the whole runner;
/// `None` when that task does not start within 2000 ticks.
fn small_starts_before_large_task(
    scheduler: &mut Scheduler,
    mut running: VecDeque<RunId>,
) -> Option<u64> {
    let mut small_starts = 0;
    for tick in 0..2_000_u64 {
        let now = at(tick * 100);
        let mut heartbeat = report("r1", tick + 2, 4, 4 - u32::try_from(running.len()).unwrap());
        heartbeat.active = running.iter().map(|run| active_run(*run)).collect();
        scheduler.heartbeat(&heartbeat, now);
        for reservation in all_placed(scheduler.place(now, 10)) {
            if reservation.task == task(1_000_000) {
                return Some(small_starts);
            }
            small_starts += 1;
            running.push_back(reservation.run);
        }
        if let Some(run) = running.pop_front() {
            scheduler.remove_run(run);
        }
    }
    None
}

#[test]
fn large_task_starts_while_small_tasks_keep_coming() {
    let mut scheduler = scheduler(&document(&[("large", 100), ("small", 100)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    for job in 1..=5_000 {
        scheduler.publish(meta(job, "small", 1), at(0));
    }
    let full = all_placed(scheduler.place(at(0), 10));
    let running: VecDeque<RunId> = full.iter().map(|reservation| reservation.run).collect();
    assert_eq!(running.len(), 4);
    scheduler.publish(meta(1_000_000, "large", 4), at(0));
    let starts = small_starts_before_large_task(&mut scheduler, running);
    assert!(starts.is_some_and(|starts| starts < 200), "{starts:?}");
}

#[test]
fn removal_of_starving_task_releases_reserved_runner() {
    let mut scheduler = scheduler(&document(&[("large", 100), ("small", 100)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.publish(meta(1, "small", 1), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.publish(meta(2, "large", 4), at(0));
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(6_000));
    assert_eq!(scheduler.reserve(&runner("r1"), at(6_000)), None);
    scheduler.publish(meta(3, "small", 1), at(6_000));
    assert_eq!(scheduler.reserve(&runner("r1"), at(6_000)), None);
    assert_eq!(
        scheduler.explain(task(3), at(6_000)),
        Some(NotPlacedReason::ReservedForLargerTask {
            runner: runner("r1")
        })
    );
    scheduler.remove(task(2));
    assert!(scheduler.reserve(&runner("r1"), at(6_000)).is_some());
}

/// One pull can find a startable task and also reserve its own runner for a
/// starving one. The startable task must not start then.
#[test]
fn pull_that_reserves_its_own_runner_takes_no_smaller_task() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.publish(meta(2, "a", 4), at(0));
    scheduler.publish(meta(3, "a", 1), at(0));
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(5_000));
    assert_eq!(scheduler.reserve(&runner("r1"), at(5_000)), None);
}

/// Placement reviews all lists for starving tasks. If only drawn lists were
/// searched, one tenant among 41 would wait for its draw to get a reservation.
#[test]
fn starving_task_of_seldom_drawn_tenant_gets_reservation() {
    let names: Vec<String> = (0..40).map(|number| format!("small-{number}")).collect();
    let mut tenants: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 100)).collect();
    tenants.push(("large", 100));
    let mut scheduler = scheduler(&document(&tenants));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    for (job, name) in (1..).zip(&names) {
        scheduler.publish(meta(job, name, 1), at(0));
    }
    let full = all_placed(scheduler.place(at(0), 100));
    assert_eq!(full.len(), 4);
    scheduler.publish(meta(100, "large", 4), at(0));
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(6_000));
    // Each placement may review only some of the lists, in turn.
    for _ in 0..100 {
        assert!(all_placed(scheduler.place(at(6_000), 100)).is_empty());
    }
    for reservation in full {
        assert!(all_placed(scheduler.place(at(6_000), 100)).is_empty());
        scheduler.remove_run(reservation.run);
    }
    let next = all_placed(scheduler.place(at(6_000), 100));
    assert_eq!(next.first().map(|first| first.task), Some(task(100)));
}

#[test]
fn at_most_a_tenth_of_a_pool_is_reserved() {
    let large_tenants = ["l1", "l2", "l3"];
    let mut tenants = vec![("small", 1_000)];
    tenants.extend(large_tenants.iter().map(|name| (*name, 100)));
    let mut scheduler = scheduler(&document(&tenants));
    let names: Vec<String> = (0..20).map(|number| format!("r{number}")).collect();
    for name in &names {
        scheduler.heartbeat(&report(name, 1, 4, 4), at(0));
    }
    for job in 1..=60 {
        scheduler.publish(meta(job, "small", 1), at(0));
    }
    assert_eq!(all_placed(scheduler.place(at(0), 100)).len(), 60);
    for (job, name) in (100..).zip(large_tenants) {
        scheduler.publish(meta(job, name, 4), at(0));
    }
    for name in &names {
        scheduler.heartbeat(&report(name, 2, 4, 4), at(6_000));
    }
    for _ in 0..20 {
        assert!(all_placed(scheduler.place(at(6_000), 100)).is_empty());
    }
    for job in 201..=240 {
        scheduler.publish(meta(job, "small", 1), at(6_000));
    }
    assert_eq!(all_placed(scheduler.place(at(6_000), 100)).len(), 18);
}

/// Among tasks of equal size only the draw decides which one starts, however
/// long they wait.
#[test]
fn no_runner_is_reserved_among_tasks_of_equal_size() {
    let mut scheduler = scheduler(&document(&[("a", 100), ("b", 100)]));
    scheduler.heartbeat(&report("r1", 1, 1, 1), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    scheduler.publish(meta(2, "a", 1), at(0));
    scheduler.publish(meta(3, "b", 1), at(0));
    scheduler.heartbeat(&report("r1", 2, 1, 1), at(60_000));
    for _ in 0..10 {
        scheduler.place(at(60_000), 10);
    }
    scheduler.remove_run(first.run);
    for job in [2, 3] {
        assert_eq!(scheduler.explain(task(job), at(60_000)), None);
    }
}
