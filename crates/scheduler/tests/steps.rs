//! The four atomic steps: publish, reserve, reschedule and remove.

mod support;

use scheduler::{NotPlacedReason, Published};
use support::*;
use types::*;

#[test]
fn publish_is_idempotent_while_pending_delayed_and_running() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    assert_eq!(scheduler.publish(meta(1, "a", 1), at(0)), Published::New);
    assert_eq!(
        scheduler.publish(meta(1, "a", 1), at(0)),
        Published::Present
    );
    let mut delayed = meta(2, "a", 1);
    delayed.not_before = Some(at(500).wall);
    assert_eq!(scheduler.publish(delayed.clone(), at(0)), Published::New);
    assert_eq!(scheduler.publish(delayed, at(0)), Published::Present);
    let reservation = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(reservation.task, task(1));
    assert_eq!(
        scheduler.publish(meta(1, "a", 1), at(0)),
        Published::Present
    );
    assert_eq!(placed(scheduler.reserve(&runner("r1"), at(0))), None);
}

#[test]
fn publish_of_task_with_adopted_run_changes_nothing() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    let run = RunId {
        term: Term(2),
        sequence: 9,
    };
    let open = OpenRun {
        endpoint: None,
        attempt: 1,
        expected: None,
        licence: None,
        run,
        task: task(1),
        tenant: tenant("a"),
        queue: queue("main"),
        runner: runner("r1"),
        incarnation: RunnerIncarnation(1),
        resources: slots(2),
        time_limit: Milliseconds(1_000),
        reserved_at: at(0).wall,
        self_stop: true,
    };
    scheduler.adopt_run(open.clone(), false);
    scheduler.adopt_run(open, false);
    assert_eq!(scheduler.usage(&tenant("a")), slots(2));
    assert_eq!(
        scheduler.publish(meta(1, "a", 2), at(0)),
        Published::Present
    );
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::AlreadyRunning)
    );
    scheduler.reschedule(run, meta(1, "a", 2), at(0));
    scheduler.reschedule(run, meta(1, "a", 2), at(0));
    assert_eq!(scheduler.usage(&tenant("a")), Resources::ZERO);
    assert_eq!(scheduler.pending_count(&queue("main"), &tenant("a")), 1);
}

#[test]
fn urgent_task_starts_first_then_oldest() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    let mut urgent = meta(3, "a", 1);
    urgent.urgency = Urgency::Urgent;
    scheduler.publish(urgent, at(0));
    let mut order = Vec::new();
    while let Some(reservation) = placed(scheduler.reserve(&runner("r1"), at(0))) {
        order.push(reservation.task.job.0);
    }
    assert_eq!(order, [3, 1, 2]);
}

#[test]
fn delayed_task_starts_at_its_start_time() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    let mut delayed = meta(1, "a", 1);
    delayed.not_before = Some(at(500).wall);
    scheduler.publish(delayed, at(0));
    assert_eq!(scheduler.next_start_time(), Some(at(500).wall));
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::BeforeItsTime {
            not_before: at(500).wall
        })
    );
    assert_eq!(scheduler.reserve(&runner("r1"), at(499)), None);
    assert!(scheduler.reserve(&runner("r1"), at(500)).is_some());
    assert_eq!(scheduler.next_start_time(), None);
}

#[test]
fn run_of_removed_task_counts_in_usage_until_it_is_removed() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.publish(meta(1, "a", 2), at(0));
    let run = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap().run;
    scheduler.remove(task(1));
    scheduler.remove(task(1));
    assert_eq!(scheduler.usage(&tenant("a")), slots(2));
    assert_eq!(
        scheduler.publish(meta(1, "a", 2), at(0)),
        Published::Present
    );
    scheduler.remove_run(run);
    scheduler.remove_run(run);
    assert_eq!(scheduler.usage(&tenant("a")), Resources::ZERO);
    assert_eq!(scheduler.task_count(), 0);
}

#[test]
fn run_identifiers_carry_term_and_increase() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    for job in 1..=3 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    let mut last = 0;
    while let Some(reservation) = placed(scheduler.reserve(&runner("r1"), at(0))) {
        assert_eq!(reservation.run.term, Term(3));
        assert!(reservation.run.sequence > last);
        last = reservation.run.sequence;
    }
    assert_eq!(last, 3);
}

#[test]
fn copy_starts_only_on_other_runner_and_after_pending_tasks() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler.heartbeat(&report("r2", 1, 4, 4), at(0));
    let mut with_two_copies = meta(1, "a", 1);
    with_two_copies.max_copies = 2;
    scheduler.publish(with_two_copies, at(0));
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.publish(meta(2, "a", 1), at(0));
    let ordinary = placed(scheduler.reserve(&runner("r2"), at(0))).unwrap();
    assert_eq!(ordinary.task, task(2));
    let copy = placed(scheduler.reserve(&runner("r2"), at(0))).unwrap();
    assert_eq!(copy.task, task(1));
    assert_eq!(scheduler.reserve(&runner("r2"), at(0)), None);
    scheduler.remove_run(first.run);
    assert_eq!(scheduler.usage(&tenant("a")), slots(2));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
}

#[test]
fn task_that_fits_is_placed_behind_any_number_of_shapes() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 8, 2), at(0));
    for job in 1..=50 {
        scheduler.publish(meta(job, "a", 3), at(0));
    }
    scheduler.publish(meta(60, "a", 1), at(0));
    let small = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(small.task, task(60));
    for needs in 4..=64 {
        scheduler.publish(meta(100 + u64::from(needs), "a", needs), at(0));
    }
    scheduler.publish(meta(200, "a", 1), at(0));
    let small = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(small.task, task(200));
}

/// A view that is rebuilt within its term starts with an empty sequence. It
/// must continue after the identifiers of the runs that it adopts.
#[test]
fn view_rebuilt_within_its_term_reuses_no_run_identifier() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 8, 8), at(0));
    let sequence = 41;
    scheduler.adopt_run(
        OpenRun {
            endpoint: None,
            attempt: 1,
            expected: None,
            licence: None,
            run: RunId {
                term: Term(3),
                sequence,
            },
            task: task(1),
            tenant: tenant("a"),
            queue: queue("main"),
            runner: runner("r1"),
            incarnation: RunnerIncarnation(1),
            resources: slots(1),
            time_limit: Milliseconds(1_000),
            reserved_at: at(0).wall,
            self_stop: true,
        },
        false,
    );
    scheduler.publish(meta(2, "a", 1), at(0));
    let next = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert!(next.run.sequence > sequence);
}

#[test]
fn copy_is_placed_behind_any_number_of_tasks_that_run_on_the_runner() {
    let mut scheduler = scheduler(&document(&[("a", 1_000)]));
    scheduler.heartbeat(&report("r1", 1, 200, 200), at(0));
    scheduler.heartbeat(&report("r2", 1, 200, 200), at(0));
    for job in 1..=101 {
        let mut with_two_copies = meta(job, "a", 1);
        with_two_copies.max_copies = 2;
        scheduler.publish(with_two_copies, at(0));
        let on = if job <= 100 { "r1" } else { "r2" };
        scheduler.reserve(&runner(on), at(0)).unwrap();
    }
    let copy = placed(scheduler.reserve(&runner("r1"), at(0)));
    assert_eq!(copy.map(|copy| copy.task), Some(task(101)));
}
