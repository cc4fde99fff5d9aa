//! Headroom below a tenant's resource limit: work of a less urgent queue, in
//! any pool, must leave what the tenant's more urgent queues need.

mod support;

use configuration::{ClusterConfiguration, PoolSettings, QueueMode};
use scheduler::{NotPlacedReason, Policy, Scheduler, SchedulerOptions};
use support::*;
use types::{PoolName, Reservation, RunnerReport, TaskMeta};

/// Returns a configuration of tenants `a` and `b` with this limit in slots,
/// queue `urgent` of pool `pool`, and the less urgent queue `batch` of pool
/// `other`.
fn two_pools(resource_limit: u32) -> ClusterConfiguration {
    let mut document = document(&[("a", resource_limit), ("b", resource_limit)]);
    add_queue(&mut document, "urgent", QueueMode::Active);
    add_queue(&mut document, "batch", QueueMode::Active);
    let other = PoolName::new("other").unwrap();
    let settings = PoolSettings {
        largest_runner: slots(64),
    };
    document.pools.insert(other.clone(), settings);
    let batch = document.queues.get_mut(&queue("batch")).unwrap();
    batch.pool = other;
    batch.priority = 1;
    document
}

fn in_other_pool(report: RunnerReport) -> RunnerReport {
    RunnerReport {
        pool: PoolName::new("other").unwrap(),
        ..report
    }
}

fn in_queue(name: &str, meta: TaskMeta) -> TaskMeta {
    TaskMeta {
        queue: queue(name),
        ..meta
    }
}

fn two_runners(document: &ClusterConfiguration, options: SchedulerOptions) -> Scheduler {
    let mut scheduler = Scheduler::new(options, types::Term(3), 7);
    scheduler.configure(document);
    heartbeat_all(&mut scheduler, 0);
    scheduler
}

fn heartbeat_all(scheduler: &mut Scheduler, milliseconds: u64) {
    let sequence = milliseconds + 1;
    // The runner with more free capacity pulls first: the one in the pool of
    // the less urgent queue.
    scheduler.heartbeat(&report("small", sequence, 20, 20), at(milliseconds));
    let large = in_other_pool(report("large", sequence, 64, 64));
    scheduler.heartbeat(&large, at(milliseconds));
}

fn jobs_of(placed: &[Reservation]) -> Vec<u64> {
    placed.iter().map(|one| one.task.job.0).collect()
}

fn end_run(scheduler: &mut Scheduler, run: &Reservation) {
    scheduler.remove_run(run.run);
    scheduler.remove(run.task);
}

/// Publishes tasks, places all of them and ends their runs.
fn run_and_end(scheduler: &mut Scheduler, work: impl IntoIterator<Item = TaskMeta>) {
    let mut tasks = 0;
    for meta in work {
        scheduler.publish(meta, at(0));
        tasks += 1;
    }
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(placed.len(), tasks);
    placed.iter().for_each(|run| end_run(scheduler, run));
}

/// Ends a run and places what may start then.
fn end_and_place(scheduler: &mut Scheduler, run: &Reservation, ms: u64) -> Vec<Reservation> {
    end_run(scheduler, run);
    all_placed(scheduler.place(at(ms), 100))
}

#[test]
fn freed_resources_at_limit_go_to_more_urgent_queue_of_other_pool() {
    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 10)), at(0));
    }
    let running = all_placed(scheduler.place(at(0), 100));
    assert_eq!(running.len(), 4, "the tenant is at its limit");
    for job in 21..=23 {
        scheduler.publish(in_queue("urgent", meta(job, "a", 2)), at(10));
    }
    let placed = end_and_place(&mut scheduler, &running[0], 20);
    assert_eq!(jobs_of(&placed), [21, 22, 23]);
}

/// Without headroom, tasks of the less urgent queue would fill the limit
/// between two bursts of urgent tasks.
#[test]
fn recent_demand_of_urgent_queue_stays_free_below_resource_limit() {
    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    let urgent = (21..=23).map(|job| in_queue("urgent", meta(job, "a", 2)));
    run_and_end(&mut scheduler, urgent);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 6);
    for job in 31..=33 {
        scheduler.publish(in_queue("urgent", meta(job, "a", 2)), at(900));
    }
    let placed = all_placed(scheduler.place(at(900), 100));
    assert_eq!(
        jobs_of(&placed),
        [31, 32, 33],
        "urgent tasks start before any run has ended"
    );
}

#[test]
fn task_blocked_by_headroom_reports_limit_reserved_for_urgent() {
    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    let urgent = (21..=23).map(|job| in_queue("urgent", meta(job, "a", 2)));
    run_and_end(&mut scheduler, urgent);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    scheduler.place(at(500), 100);
    let reason = NotPlacedReason::LimitReservedForUrgent;
    assert_eq!(scheduler.explain(task(10), at(600)), Some(reason));
}

#[test]
fn headroom_is_at_most_configured_percentage_and_only_above_half_of_limit() {
    // Never starts, as no runner has the label.
    let mut unplaceable = in_queue("urgent", meta(21, "a", 39));
    unplaceable
        .labels
        .insert("kind".to_owned(), "none".to_owned());

    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    scheduler.publish(unplaceable.clone(), at(0));
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(placed.len(), 6, "the headroom is a quarter of 40, not 39");

    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    scheduler.publish(unplaceable, at(0));
    scheduler.publish(in_queue("batch", meta(1, "a", 38)), at(0));
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(
        jobs_of(&placed),
        [1],
        "a tenant that uses less than half of its limit leaves no headroom"
    );
}

#[test]
fn headroom_expires_without_new_urgent_work() {
    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(1_000));
    }
    assert_eq!(all_placed(scheduler.place(at(1_000), 100)).len(), 6);
    let mut placed_later = 0;
    for second in 2..40 {
        heartbeat_all(&mut scheduler, second * 1_000);
        placed_later += all_placed(scheduler.place(at(second * 1_000), 100)).len();
    }
    assert_eq!(placed_later, 2, "the whole limit is used");
}

#[test]
fn less_urgent_task_starts_within_headroom_after_long_wait() {
    let options = SchedulerOptions {
        reserve_after: types::Milliseconds(1_000),
        ..SchedulerOptions::default()
    };
    let mut scheduler = two_runners(&two_pools(40), options);
    let mut running = Vec::new();
    for job in 1..=6 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    running.extend(all_placed(scheduler.place(at(0), 100)));
    assert_eq!(running.len(), 6);
    scheduler.publish(in_queue("batch", meta(7, "a", 5)), at(0));
    let mut started_at = None;
    for tick in 0..200_u64 {
        let ms = 100 + tick * 100;
        heartbeat_all(&mut scheduler, ms);
        // Urgent tasks arrive repeatedly, with pauses in between.
        if tick % 2 == 0 {
            scheduler.publish(in_queue("urgent", meta(100 + tick, "a", 9)), at(ms));
        }
        for run in all_placed(scheduler.place(at(ms), 100)) {
            if run.task.job.0 == 7 {
                started_at.get_or_insert(ms);
            } else {
                end_run(&mut scheduler, &run);
            }
        }
    }
    let started_at = started_at.expect("the task of the less urgent queue starts");
    assert!(
        (9_000..15_000).contains(&started_at),
        "started at {started_at} ms"
    );
}

#[test]
fn no_headroom_for_urgent_work_of_other_tenant() {
    let mut scheduler = two_runners(&two_pools(40), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "b", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 8);
}

#[test]
fn no_headroom_for_queue_of_equal_priority() {
    let mut scheduler = two_runners(&two_pools(20), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("main", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 4);
}

#[test]
fn whole_resource_limit_is_used_without_headroom_policy() {
    let options = SchedulerOptions {
        policy: Policy {
            urgent_headroom: false,
            ..Policy::default()
        },
        ..SchedulerOptions::default()
    };
    let mut scheduler = two_runners(&two_pools(40), options);
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 8);
}
