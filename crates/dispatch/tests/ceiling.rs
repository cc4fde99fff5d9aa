//! What of a tenant's ceiling is kept for its more urgent queues: work of a less
//! urgent one, in whatever pool, must not fill the ceiling up.

mod support;

use configuration::{ClusterConfiguration, PoolSettings, QueueMode};
use dispatch::{Dispatcher, DispatcherOptions, NotPlacedReason, Policy};
use support::*;
use types::{PoolName, Reservation, RunnerReport, TaskMeta};

/// Tenants `a` and `b`; queue `urgent` of pool `pool`, and the less urgent queue
/// `batch` of pool `other`.
fn two_pools(ceiling: u32) -> ClusterConfiguration {
    let mut document = document(&[("a", ceiling), ("b", ceiling)]);
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

fn fleet(document: &ClusterConfiguration, options: DispatcherOptions) -> Dispatcher {
    let mut dispatcher = Dispatcher::new(options, types::Term(3), 7);
    dispatcher.configure(document);
    hear_all(&mut dispatcher, 0);
    dispatcher
}

fn hear_all(dispatcher: &mut Dispatcher, milliseconds: u64) {
    let sequence = milliseconds + 1;
    // The runner with more room is pulled for first: that of the less urgent pool.
    dispatcher.heartbeat(&report("quick", sequence, 20, 20), at(milliseconds));
    let large = in_other_pool(report("large", sequence, 64, 64));
    dispatcher.heartbeat(&large, at(milliseconds));
}

fn jobs_of(placed: &[Reservation]) -> Vec<u64> {
    placed.iter().map(|one| one.task.job.0).collect()
}

fn end(dispatcher: &mut Dispatcher, run: &Reservation) {
    dispatcher.remove_run(run.run);
    dispatcher.remove(run.task);
}

/// Work that comes, is placed whole and has ended.
fn run_and_end(dispatcher: &mut Dispatcher, work: impl IntoIterator<Item = TaskMeta>) {
    let mut tasks = 0;
    for meta in work {
        dispatcher.publish(meta, at(0));
        tasks += 1;
    }
    let placed = all_placed(dispatcher.place(at(0), 100));
    assert_eq!(placed.len(), tasks);
    placed.iter().for_each(|run| end(dispatcher, run));
}

/// Ends a run of `batch` and places what follows.
fn end_and_place(dispatcher: &mut Dispatcher, run: &Reservation, ms: u64) -> Vec<Reservation> {
    end(dispatcher, run);
    all_placed(dispatcher.place(at(ms), 100))
}

#[test]
fn room_under_the_ceiling_goes_to_the_more_urgent_queue_of_another_pool() {
    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 10)), at(0));
    }
    let running = all_placed(dispatcher.place(at(0), 100));
    assert_eq!(running.len(), 4, "the tenant is at its ceiling");
    for job in 21..=23 {
        dispatcher.publish(in_queue("urgent", meta(job, "a", 2)), at(10));
    }
    let placed = end_and_place(&mut dispatcher, &running[0], 20);
    assert_eq!(jobs_of(&placed), [21, 22, 23]);
}

#[test]
fn what_urgent_work_asked_for_lately_stays_free_under_the_ceiling() {
    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    let urgent = (21..=23).map(|job| in_queue("urgent", meta(job, "a", 2)));
    run_and_end(&mut dispatcher, urgent);
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(dispatcher.place(at(500), 100)).len(), 6);
    for job in 31..=33 {
        dispatcher.publish(in_queue("urgent", meta(job, "a", 2)), at(900));
    }
    let placed = all_placed(dispatcher.place(at(900), 100));
    assert_eq!(jobs_of(&placed), [31, 32, 33], "at once, nothing has ended");
}

#[test]
fn a_task_that_leaves_room_for_urgent_work_says_so() {
    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    let urgent = (21..=23).map(|job| in_queue("urgent", meta(job, "a", 2)));
    run_and_end(&mut dispatcher, urgent);
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    dispatcher.place(at(500), 100);
    let waits = NotPlacedReason::CeilingKeptForUrgent;
    assert_eq!(dispatcher.explain(task(10), at(600)), Some(waits));
}

#[test]
fn no_more_than_the_part_is_kept_and_none_of_the_first_half() {
    // Waits for ever: no runner carries its label.
    let mut nowhere = in_queue("urgent", meta(21, "a", 39));
    nowhere.labels.insert("kind".to_owned(), "none".to_owned());

    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    dispatcher.publish(nowhere.clone(), at(0));
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    let placed = all_placed(dispatcher.place(at(0), 100));
    assert_eq!(placed.len(), 6, "a quarter of 40 is kept, not 39");

    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    dispatcher.publish(nowhere, at(0));
    dispatcher.publish(in_queue("batch", meta(1, "a", 38)), at(0));
    let placed = all_placed(dispatcher.place(at(0), 100));
    assert_eq!(
        jobs_of(&placed),
        [1],
        "a tenant that holds little leaves nothing"
    );
}

#[test]
fn what_is_kept_is_given_up_when_no_urgent_work_came_for_long() {
    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    run_and_end(&mut dispatcher, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(1_000));
    }
    assert_eq!(all_placed(dispatcher.place(at(1_000), 100)).len(), 6);
    let mut later = 0;
    for second in 2..40 {
        hear_all(&mut dispatcher, second * 1_000);
        later += all_placed(dispatcher.place(at(second * 1_000), 100)).len();
    }
    assert_eq!(later, 2, "the whole ceiling is used");
}

#[test]
fn less_urgent_work_is_not_shut_out_for_ever() {
    let options = DispatcherOptions {
        hold_after: types::Milliseconds(1_000),
        ..DispatcherOptions::default()
    };
    let mut dispatcher = fleet(&two_pools(40), options);
    let mut endless = Vec::new();
    for job in 1..=6 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(0));
    }
    endless.extend(all_placed(dispatcher.place(at(0), 100)));
    assert_eq!(endless.len(), 6);
    dispatcher.publish(in_queue("batch", meta(7, "a", 5)), at(0));
    let mut started_at = None;
    for tick in 0..200_u64 {
        let ms = 100 + tick * 100;
        hear_all(&mut dispatcher, ms);
        // Urgent work comes again and again, and rests in between.
        if tick % 2 == 0 {
            dispatcher.publish(in_queue("urgent", meta(100 + tick, "a", 9)), at(ms));
        }
        for run in all_placed(dispatcher.place(at(ms), 100)) {
            if run.task.job.0 == 7 {
                started_at.get_or_insert(ms);
            } else {
                end(&mut dispatcher, &run);
            }
        }
    }
    let started_at = started_at.expect("it starts in the end");
    assert!((9_000..15_000).contains(&started_at), "at {started_at}");
}

#[test]
fn nothing_is_kept_for_the_urgent_work_of_another_tenant() {
    let mut dispatcher = fleet(&two_pools(40), DispatcherOptions::default());
    run_and_end(&mut dispatcher, [in_queue("urgent", meta(21, "b", 10))]);
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(dispatcher.place(at(500), 100)).len(), 8);
}

#[test]
fn nothing_is_kept_for_a_queue_that_is_no_more_urgent() {
    let mut dispatcher = fleet(&two_pools(20), DispatcherOptions::default());
    run_and_end(&mut dispatcher, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        dispatcher.publish(in_queue("main", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(dispatcher.place(at(500), 100)).len(), 4);
}

#[test]
fn without_the_mechanism_the_ceiling_is_filled() {
    let options = DispatcherOptions {
        policy: Policy {
            ceiling_reserve: false,
            ..Policy::default()
        },
        ..DispatcherOptions::default()
    };
    let mut dispatcher = fleet(&two_pools(40), options);
    run_and_end(&mut dispatcher, [in_queue("urgent", meta(21, "a", 10))]);
    for job in 1..=10 {
        dispatcher.publish(in_queue("batch", meta(job, "a", 5)), at(500));
    }
    assert_eq!(all_placed(dispatcher.place(at(500), 100)).len(), 8);
}
