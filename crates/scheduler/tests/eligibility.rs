//! The choice among several runners: priority of queues, racks, the limit of a
//! step's runs on a runner, and runners that a task failed on.

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
fn work_of_a_more_urgent_queue_goes_first() {
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
fn a_task_goes_to_its_rack_although_another_has_more_free_capacity() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&in_rack("x", report("large", 1, 9, 9)), at(0));
    scheduler.heartbeat(&in_rack("y", report("small", 1, 1, 1)), at(0));
    scheduler.publish(meta_for_rack(1, "y"), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("small"));
}

#[test]
fn a_task_waits_for_its_rack_only_for_a_while() {
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
fn a_rack_without_runners_is_not_waited_for() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&in_rack("x", report("other", 1, 9, 9)), at(0));
    scheduler.publish(meta_for_rack(1, "gone"), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("other"));
}

#[test]
fn a_runner_has_at_most_the_allowed_runs_of_a_step() {
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
fn a_failed_task_is_tried_elsewhere_first() {
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
fn a_failed_task_goes_back_when_no_other_runner_comes() {
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
fn a_suspect_runner_comes_last_and_still_gets_work() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("failing", 1, 9, 9), at(0));
    scheduler.heartbeat(&report("sound", 1, 1, 1), at(0));
    for job in [101, 102] {
        scheduler.record_outcome(&runner("failing"), task(job), true, at(0));
    }
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("sound"));
    assert_eq!(place_one(&mut scheduler, 0).as_deref(), Some("failing"));
}

fn cores(cpu_milli: u32) -> types::Resources {
    types::Resources {
        slots: 1,
        cpu_milli,
        ..types::Resources::ZERO
    }
}

/// A runner of 1000 thousandths; `main` leaves a fifth to `urgent`.
fn with_reserve() -> Scheduler {
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

fn needing(job: u64, name: &str, cpu_milli: u32) -> TaskMeta {
    TaskMeta {
        queue: queue(name),
        resources: cores(cpu_milli),
        ..meta(job, "a", 1)
    }
}

#[test]
fn work_leaves_a_part_of_each_runner_to_more_urgent_queues() {
    let mut scheduler = with_reserve();
    for job in 1..=10 {
        scheduler.publish(needing(job, "main", 100), at(0));
    }
    assert_eq!(all_placed(scheduler.place(at(0), 20)).len(), 8);
    for job in 11..=14 {
        scheduler.publish(needing(job, "urgent", 100), at(10));
    }
    assert_eq!(all_placed(scheduler.place(at(10), 20)).len(), 2);
}

#[test]
fn a_task_that_needs_nearly_a_whole_runner_need_not_leave_the_part() {
    let mut scheduler = with_reserve();
    scheduler.publish(needing(1, "main", 900), at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 20)).len(), 1);
}

#[test]
fn a_reserved_runner_has_at_most_the_allowed_runs_of_a_step() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for index in 0..3 {
        let mut meta = meta(1, "a", 4);
        meta.task.task = index;
        meta.rules.max_per_runner = Some(1);
        scheduler.publish(meta, at(0));
    }
    // Smaller work beside it, so that what waits long counts as starving.
    scheduler.publish(meta(2, "a", 1), at(0));
    for tick in 0..300_u64 {
        let now = at(tick * 100);
        scheduler.heartbeat(&report("only", tick + 1, 16, 16), now);
        let placed = all_placed(scheduler.place(now, 10));
        let of_step = placed.iter().filter(|one| one.task.job == JobNumber(1));
        assert!(of_step.count() <= usize::from(tick == 0), "at tick {tick}");
    }
}
