//! Scan cost of a placement when much waits and little is free.

mod support;

use scheduler::Scheduler;
use support::*;
use types::{HeartbeatSequence, RackName, Resources, RunnerReport, TaskMeta};

const TENANTS: usize = 60;
const RACKS: u32 = 20;

fn needs(cpu_milli: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli,
        memory_mib: 1_000,
        gpus: 0,
    }
}

fn rack(number: u32) -> RackName {
    RackName::new(format!("rack-{number}")).unwrap()
}

/// A runner of 16 cores, all but 300 thousandths of one taken.
fn full(number: u32) -> RunnerReport {
    let mut report = report(&format!("r{number}"), 1, 64, 64);
    report.rack = rack(number % RACKS);
    report.capacity = Resources {
        slots: 64,
        cpu_milli: 16_000,
        memory_mib: 64_000,
        gpus: 0,
    };
    report.free = Resources {
        cpu_milli: 300,
        ..report.capacity
    };
    report
}

/// A task like no other: each job has its own size and its data in one rack.
fn unlike_others(job: u32) -> TaskMeta {
    let mut meta = meta(u64::from(job), &format!("t{}", job as usize % TENANTS), 1);
    meta.resources = needs(500 + job);
    meta.rules.preferred_rack = Some(rack(job % RACKS));
    meta
}

fn loaded(runners: u32, tasks: u32) -> Scheduler {
    let names: Vec<String> = (0..TENANTS).map(|number| format!("t{number}")).collect();
    let tenants: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1_000)).collect();
    let mut document = document(&tenants);
    for tenant in document.tenants.values_mut() {
        tenant.resource_limit = Resources::UNLIMITED;
    }
    let mut scheduler = scheduler(&document);
    for number in 0..runners {
        scheduler.heartbeat(&full(number), at(0));
    }
    for job in 0..tasks {
        scheduler.publish(unlike_others(job), at(0));
    }
    scheduler
}

fn scan_cost_of_a_placement(scheduler: &mut Scheduler) -> u64 {
    let before = scheduler.scan_cost();
    assert!(all_placed(scheduler.place(at(50), 512)).is_empty());
    scheduler.scan_cost() - before
}

#[test]
fn a_placement_without_free_capacity_scans_each_runner_a_few_times_whatever_waits() {
    let few = scan_cost_of_a_placement(&mut loaded(240, 200));
    let many = scan_cost_of_a_placement(&mut loaded(240, 1_500));
    // One scan of each runner, and reasons of some lists over all of them.
    assert!(many <= 30 * 240, "{many}");
    assert!(many <= 2 * few, "{few} scans, then {many}");
}

#[test]
fn freed_capacity_is_used_in_the_same_placement() {
    let mut scheduler = loaded(240, 1_500);
    scan_cost_of_a_placement(&mut scheduler);
    let mut freed = full(7);
    freed.sequence = HeartbeatSequence(2);
    freed.free = freed.capacity;
    scheduler.heartbeat(&freed, at(60));
    let placed = all_placed(scheduler.place(at(400), 512));
    assert!(placed.len() >= 7, "{}", placed.len());
    assert!(placed.iter().all(|one| one.runner == runner("r7")));
}

#[test]
fn a_small_task_behind_large_ones_is_still_found() {
    let mut scheduler = loaded(240, 600);
    let mut small = meta(9_999, "t3", 1);
    small.resources = needs(250);
    scheduler.publish(small, at(40));
    let placed = all_placed(scheduler.place(at(50), 512));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].task, task(9_999));
    assert!(all_placed(scheduler.place(at(60), 512)).is_empty());
}
