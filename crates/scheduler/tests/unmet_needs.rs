//! Since when no runner can meet the needs of a waiting task.

mod support;

use scheduler::Scheduler;
use support::*;
use types::*;

fn with_runner() -> Scheduler {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    scheduler
}

#[test]
fn needs_larger_than_every_runner_are_unmet_since_the_task_waits() {
    let mut scheduler = with_runner();
    scheduler.publish(meta(1, "a", 5), at(100));
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(1_000));
    let since = scheduler.unmet_since(task(1), at(1_200));
    assert_eq!(since, Some(at(100).wall));
}

#[test]
fn required_labels_that_no_runner_has_are_unmet() {
    let mut scheduler = with_runner();
    let mut labelled = meta(1, "a", 1);
    labelled.labels = Labels::from([("kind".to_owned(), "b".to_owned())]);
    scheduler.publish(labelled, at(100));
    assert!(scheduler.unmet_since(task(1), at(200)).is_some());
}

#[test]
fn needs_of_a_full_runner_are_met() {
    let mut scheduler = with_runner();
    scheduler.publish(meta(1, "a", 4), at(0));
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.publish(meta(2, "a", 4), at(0));
    assert_eq!(scheduler.unmet_since(task(2), at(100)), None);
    assert_eq!(scheduler.unmet_since(task(1), at(100)), None);
}

#[test]
fn needs_are_unmet_since_the_last_suitable_runner_was_heard_of() {
    let mut scheduler = with_runner();
    scheduler.heartbeat(&report("r2", 1, 8, 8), at(0));
    scheduler.publish(meta(1, "a", 8), at(0));
    scheduler.set_draining(&runner("r2"), true);
    assert_eq!(scheduler.unmet_since(task(1), at(100)), None);
    scheduler.set_draining(&runner("r2"), false);
    scheduler.heartbeat(&report("r2", 2, 8, 8), at(3_000));
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(60_000));
    let since = scheduler.unmet_since(task(1), at(60_000));
    assert_eq!(since, Some(at(3_000).wall));
}

#[test]
fn pool_without_runners_and_unknown_tasks_have_no_answer() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    scheduler.publish(meta(1, "a", 4), at(0));
    assert_eq!(scheduler.unmet_since(task(1), at(100)), None);
    assert_eq!(scheduler.unmet_since(task(2), at(100)), None);
}
