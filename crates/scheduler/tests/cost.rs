//! Scan cost of a placement with many waiting tasks and little free capacity.

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

/// Returns the heartbeat of a runner of 16 cores that has only 300 thousandths
/// of a core free.
fn nearly_full_runner(number: u32) -> RunnerReport {
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

/// Returns a task whose shape no other task has: each job has its own CPU need,
/// and its preferred rack is one of 20.
fn task_of_own_shape(job: u32) -> TaskMeta {
    let mut meta = meta(u64::from(job), &format!("t{}", job as usize % TENANTS), 1);
    meta.resources = needs(500 + job);
    meta.rules.preferred_rack = Some(rack(job % RACKS));
    meta
}

fn scheduler_with(runners: u32, tasks: u32) -> Scheduler {
    let names: Vec<String> = (0..TENANTS).map(|number| format!("t{number}")).collect();
    let tenants: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1_000)).collect();
    let mut document = document(&tenants);
    for tenant in document.tenants.values_mut() {
        tenant.resource_limit = Resources::UNLIMITED;
    }
    let mut scheduler = scheduler(&document);
    for number in 0..runners {
        scheduler.heartbeat(&nearly_full_runner(number), at(0));
    }
    for job in 0..tasks {
        scheduler.publish(task_of_own_shape(job), at(0));
    }
    scheduler
}

fn scan_cost_of_placement(scheduler: &mut Scheduler) -> u64 {
    let before = scheduler.scan_cost();
    assert!(all_placed(scheduler.place(at(50), 512)).is_empty());
    scheduler.scan_cost() - before
}

#[test]
fn scan_cost_without_free_capacity_does_not_grow_with_waiting_tasks() {
    let few = scan_cost_of_placement(&mut scheduler_with(240, 200));
    let many = scan_cost_of_placement(&mut scheduler_with(240, 1_500));
    // Each runner is scanned once, and again for the reasons of some lists.
    assert!(many <= 30 * 240, "{many} scans");
    assert!(
        many <= 2 * few,
        "{few} scans with 200 tasks, {many} with 1500"
    );
}

#[test]
fn capacity_of_emptied_runner_is_used_in_next_placement() {
    let mut scheduler = scheduler_with(240, 1_500);
    scan_cost_of_placement(&mut scheduler);
    let mut emptied = nearly_full_runner(7);
    emptied.sequence = HeartbeatSequence(2);
    emptied.free = emptied.capacity;
    scheduler.heartbeat(&emptied, at(60));
    let placed = all_placed(scheduler.place(at(400), 512));
    assert!(placed.len() >= 7, "{} tasks placed", placed.len());
    assert!(placed.iter().all(|one| one.runner == runner("r7")));
}

#[test]
fn small_task_behind_large_ones_is_placed() {
    let mut scheduler = scheduler_with(240, 600);
    let mut small = meta(9_999, "t3", 1);
    small.resources = needs(250);
    scheduler.publish(small, at(40));
    let placed = all_placed(scheduler.place(at(50), 512));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].task, task(9_999));
    assert!(all_placed(scheduler.place(at(60), 512)).is_empty());
}

/// Guards against a leader that is busy with gangs that no runners can take.
#[test]
fn scan_cost_does_not_grow_with_impossible_gangs() {
    let with_gangs = |gangs: u32| {
        let mut scheduler = scheduler_with(240, 0);
        for job in 1..=gangs {
            for index in 0..2 {
                let mut member = meta(u64::from(job), "t0", 1);
                member.task.task = index;
                member.step_tasks = 2;
                member.rules.gang = true;
                member.resources = needs(16_000 + job);
                scheduler.publish(member, at(0));
            }
        }
        scan_cost_of_placement(&mut scheduler)
    };
    let few = with_gangs(10);
    let many = with_gangs(1_000);
    assert!(
        many <= 2 * few,
        "{few} scans with 10 gangs, {many} with 1000"
    );
}

/// The same for tasks without a gang, one list and one pull of an empty runner.
#[test]
fn scan_cost_of_reserve_does_not_grow_with_unmet_needs() {
    let with_unmet = |unmet: u32| {
        let mut scheduler = scheduler_with(0, 0);
        let mut empty = nearly_full_runner(0);
        empty.free = empty.capacity;
        scheduler.heartbeat(&empty, at(0));
        for job in 1..=unmet {
            let mut task = meta(u64::from(job), "t0", 1);
            task.resources = needs(16_000 + job);
            if job % 2 == 0 {
                let label = ("kind".to_owned(), format!("absent-{job}"));
                task.labels.extend([label]);
            }
            scheduler.publish(task, at(0));
        }
        let mut fitting = meta(1_000_000, "t0", 1);
        fitting.resources = needs(250);
        scheduler.publish(fitting, at(0));
        let before = scheduler.scan_cost();
        assert!(scheduler.reserve(&runner("r0"), at(0)).is_some());
        scheduler.scan_cost() - before
    };
    let few = with_unmet(100);
    let many = with_unmet(10_000);
    assert!(
        many <= 2 * few,
        "{few} scans with 100 unmet needs, {many} with 10000"
    );
}
