//! Reservations for starving tasks and gangs hold no task that fits back for ever: a job
//! starts within [`BOUND_MS`] while half of its pool or more is free.

mod support;

use support::fleet::{Fleet, lift_limits, platform_options};
use support::*;
use types::*;

/// Longest time from the submission of a task that fits to its start, in milliseconds.
const BOUND_MS: u64 = 3_000;
/// Time for which the long tests run, in milliseconds.
const LONG_MS: u64 = 60_000;
/// Number of the job of the lasting task.
const LASTING_JOB: u64 = 1_000_000;

fn gpus(gpus: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli: 1_000 * gpus,
        memory_mib: 100 * gpus,
        gpus,
    }
}

/// Returns a fleet of six runners with eight accelerators each.
fn finishers() -> Fleet {
    let mut document = document(&[]);
    lift_limits(&mut document, &["a", "b", "c", "d"]);
    let mut fleet = Fleet::new(document, platform_options());
    for number in 1..=6 {
        let capacity = Resources {
            slots: 64,
            ..gpus(8)
        };
        fleet.add_runner(&format!("r{number}"), capacity, None);
    }
    fleet
}

fn single(job: u64, owner: &str, resources: Resources) -> TaskMeta {
    TaskMeta {
        resources,
        ..meta(job, owner, 1)
    }
}

fn lasting(resources: Resources) -> TaskMeta {
    let mut meta = single(LASTING_JOB, "c", resources);
    meta.rules.endless = true;
    meta.rules.expected = Some(Milliseconds(500));
    meta
}

fn publish_gang(fleet: &mut Fleet, job: u64, owner: &str, size: u32, each: Resources) {
    for index in 0..size {
        let mut meta = single(job, owner, each);
        meta.task.task = index;
        meta.step_tasks = size;
        meta.rules.gang = true;
        meta.rules.expected = Some(Milliseconds(1_000));
        fleet.publish(meta, Some(1_000));
    }
}

/// Publishes a small task each second, and asserts that each starts within the bound.
fn assert_small_tasks_start(fleet: &mut Fleet, until_ms: u64) {
    let mut job = 10;
    while fleet.now < until_ms {
        let published_at = fleet.now;
        fleet.publish(single(job, "b", gpus(1)), Some(300));
        fleet.run_until(published_at + BOUND_MS);
        let started = fleet.starts.get(&task(job));
        assert!(
            started.is_some(),
            "job {job}, published at {published_at} ms, has not started"
        );
        job += 1;
    }
}

/// Guards against gangs that a lasting run keeps from being placed, and that reserve all
/// runners of their pool in turn, so that nothing else starts.
#[test]
fn gangs_behind_a_lasting_run_hold_no_other_task_back() {
    for gang_count in [1, 2, 5] {
        let mut fleet = finishers();
        fleet.publish(lasting(gpus(1)), None);
        fleet.run_until(500);
        for job in 1..=gang_count {
            let owner = ["a", "d"][usize::try_from(job).unwrap() % 2];
            publish_gang(&mut fleet, job, owner, 6, gpus(8));
        }
        assert_small_tasks_start(&mut fleet, LONG_MS);
        fleet.cancel(task(LASTING_JOB));
        let cancelled_at = fleet.now;
        fleet.run_until(cancelled_at + 10_000);
        for job in 1..=gang_count {
            assert!(fleet.starts.contains_key(&task(job)), "gang {job}");
        }
    }
}

/// Guards against the same right after a change of the leader, which knows from the record
/// that a run lasts.
#[test]
fn new_leader_reserves_nothing_that_a_lasting_run_keeps() {
    let mut fleet = finishers();
    fleet.publish(lasting(gpus(1)), None);
    fleet.run_until(500);
    publish_gang(&mut fleet, 1, "a", 6, gpus(8));
    publish_gang(&mut fleet, 2, "d", 6, gpus(8));
    fleet.run_until(2_000);
    fleet.change_leader();
    assert_small_tasks_start(&mut fleet, 20_000);
}

/// Guards against the same by one large task: it reserves a runner on which a lasting run
/// leaves it no room, and the tasks that need this runner wait.
#[test]
fn large_task_behind_a_lasting_run_holds_no_other_task_back() {
    let mut document = document(&[]);
    lift_limits(&mut document, &["a", "b", "c"]);
    let mut fleet = Fleet::new(document, platform_options());
    let capacity = Resources {
        slots: 64,
        ..gpus(8)
    };
    for number in 1..=4 {
        fleet.add_runner(&format!("r{number}"), capacity, None);
    }
    fleet.add_runner("r5", capacity, Some("b"));
    let labels = Labels::from([("b".to_owned(), String::new())]);
    let labelled = |meta: TaskMeta| TaskMeta {
        labels: labels.clone(),
        ..meta
    };
    fleet.publish(labelled(lasting(gpus(1))), None);
    fleet.run_until(500);
    fleet.publish(labelled(single(1, "a", gpus(8))), Some(1_000));
    for job in 10..30 {
        let published_at = fleet.now;
        fleet.publish(labelled(single(job, "b", gpus(1))), Some(300));
        fleet.run_until(published_at + BOUND_MS);
        assert!(fleet.starts.contains_key(&task(job)), "job {job}");
    }
}

/// Guards against a reservation that holds back a task which fits nowhere else for as long as
/// the reserved runner takes to become free: a run with an estimate of 20 s is on it.
#[test]
fn reservation_gives_way_to_a_task_that_fits_nowhere_else() {
    let mut fleet = finishers();
    let mut long = single(1, "c", gpus(1));
    long.rules.expected = Some(Milliseconds(20_000));
    fleet.publish(long, Some(20_000));
    fleet.run_until(500);
    publish_gang(&mut fleet, 2, "a", 6, gpus(8));
    assert_small_tasks_start(&mut fleet, 18_000);
    fleet.run_until(26_000);
    assert!(fleet.starts.contains_key(&task(2)), "the gang starts");
}

/// The protection that reservations are for: a gang starts under a steady stream of small
/// tasks that would fill all runners.
#[test]
fn gang_starts_under_a_steady_stream_of_small_tasks() {
    for duration in [500, 1_000, 2_000, 4_000] {
        let mut fleet = finishers();
        let per_step = 48 * support::fleet::STEP_MS / duration + 1;
        let mut job = 10;
        let mut stream = |fleet: &mut Fleet| {
            for _ in 0..per_step {
                let mut small = single(job, "b", gpus(1));
                small.rules.expected = Some(Milliseconds(duration));
                fleet.publish(small, Some(duration));
                job += 1;
            }
            fleet.step();
        };
        while fleet.now < 5_000 {
            stream(&mut fleet);
        }
        publish_gang(&mut fleet, 1, "a", 6, gpus(8));
        while fleet.now < 25_000 && !fleet.starts.contains_key(&task(1)) {
            stream(&mut fleet);
        }
        assert!(
            fleet.starts.contains_key(&task(1)),
            "small tasks of {duration} ms"
        );
    }
}
