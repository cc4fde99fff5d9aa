//! Choice among several runners: priority of queues, racks, the limit of a
//! step's runs on a runner, and runners on which a task failed.

mod support;

use configuration::QueueMode;
use scheduler::Scheduler;
use support::*;
use types::{JobNumber, RackName, RunnerReport, TaskMeta, TaskRef};

fn in_rack(rack: &str, report: RunnerReport) -> RunnerReport {
    RunnerReport {
        rack: RackName::new(rack).unwrap(),
        ..report
    }
}

fn meta_for_rack(job: u64, rack: &str) -> TaskMeta {
    let mut meta = meta(job, "a", 1);
    meta.rules.preferred_rack = Some(RackName::new(rack).unwrap());
    meta
}

fn place_one(scheduler: &mut Scheduler, milliseconds: u64) -> Option<String> {
    let placed = all_placed(scheduler.place(at(milliseconds), 1));
    placed.first().map(|one| one.runner.to_string())
}

#[test]
fn task_of_more_urgent_queue_starts_first() {
    let mut document = document(&[("a", 100)]);
    add_queue(&mut document, "urgent", QueueMode::Active);
    document.queues.get_mut(&queue("main")).unwrap().priority = 2;
    let mut scheduler = scheduler(&document);
    for job in 1..=20 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    for job in 21..=25 {
        let urgent = TaskMeta {
            queue: queue("urgent"),
            ..meta(job, "a", 1)
        };
        scheduler.publish(urgent, at(0));
    }
    scheduler.heartbeat(&report("r1", 1, 10, 10), at(0));
    let placed = all_placed(scheduler.place(at(0), 10));
    let jobs: Vec<u64> = placed.iter().map(|one| one.task.job.0).collect();
    assert_eq!(jobs, [21, 22, 23, 24, 25, 1, 2, 3, 4, 5]);
}

#[test]
fn task_starts_in_preferred_rack_although_other_rack_has_more_free_capacity() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&in_rack("x", report("large", 1, 9, 9)), at(0));
    scheduler.heartbeat(&in_rack("y", report("small", 1, 1, 1)), at(0));
    scheduler.publish(meta_for_rack(1, "y"), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("small"));
}

#[test]
fn task_waits_for_preferred_rack_up_to_locality_wait() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&in_rack("x", report("other", 1, 9, 9)), at(0));
    scheduler.heartbeat(&in_rack("y", report("full", 1, 1, 1)), at(0));
    scheduler.publish(meta_for_rack(1, "y"), at(0));
    scheduler.publish(meta_for_rack(2, "y"), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("full"));
    assert_eq!(place_one(&mut scheduler, 200), None);
    assert_eq!(place_one(&mut scheduler, 300).as_deref(), Some("other"));
}

#[test]
fn task_does_not_wait_for_rack_without_runners() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&in_rack("x", report("other", 1, 9, 9)), at(0));
    scheduler.publish(meta_for_rack(1, "empty"), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("other"));
}

#[test]
fn step_has_at_most_max_per_runner_runs_on_a_runner() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 9, 9), at(0));
    for index in 0..5 {
        let mut meta = meta(1, "a", 1);
        meta.task = TaskRef {
            job: JobNumber(1),
            step: 0,
            task: index,
        };
        meta.rules.max_per_runner = Some(2);
        scheduler.publish(meta, at(0));
    }
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 2);
    scheduler.heartbeat(&report("r2", 1, 9, 9), at(10_000));
    scheduler.heartbeat(&report("r1", 2, 9, 9), at(10_000));
    let placed = all_placed(scheduler.place(at(10_000), 10));
    assert!(placed.iter().all(|one| one.runner == runner("r2")));
    assert_eq!(placed.len(), 2);
}

#[test]
fn failed_task_starts_on_other_runner_first() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("large", 1, 9, 9), at(0));
    scheduler.heartbeat(&report("small", 1, 1, 1), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    let first = all_placed(scheduler.place(at(0), 1)).remove(0);
    assert_eq!(first.runner, runner("large"));
    scheduler.record_outcome(&first.runner, task(1), true, at(10));
    scheduler.reschedule(first.run, meta(1, "a", 1), at(10));
    assert_eq!(place_one(&mut scheduler, 20).as_deref(), Some("small"));
}

#[test]
fn failed_task_returns_to_same_runner_after_wait_without_other_runner() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("only", 1, 9, 9), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    let first = all_placed(scheduler.place(at(0), 1)).remove(0);
    scheduler.record_outcome(&first.runner, task(1), true, at(10));
    scheduler.reschedule(first.run, meta(1, "a", 1), at(10));
    assert_eq!(place_one(&mut scheduler, 20), None);
    assert_eq!(place_one(&mut scheduler, 1_000).as_deref(), Some("only"));
}

#[test]
fn suspect_runner_gets_work_after_other_runners() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("failing", 1, 9, 9), at(0));
    scheduler.heartbeat(&report("healthy", 1, 1, 1), at(0));
    for job in [101, 102] {
        scheduler.record_outcome(&runner("failing"), task(job), true, at(0));
    }
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("healthy"));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("failing"));
}

fn one_slot_with_cpu(cpu_milli: u32) -> types::Resources {
    types::Resources {
        slots: 1,
        cpu_milli,
        ..types::Resources::ZERO
    }
}

/// Returns a scheduler with one runner of 1000 thousandths of a core, on which
/// queue `main` leaves a fifth to queue `urgent`.
fn scheduler_with_urgent_reserve() -> Scheduler {
    let mut document = document(&[("a", 100)]);
    for contract in document.tenants.values_mut() {
        contract.resource_limit = types::Resources::UNLIMITED;
    }
    add_queue(&mut document, "urgent", QueueMode::Active);
    document.queues.get_mut(&queue("main")).unwrap().priority = 1;
    let options = scheduler::SchedulerOptions {
        urgent_reserve_percent: 20,
        ..Default::default()
    };
    let mut scheduler = Scheduler::new(options, types::Term(3), 7);
    scheduler.configure(&document);
    let mut report = report("r1", 1, 50, 50);
    report.capacity.cpu_milli = 1_000;
    report.free.cpu_milli = 1_000;
    scheduler.heartbeat(&report, at(0));
    scheduler
}

fn meta_with_cpu(job: u64, name: &str, cpu_milli: u32) -> TaskMeta {
    TaskMeta {
        queue: queue(name),
        resources: one_slot_with_cpu(cpu_milli),
        ..meta(job, "a", 1)
    }
}

#[test]
fn less_urgent_queue_leaves_reserve_on_runner_to_urgent_queue() {
    let mut scheduler = scheduler_with_urgent_reserve();
    for job in 1..=10 {
        scheduler.publish(meta_with_cpu(job, "main", 100), at(0));
    }
    assert_eq!(all_placed(scheduler.place(at(0), 20)).len(), 8);
    for job in 11..=14 {
        scheduler.publish(meta_with_cpu(job, "urgent", 100), at(10));
    }
    assert_eq!(all_placed(scheduler.place(at(10), 20)).len(), 2);
}

#[test]
fn task_larger_than_runner_without_reserve_may_use_reserve() {
    let mut scheduler = scheduler_with_urgent_reserve();
    scheduler.publish(meta_with_cpu(1, "main", 900), at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 20)).len(), 1);
}

#[test]
fn backfill_reservation_respects_max_per_runner() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for index in 0..3 {
        let mut meta = meta(1, "a", 4);
        meta.task.task = index;
        meta.rules.max_per_runner = Some(1);
        scheduler.publish(meta, at(0));
    }
    // A task counts as starving only while a smaller one is published.
    scheduler.publish(meta(2, "a", 1), at(0));
    for tick in 0..300_u64 {
        let now = at(tick * 100);
        scheduler.heartbeat(&report("only", tick + 1, 16, 16), now);
        let placed = all_placed(scheduler.place(now, 10));
        let of_step = placed.iter().filter(|one| one.task.job == JobNumber(1));
        assert!(of_step.count() <= usize::from(tick == 0), "at tick {tick}");
    }
}
