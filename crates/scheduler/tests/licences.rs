//! Seats of licences: more urgent queues first, across all pools.

mod support;

use configuration::{ClusterConfiguration, LicenceSettings, PoolSettings, QueueMode};
use scheduler::{NotPlacedReason, Scheduler, SeatUsage};
use support::*;
use types::{LicenceName, PoolName, TaskMeta};

fn licence() -> LicenceName {
    LicenceName::new("finishing").unwrap()
}

/// Returns a configuration with queue `main` of priority 2 in pool `pool` and
/// queue `live` of priority 0 in pool `other`.
fn document_with(seats: u32) -> ClusterConfiguration {
    let mut document = document(&[("a", 100), ("b", 100)]);
    document
        .licences
        .insert(licence(), LicenceSettings { seats });
    document.queues.get_mut(&queue("main")).unwrap().priority = 2;
    let largest_runner = slots(64);
    let other = PoolName::new("other").unwrap();
    document
        .pools
        .insert(other.clone(), PoolSettings { largest_runner });
    add_queue(&mut document, "live", QueueMode::Active);
    document.queues.get_mut(&queue("live")).unwrap().pool = other;
    document
}

fn licensed_task(job: u64, queue_name: &str) -> TaskMeta {
    let mut meta = meta(job, "a", 1);
    meta.queue = queue(queue_name);
    meta.rules.licence = Some(licence());
    meta
}

fn heartbeat_both(scheduler: &mut Scheduler, sequence: u64, now: u64) {
    scheduler.heartbeat(&report("r1", sequence, 8, 8), at(now));
    let mut other = report("r2", sequence, 8, 8);
    other.pool = PoolName::new("other").unwrap();
    scheduler.heartbeat(&other, at(now));
}

#[test]
fn at_most_as_many_tasks_run_as_licence_has_seats() {
    let mut scheduler = scheduler(&document_with(2));
    heartbeat_both(&mut scheduler, 1, 0);
    for job in 1..=5 {
        scheduler.publish(licensed_task(job, "main"), at(0));
    }
    let placed = all_placed(scheduler.place(at(0), 10));
    assert_eq!(placed.len(), 2);
    let seats = SeatUsage {
        used: 2,
        waiting_tasks: 3,
    };
    assert_eq!(scheduler.seat_usage(&licence()), seats);
    let waiting = (1..=5).find(|job| placed.iter().all(|one| one.task != task(*job)));
    let reason = scheduler.explain(task(waiting.unwrap()), at(1));
    assert_eq!(reason, Some(NotPlacedReason::NoSeat));
    scheduler.remove_run(placed[0].run);
    assert_eq!(all_placed(scheduler.place(at(10), 10)).len(), 1);
}

#[test]
fn task_without_licence_starts_while_other_task_waits_for_seat() {
    let mut scheduler = scheduler(&document_with(0));
    heartbeat_both(&mut scheduler, 1, 0);
    scheduler.publish(licensed_task(1, "main"), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    let placed = all_placed(scheduler.place(at(0), 10));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].task, task(2));
}

#[test]
fn urgent_queue_gets_seat_before_less_urgent_queue_of_other_pool() {
    for offset in 0..20 {
        let mut scheduler = scheduler(&document_with(1));
        heartbeat_both(&mut scheduler, 1, 0);
        scheduler.publish(licensed_task(100 + offset, "main"), at(0));
        scheduler.publish(licensed_task(500 + offset, "live"), at(0));
        let placed = all_placed(scheduler.place(at(0), 10));
        assert_eq!(placed.len(), 1);
        assert_eq!(placed[0].task, task(500 + offset));
        scheduler.remove_run(placed[0].run);
        let next = all_placed(scheduler.place(at(10), 10));
        assert_eq!(next[0].task, task(100 + offset));
    }
}

#[test]
fn paused_queue_keeps_no_seat_free() {
    let mut document = document_with(1);
    document.queues.get_mut(&queue("live")).unwrap().mode = QueueMode::Paused;
    let mut scheduler = scheduler(&document);
    heartbeat_both(&mut scheduler, 1, 0);
    scheduler.publish(licensed_task(1, "main"), at(0));
    scheduler.publish(licensed_task(2, "live"), at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 1);
}

/// Guards against less urgent work that never starts: seats were set aside for
/// more urgent tasks that no runner could take.
#[test]
fn urgent_tasks_that_no_runner_can_take_keep_no_seat_free() {
    let mut scheduler = scheduler(&document_with(2));
    heartbeat_both(&mut scheduler, 1, 0);
    for job in 1..=100 {
        let mut impossible = licensed_task(job, "live");
        if job % 2 == 0 {
            impossible.resources = slots(9 + u32::try_from(job).unwrap());
        } else {
            let label = ("kind".to_owned(), format!("absent-{job}"));
            impossible.labels.extend([label]);
        }
        scheduler.publish(impossible, at(0));
    }
    scheduler.publish(licensed_task(1_000, "main"), at(0));
    scheduler.publish(licensed_task(1_001, "main"), at(0));
    let placed = all_placed(scheduler.place(at(0), 10));
    let tasks: Vec<_> = placed.iter().map(|one| one.task).collect();
    assert_eq!(tasks, [task(1_000), task(1_001)]);
}

/// A seat stays set aside for an urgent task that waits for a full runner.
#[test]
fn urgent_task_that_waits_for_capacity_keeps_one_seat_free() {
    let mut scheduler = scheduler(&document_with(2));
    heartbeat_both(&mut scheduler, 1, 0);
    let mut whole_runner = meta(1, "b", 8);
    whole_runner.queue = queue("live");
    scheduler.publish(whole_runner, at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 1);
    scheduler.publish(licensed_task(2, "live"), at(0));
    let mut impossible = licensed_task(3, "live");
    impossible.resources = slots(9);
    scheduler.publish(impossible, at(0));
    for job in 1_000..1_003 {
        scheduler.publish(licensed_task(job, "main"), at(0));
    }
    let placed = all_placed(scheduler.place(at(10), 10));
    assert_eq!(placed.len(), 1);
    assert_eq!(placed[0].task, task(1_000));
}

/// The same for the members of a gang.
#[test]
fn urgent_gang_keeps_seats_free_only_if_runners_could_take_all_of_it() {
    for (needs, expected) in [(8, 1), (4, 2)] {
        let mut scheduler = scheduler(&document_with(2));
        heartbeat_both(&mut scheduler, 1, 0);
        for index in 0..2 {
            let mut member = licensed_task(1, "live");
            member.task.task = index;
            member.step_tasks = 2;
            member.rules.gang = true;
            member.resources = slots(needs);
            scheduler.publish(member, at(0));
        }
        scheduler.publish(licensed_task(1_000, "main"), at(0));
        assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), expected);
    }
}

#[test]
fn adopted_run_uses_seat() {
    let document = document_with(1);
    let mut first = scheduler(&document);
    heartbeat_both(&mut first, 1, 0);
    first.publish(licensed_task(1, "main"), at(0));
    let placed = all_placed(first.place(at(0), 10)).remove(0);
    let mut next = scheduler(&document);
    next.adopt_run(
        types::OpenRun {
            endpoint: None,
            run: placed.run,
            task: placed.task,
            attempt: 1,
            tenant: tenant("a"),
            queue: queue("main"),
            runner: placed.runner,
            incarnation: placed.incarnation,
            resources: slots(1),
            time_limit: types::Milliseconds(1_000),
            expected: None,
            licence: Some(licence()),
            reserved_at: types::WallTime(0),
            self_stop: true,
        },
        false,
    );
    heartbeat_both(&mut next, 1, 0);
    next.publish(licensed_task(2, "live"), at(0));
    assert!(all_placed(next.place(at(0), 10)).is_empty());
}

/// Guards against seats that are left for good to an urgent gang which needs more seats than
/// the licence has.
#[test]
fn gang_that_needs_more_seats_than_there_are_leaves_them_to_others() {
    let mut scheduler = scheduler(&document_with(2));
    heartbeat_both(&mut scheduler, 1, 0);
    for index in 0..3 {
        let mut member = licensed_task(1, "live");
        member.task.task = index;
        member.step_tasks = 3;
        member.rules.gang = true;
        scheduler.publish(member, at(0));
    }
    scheduler.publish(licensed_task(2, "main"), at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 1);
}

/// Guards against seats that are left to urgent tasks for as long as the only runner that
/// could take them is draining.
#[test]
fn urgent_task_that_only_a_draining_runner_could_take_leaves_its_seat_to_others() {
    let mut scheduler = scheduler(&document_with(1));
    heartbeat_both(&mut scheduler, 1, 0);
    scheduler.set_draining(&runner("r2"), true);
    scheduler.publish(licensed_task(1, "live"), at(0));
    scheduler.publish(licensed_task(2, "main"), at(0));
    assert_eq!(all_placed(scheduler.place(at(0), 10)).len(), 1);
}
