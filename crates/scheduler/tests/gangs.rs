//! Gangs: placed as a whole, on runners that together have the capacity.

mod support;

use scheduler::{Published, Scheduler};
use std::collections::BTreeSet;
use support::*;
use types::{JobNumber, RackName, Reservation, RunnerReport, StepRules, TaskMeta, TaskRef};

fn member(job: u64, index: u32) -> TaskRef {
    TaskRef {
        job: JobNumber(job),
        step: 0,
        task: index,
    }
}

fn gang_meta(job: u64, index: u32, size: u32, needs: u32) -> TaskMeta {
    TaskMeta {
        task: member(job, index),
        rules: StepRules {
            gang: true,
            ..StepRules::default()
        },
        step_tasks: size,
        ..meta(job, "a", needs)
    }
}

fn publish_gang(scheduler: &mut Scheduler, job: u64, size: u32, needs: u32) {
    for index in 0..size {
        let published = scheduler.publish(gang_meta(job, index, size, needs), at(0));
        assert_eq!(published, Published::New);
    }
}

fn in_rack(rack: &str, report: RunnerReport) -> RunnerReport {
    RunnerReport {
        rack: RackName::new(rack).unwrap(),
        ..report
    }
}

fn runners_of(reservations: &[Reservation]) -> BTreeSet<&str> {
    let names = reservations.iter().map(|one| one.runner.as_str());
    names.collect()
}

/// Guards against gangs that never start because they have more tasks than one
/// placement may place.
#[test]
fn gang_larger_than_limit_of_placement_is_placed() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    publish_gang(&mut scheduler, 1, 5, 1);
    publish_gang(&mut scheduler, 2, 2, 1);
    let placed = all_placed(scheduler.place(at(0), 4));
    assert_eq!(placed.len(), 5);
    assert_eq!(all_placed(scheduler.place(at(10), 4)).len(), 2);
    assert_eq!(scheduler.place(at(20), 0), []);
}

#[test]
fn gang_is_placed_on_several_runners_in_one_placement() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 2, 2), at(0));
    scheduler.heartbeat(&report("r2", 1, 2, 2), at(0));
    publish_gang(&mut scheduler, 1, 3, 1);
    let placed = all_placed(scheduler.place(at(0), 10));
    let tasks: BTreeSet<TaskRef> = placed.iter().map(|one| one.task).collect();
    assert_eq!(tasks, (0..3).map(|index| member(1, index)).collect());
    assert_eq!(runners_of(&placed).len(), 2);
}

#[test]
fn no_task_of_gang_starts_while_whole_gang_does_not_fit() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 2, 2), at(0));
    publish_gang(&mut scheduler, 1, 3, 1);
    assert!(all_placed(scheduler.place(at(0), 10)).is_empty());
    scheduler.heartbeat(&report("r2", 1, 2, 1), at(10));
    assert_eq!(all_placed(scheduler.place(at(10), 10)).len(), 3);
}

#[test]
fn no_task_of_gang_starts_before_all_are_published() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    for index in [0, 2] {
        scheduler.publish(gang_meta(1, index, 3, 1), at(0));
    }
    assert!(all_placed(scheduler.place(at(0), 10)).is_empty());
    scheduler.publish(gang_meta(1, 1, 3, 1), at(5));
    assert_eq!(all_placed(scheduler.place(at(5), 10)).len(), 3);
}

#[test]
fn gang_above_resource_limit_of_tenant_waits_as_a_whole() {
    let mut scheduler = scheduler(&document(&[("a", 2)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    publish_gang(&mut scheduler, 1, 3, 1);
    assert!(all_placed(scheduler.place(at(0), 10)).is_empty());
}

#[test]
fn gang_with_same_rack_rule_is_placed_in_one_rack() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for (name, rack) in [("r1", "x"), ("r2", "y"), ("r3", "y")] {
        scheduler.heartbeat(&in_rack(rack, report(name, 1, 1, 1)), at(0));
    }
    for index in 0..2 {
        let mut meta = gang_meta(1, index, 2, 1);
        meta.rules.same_rack = true;
        scheduler.publish(meta, at(0));
    }
    let placed = all_placed(scheduler.place(at(0), 10));
    assert_eq!(runners_of(&placed), BTreeSet::from(["r2", "r3"]));
}

#[test]
fn starving_gang_gets_backfill_reservations() {
    let mut scheduler = scheduler(&document(&[("a", 100), ("b", 100)]));
    publish_gang(&mut scheduler, 1, 2, 2);
    for job in 2..200 {
        scheduler.publish(meta(job, "b", 1), at(0));
    }
    let mut running = Vec::new();
    for tick in 0..400_u64 {
        let now = at(tick * 100);
        for name in ["r1", "r2"] {
            scheduler.heartbeat(&report(name, tick + 1, 2, 2), now);
        }
        let placed = all_placed(scheduler.place(now, 10));
        if placed.iter().any(|one| one.task.job == JobNumber(1)) {
            assert!(tick < 100, "gang placed late, at tick {tick}");
            return;
        }
        running.extend(placed.into_iter().map(|one| one.run));
        if !running.is_empty() {
            scheduler.remove_run(running.remove(0));
        }
    }
    panic!("the gang was not placed within 400 ticks");
}
