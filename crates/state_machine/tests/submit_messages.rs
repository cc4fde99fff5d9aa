//! Full texts of the messages that callers receive for jobs that can never succeed.

mod support;

use state_machine::CommandReply;
use support::*;
use types::{JobSpec, Labels, LicenceName, Milliseconds};

/// Returns the message with which a job is rejected. The job has the steps `s` and
/// `t`, of which `t` depends on `s`; `change` makes it invalid.
fn rejection_message(change: impl FnOnce(&mut JobSpec)) -> String {
    let mut spec = job("j", vec![step("s", 1, &[]), step("t", 1, &["s"])]);
    change(&mut spec);
    match Driver::new().submit(spec).reply {
        CommandReply::Rejected(rejection) => rejection.to_string(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn message_for_number_of_steps_or_tasks_out_of_range() {
    let steps = rejection_message(|job| job.steps.clear());
    assert_eq!(steps, "a job has 1 to 1024 steps, this one has 0");
    let tasks = rejection_message(|job| job.steps[0].tasks = 10_000);
    assert_eq!(tasks, "a job has at most 10000 tasks, this one has 10001");
}

#[test]
fn message_for_each_invalid_setting_of_a_step() {
    let tasks = rejection_message(|job| job.steps[0].tasks = 0);
    assert_eq!(tasks, "step s has no tasks");
    let copies = rejection_message(|job| job.steps[0].max_copies = 9);
    assert_eq!(copies, "step s must allow 1 to 8 copies");
    let failures = rejection_message(|job| job.steps[0].allowed_failures = 101);
    assert_eq!(failures, "step s may allow at most 100 failures");
    let gang = rejection_message(|job| {
        job.steps[0].rules.gang = true;
        job.steps[0].max_copies = 2;
    });
    let expected = "step s is a gang and must allow exactly one copy of each task";
    assert_eq!(gang, expected);
    let runs_per_runner = rejection_message(|job| job.steps[0].rules.max_per_runner = Some(0));
    let expected = "step s can run on no runner: max_per_runner must be at least 1";
    assert_eq!(runs_per_runner, expected);
    let slots = rejection_message(|job| job.steps[0].resources.slots = 0);
    assert_eq!(slots, "a task of step s must request at least one slot");
    let payload = rejection_message(|job| job.steps[0].payload = "x".repeat(65_537));
    assert_eq!(payload, "the payload of step s is longer than 65536 bytes");
    let labels = rejection_message(|job| {
        job.steps[0].labels = Labels::from([("k".to_owned(), "v".repeat(129))]);
    });
    let expected =
        "step s may require at most 32 labels, with keys and values of at most 128 bytes";
    assert_eq!(labels, expected);
}

#[test]
fn message_for_time_limit_out_of_range() {
    let max = Milliseconds(604_800_000);
    for limit in [0, max.0 + 1] {
        let message = rejection_message(|job| job.steps[0].time_limit = Milliseconds(limit));
        let expected = format!("the time limit of step s must be 1 ms to {max}");
        assert_eq!(message, expected);
    }
}

#[test]
fn message_for_duplicate_step_names_and_invalid_dependencies() {
    let duplicate = rejection_message(|job| job.steps[1].name = step_name("s"));
    assert_eq!(duplicate, "two steps are named s");
    let unknown = rejection_message(|job| job.steps[1].after = vec![step_name("none")]);
    let expected = "step t depends on step none, which does not exist";
    assert_eq!(unknown, expected);
    let twice = rejection_message(|job| job.steps[1].after = vec![step_name("s"); 2]);
    assert_eq!(twice, "step t lists the dependency s twice");
    let cycle = rejection_message(|job| job.steps[0].after = vec![step_name("t")]);
    assert_eq!(cycle, "step s depends on a cycle of steps");
}

#[test]
fn message_for_unknown_licence_and_oversized_tasks() {
    let licence = rejection_message(|job| {
        job.steps[0].rules.licence = Some(LicenceName::new("l").unwrap());
    });
    let expected = "step s needs the licence l, which does not exist";
    assert_eq!(licence, expected);
    let runner = rejection_message(|job| job.steps[0].resources = slots(5));
    assert_eq!(
        runner,
        "a task of step s is larger than every runner of queue q"
    );
    let limit = rejection_message(|job| {
        job.tenant = tenant("b");
        job.steps[0].resources = slots(3);
    });
    assert_eq!(
        limit,
        "a task of step s exceeds the resource limit of tenant b"
    );
}
