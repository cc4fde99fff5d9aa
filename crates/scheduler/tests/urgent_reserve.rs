//! The part of each runner that less urgent work leaves to more urgent queues: a task that
//! fits only there gets it in bounded time, and urgent tasks still find it under load.

mod support;

use support::fleet::{Fleet, add_queue, lift_limits, platform_options};
use support::*;
use types::*;

/// Longest time from the submission of a task that fits to its start, in milliseconds.
const BOUND_MS: u64 = 3_000;
/// Number of the job of the lasting tasks.
const LASTING_JOB: u64 = 1_000_000;

fn single(job: u64, owner: &str, resources: Resources) -> TaskMeta {
    TaskMeta {
        resources,
        ..meta(job, owner, 1)
    }
}

fn lasting(resources: Resources) -> TaskMeta {
    let mut meta = single(LASTING_JOB, "c", resources);
    meta.rules.endless = true;
    meta
}

fn cpu(milli: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli: milli,
        memory_mib: milli,
        gpus: 0,
    }
}

/// Returns a fleet of five runners with 32 cores, of which `r1` has the label `b`, and the
/// queue `live`, which is more urgent than `main`.
fn posters() -> Fleet {
    let mut document = document(&[]);
    lift_limits(&mut document, &["a", "b", "c"]);
    add_queue(&mut document, "main", 1);
    add_queue(&mut document, "live", 0);
    let mut fleet = Fleet::new(document, platform_options());
    for number in 1..=5 {
        let capacity = Resources {
            slots: 100,
            ..cpu(32_000)
        };
        let label = (number == 1).then_some("b");
        fleet.add_runner(&format!("r{number}"), capacity, label);
    }
    fleet
}

fn labelled(meta: TaskMeta) -> TaskMeta {
    TaskMeta {
        labels: Labels::from([("b".to_owned(), String::new())]),
        ..meta
    }
}

/// Fills the labelled runner with lasting tasks up to the part for urgent queues.
fn fill_labelled_runner(fleet: &mut Fleet) {
    for index in 0..22 {
        let mut meta = labelled(lasting(cpu(1_200)));
        meta.task.task = index;
        fleet.publish(meta, None);
    }
    fleet.run_until(2_000);
    assert_eq!(fleet.used("r1").cpu_milli, 26_400);
}

/// Guards against a task that waits for ever for the part of a runner that is left to more
/// urgent queues, although these have no work.
#[test]
fn task_gets_the_urgent_reserve_of_a_runner_that_nothing_urgent_uses() {
    let mut fleet = posters();
    fill_labelled_runner(&mut fleet);
    for job in 10..14 {
        fleet.publish(labelled(single(job, "b", cpu(1_000))), Some(60_000));
    }
    fleet.run_until(2_000 + BOUND_MS);
    for job in 10..14 {
        assert!(fleet.starts.contains_key(&task(job)), "job {job}");
    }
}

/// Guards against the same while urgent tasks that no runner can take wait, and while half of
/// the pool or more is in use.
#[test]
fn task_gets_the_urgent_reserve_in_bounded_time_whatever_waits_beside_it() {
    let mut fleet = posters();
    fill_labelled_runner(&mut fleet);
    for job in 100..104 {
        fleet.publish(single(job, "c", cpu(26_000)), Some(60_000));
    }
    let mut impossible = single(200, "a", cpu(64_000));
    impossible.queue = queue("live");
    fleet.publish(impossible, Some(1_000));
    fleet.run_until(4_000);
    for job in 10..13 {
        fleet.publish(labelled(single(job, "b", cpu(1_000))), Some(60_000));
    }
    fleet.run_until(12_000);
    for job in 10..13 {
        assert!(fleet.starts.contains_key(&task(job)), "job {job}");
    }
}

/// What the urgent part is for: under more less urgent work than the pool can take, urgent
/// tasks still start at once.
#[test]
fn urgent_task_finds_its_reserve_free_under_full_load() {
    let mut fleet = posters();
    for job in 10..3_000 {
        fleet.publish(single(job, "b", cpu(1_200)), Some(3_000));
    }
    let mut late = 0;
    for job in 5_000..5_100 {
        fleet.run_until(fleet.now + 200);
        let mut urgent = single(job, "a", cpu(400));
        urgent.queue = queue("live");
        fleet.publish(urgent, Some(500));
        let published_at = fleet.now;
        fleet.run_until(published_at + 100);
        late += u64::from(!fleet.starts.contains_key(&task(job)));
    }
    assert_eq!(late, 0, "urgent tasks that did not start at once");
}
