//! Headroom below a tenant's resource limit: work of a less urgent queue, in
//! whatever pool, must not use what the tenant's more urgent queues need.

mod support;

use configuration::{ClusterConfiguration, PoolSettings, QueueMode};
use scheduler::{NotPlacedReason, Policy, Scheduler, SchedulerOptions};
use support::*;
use types::{PoolName, Reservation, RunnerReport, TaskMeta};

/// Tenants `a` and `b`; queue `urgent` of pool `pool`, and the less urgent queue
/// `batch` of pool `other`.
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

fn fleet(document: &ClusterConfiguration, options: SchedulerOptions) -> Scheduler {
    let mut scheduler = Scheduler::new(options, types::Term(3), 7);
    scheduler.configure(document);
    hear_all(&mut scheduler, 0);
    scheduler
}

fn hear_all(scheduler: &mut Scheduler, milliseconds: u64) {
    let sequence = milliseconds + 1;
    // The runner with more free capacity pulls first: that of the less urgent pool.
    scheduler.heartbeat(&report("quick", sequence, 20, 20), at(milliseconds));
    let large = in_other_pool(report("large", sequence, 64, 64));
    scheduler.heartbeat(&large, at(milliseconds));
}

fn jobs_of(placed: &[Reservation]) -> Vec<u64> {
    placed.iter().map(|one| one.task.job.0).collect()
}

fn end(scheduler: &mut Scheduler, run: &Reservation) {
    scheduler.remove_run(run.run);
    scheduler.remove(run.task);
}

/// Work that comes, is placed whole and has ended.
fn run_and_end(scheduler: &mut Scheduler, work: impl IntoIterator<Item = TaskMeta>) {
    let mut tasks = 0;
    for meta in work {
        scheduler.publish(meta, at(0));
        tasks += 1;
    }
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(placed.len(), tasks);
    placed.iter().for_each(|run| end(scheduler, run));
}

/// Ends a run of `batch` and places what follows.
fn end_and_place(scheduler: &mut Scheduler, run: &Reservation, ms: u64) -> Vec<Reservation> {
    end(scheduler, run);
    all_placed(scheduler.place(at(ms), 100))
}

#[test]
fn headroom_below_the_resource_limit_goes_to_the_more_urgent_queue_of_another_pool() {
    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
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

#[test]
fn the_recent_demand_of_urgent_work_stays_free_below_the_resource_limit() {
    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
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
    assert_eq!(jobs_of(&placed), [31, 32, 33], "at once, nothing has ended");
}

#[test]
fn a_task_limited_by_headroom_reports_that_reason() {
    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
    let urgent = (21..=23).map(|job| in_queue("urgent", meta(job, "a", 2)));
    run_and_end(&mut scheduler, urgent);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    scheduler.place(at(500), 100);
    let waits = NotPlacedReason::LimitReservedForUrgent;
    assert_eq!(scheduler.explain(task(10), at(600)), Some(waits));
}

#[test]
fn headroom_is_at_most_the_set_percentage_and_none_of_the_first_half() {
    // Waits for ever: no runner carries its label.
    let mut nowhere = in_queue("urgent", meta(21, "a", 39));
    nowhere.labels.insert("kind".to_owned(), "none".to_owned());

    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
    scheduler.publish(nowhere.clone(), at(0));
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(placed.len(), 6, "a quarter of 40 is kept, not 39");

    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
    scheduler.publish(nowhere, at(0));
    scheduler.publish(in_queue("batch", meta(1, "a", 38)), at(0));
    let placed = all_placed(scheduler.place(at(0), 100));
    assert_eq!(
        jobs_of(&placed),
        [1],
        "a tenant that uses little leaves nothing"
    );
}

#[test]
fn headroom_ends_when_no_urgent_work_has_come_for_long() {
    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(1_000));
    }
    assert_eq!(all_placed(scheduler.place(at(1_000), 100)).len(), 6);
    let mut later = 0;
    for second in 2..40 {
        hear_all(&mut scheduler, second * 1_000);
        later += all_placed(scheduler.place(at(second * 1_000), 100)).len();
    }
    assert_eq!(later, 2, "the whole limit is used");
}

#[test]
fn headroom_does_not_starve_less_urgent_work() {
    let options = SchedulerOptions {
        reserve_after: types::Milliseconds(1_000),
        ..SchedulerOptions::default()
    };
    let mut scheduler = fleet(&two_pools(40), options);
    let mut endless = Vec::new();
    for job in 1..=6 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    endless.extend(all_placed(scheduler.place(at(0), 100)));
    assert_eq!(endless.len(), 6);
    scheduler.publish(in_queue("batch", meta(7, "a", 5)), at(0));
    let mut started_at = None;
    for tick in 0..200_u64 {
        let ms = 100 + tick * 100;
        hear_all(&mut scheduler, ms);
        // Urgent work comes again and again, and rests in between.
        if tick % 2 == 0 {
            scheduler.publish(in_queue("urgent", meta(100 + tick, "a", 9)), at(ms));
        }
        for run in all_placed(scheduler.place(at(ms), 100)) {
            if run.task.job.0 == 7 {
                started_at.get_or_insert(ms);
            } else {
                end(&mut scheduler, &run);
            }
        }
    }
    let started_at = started_at.expect("it starts in the end");
    assert!((9_000..15_000).contains(&started_at), "at {started_at}");
}

#[test]
fn no_headroom_is_left_to_urgent_work_of_another_tenant() {
    let mut scheduler = fleet(&two_pools(40), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "b", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 8);
}

#[test]
fn no_headroom_is_left_to_a_queue_of_equal_priority() {
    let mut scheduler = fleet(&two_pools(20), SchedulerOptions::default());
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("main", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 4);
}

#[test]
fn without_the_headroom_policy_the_resource_limit_is_used_up() {
    let options = SchedulerOptions {
        policy: Policy {
            urgent_headroom: false,
            ..Policy::default()
        },
        ..SchedulerOptions::default()
    };
    let mut scheduler = fleet(&two_pools(40), options);
    run_and_end(&mut scheduler, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        scheduler.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(scheduler.place(at(500), 100)).len(), 8);
}
