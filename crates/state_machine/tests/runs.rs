//! Runs: reservations, outcomes, failures, copies and cancellations.

mod support;

use configuration::QueueMode;
use state_machine::{CancelSelector, Change, Command, CommandReply, ReservationRejection};
use support::*;
use types::*;

fn with_job(steps: Vec<StepSpec>) -> Driver {
    let mut driver = Driver::new();
    driver.submit(job("j", steps));
    driver
}

#[test]
fn steps_start_in_order_and_the_last_one_ends_the_job() {
    let mut driver = with_job(vec![
        step("late", 1, &["left", "right"]),
        step("left", 1, &[]),
        step("right", 1, &[]),
    ]);
    assert_eq!(driver.ready(), [task(1, 1, 0), task(1, 2, 0)]);
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    driver.at = WallTime(1_500);
    let left = driver.reserve(task(1, 1, 0)).unwrap();
    assert_eq!(driver.view("j").state, JobState::Running);
    assert!(ready_in(&driver.close(left, DONE)).is_empty());
    let right = driver.reserve(task(1, 2, 0)).unwrap();
    assert_eq!(ready_in(&driver.close(right, DONE)), [task(1, 0, 0)]);
    assert_eq!(driver.ready(), [task(1, 0, 0)]);
    let late = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(late, DONE);
    let waited = Some(Milliseconds(500));
    assert!(changes.iter().any(|change| matches!(change,
        Change::JobEnded { state: JobState::Done, waited: w, .. } if *w == waited)));
    assert_eq!(driver.view("j").state, JobState::Done);
    assert_eq!(driver.state_machine.unfinished_jobs(), 0);
}

#[test]
fn reservations_are_checked_again() {
    let mut driver = with_job(vec![step("s", 3, &[])]);
    let first = driver.reserve(task(1, 0, 0)).unwrap();
    let again = driver.reserve_as(first, task(1, 0, 1), "runner");
    assert_eq!(again, Err(ReservationRejection::KnownRun));
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    assert_eq!(
        driver.reserve(task(9, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    driver.state_machine.apply(&Command::SetRunnerDraining {
        runner: runner("leaving"),
        draining: true,
        at: driver.at,
    });
    let on_leaving = driver.reserve_as(run_id(70), task(1, 0, 1), "leaving");
    assert_eq!(on_leaving, Err(ReservationRejection::RunnerDraining));
    for (version, mode) in [(2, QueueMode::Paused), (3, QueueMode::Shadow)] {
        let mut changed = document();
        changed.queues.get_mut(&queue("q")).unwrap().mode = mode;
        driver.configure(version, changed);
        let rejected = driver.reserve(task(1, 0, 1));
        assert_eq!(rejected, Err(ReservationRejection::QueueNotActive));
    }
    let mut lowered = document();
    lowered
        .tenants
        .get_mut(&tenant("a"))
        .unwrap()
        .resource_limit = slots(1);
    driver.configure(4, lowered);
    let rejected = driver.reserve(task(1, 0, 1));
    assert_eq!(rejected, Err(ReservationRejection::TenantAtLimit));
    assert_eq!(driver.state_machine.tenant_usage(&tenant("a")), slots(1));
    driver.close(first, RunClose::Revoked);
    assert!(driver.reserve(task(1, 0, 1)).is_ok());
}

#[test]
fn a_run_that_did_not_fail_is_tried_again_at_once() {
    let stopped = RunClose::Ended(Outcome::Stopped);
    for close in [
        RunClose::Revoked,
        RunClose::Lost,
        RunClose::Rejected,
        stopped,
    ] {
        let mut driver = with_job(vec![step("s", 1, &[])]);
        for _ in 0..4 {
            let run = driver.reserve(task(1, 0, 0)).unwrap();
            let changes = driver.close(run, close.clone());
            assert!(matches!(&changes[..],
                [Change::RunClosed { again: Some(meta), .. }] if meta.not_before.is_none()));
        }
        assert_eq!(driver.view("j").steps[0].failed_runs, 0);
    }
}

#[test]
fn a_late_report_decides_on_the_task_of_a_lost_run() {
    let mut driver = with_job(vec![step("a", 3, &[])]);
    let tasks = [task(1, 0, 0), task(1, 0, 1), task(1, 0, 2)];
    let runs = tasks.map(|task| driver.reserve(task).unwrap());
    for run in runs {
        driver.close(run, RunClose::Lost);
        assert!(driver.state_machine.awaits_late_report(run));
    }
    let changes = driver.close(runs[0], RunClose::Ended(Outcome::Done));
    assert_eq!(ended_in(&changes), [(tasks[0], vec![])]);
    assert!(!driver.state_machine.awaits_late_report(runs[0]));
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").steps[0].failed_runs, 1);
    // Told twice, it changes nothing more.
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").steps[0].failed_runs, 1);
}

/// A job of one task with `allowed_failures`, whose first run was lost and
/// whose second is open.
fn with_lost_run(allowed_failures: u32) -> (Driver, RunId, RunId) {
    let mut only = step("a", 1, &[]);
    only.allowed_failures = allowed_failures;
    let mut driver = with_job(vec![only]);
    let lost = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(lost, RunClose::Lost);
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    (driver, lost, second)
}

#[test]
fn a_late_success_finishes_a_task_that_runs_again() {
    let (mut driver, lost, second) = with_lost_run(1);
    let changes = driver.close(lost, DONE);
    assert_eq!(ended_in(&changes), [(task(1, 0, 0), vec![second])]);
    assert!(!driver.state_machine.awaits_late_report(lost));
    assert_eq!(driver.view("j").state, JobState::Done);

    driver.close(second, failed());
    assert_eq!(driver.view("j").state, JobState::Done);
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
}

#[test]
fn a_late_failure_counts_though_the_task_runs_again() {
    let (mut driver, lost, second) = with_lost_run(1);
    assert!(driver.close(lost, failed()).is_empty());
    assert_eq!(driver.states("j"), [TaskState::Running]);
    driver.close(second, failed());
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn a_late_failure_beyond_the_allowance_waits_for_the_open_run() {
    let (mut driver, lost, second) = with_lost_run(0);
    driver.close(lost, failed());
    assert_eq!(driver.states("j"), [TaskState::Running]);
    driver.close(second, DONE);
    assert_eq!(driver.view("j").state, JobState::Done);

    let (mut driver, lost, second) = with_lost_run(0);
    driver.close(lost, failed());
    let changes = driver.close(second, RunClose::Lost);
    assert!(ready_in(&changes).is_empty(), "{changes:?}");
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn failures_wait_longer_each_time_and_the_last_one_fails_the_job() {
    let mut retried = step("s", 1, &[]);
    retried.allowed_failures = 8;
    let mut driver = with_job(vec![retried, step("t", 1, &[]), step("u", 1, &["s"])]);
    let other = driver.reserve(task(1, 1, 0)).unwrap();
    let mut waits = Vec::new();
    for _ in 0..8 {
        let run = driver.reserve(task(1, 0, 0)).unwrap();
        let changes = driver.close(run, RunClose::TimedOut);
        let Change::RunClosed { again, .. } = &changes[0] else {
            panic!("{changes:?}")
        };
        let not_before = again.as_ref().unwrap().not_before.unwrap();
        waits.push(not_before.0 - driver.at.0);
    }
    assert_eq!(waits, [200, 400, 800, 1_600, 3_200, 6_400, 10_000, 10_000]);
    let last = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(last, failed());
    assert_eq!(
        ended_in(&changes),
        [
            (task(1, 0, 0), vec![]),
            (task(1, 1, 0), vec![other]),
            (task(1, 2, 0), vec![]),
        ]
    );
    let view = driver.view("j");
    assert_eq!(view.state, JobState::Failed);
    let reason = view.reason.unwrap();
    for part in ["step s", "task 0", "it broke"] {
        assert!(reason.contains(part), "{reason}");
    }
    assert_eq!(
        driver.states("j"),
        [
            TaskState::Failed,
            TaskState::Cancelled,
            TaskState::Cancelled
        ]
    );
}

#[test]
fn the_start_time_and_the_backoff_are_both_kept() {
    let mut driver = Driver::new();
    let mut spec = job("j", vec![step("s", 1, &[])]);
    spec.start_at = Some(WallTime(5_000));
    let changes = driver.submit(spec).changes;
    let start = Some(WallTime(5_000));
    assert!(matches!(&changes[..], [Change::TaskReady(meta)] if meta.not_before == start));
    driver.at = WallTime(6_000);
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, failed());
    let meta = driver.state_machine.ready_tasks(None, 1).remove(0);
    assert_eq!(meta.not_before, Some(WallTime(6_200)));
}

#[test]
fn the_first_successful_copy_finishes_the_task_and_the_others_are_reported() {
    let mut copied = step("s", 1, &[]);
    copied.max_copies = 2;
    let mut driver = with_job(vec![copied, step("t", 1, &["s"])]);
    let first = driver.reserve(task(1, 0, 0)).unwrap();
    assert_eq!(driver.ready(), [task(1, 0, 0)], "a copy may start");
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    let changes = driver.close(second, DONE);
    assert_eq!(ended_in(&changes), [(task(1, 0, 0), vec![first])]);
    assert_eq!(ready_in(&changes), [task(1, 1, 0)]);
    let changes = driver.close(first, failed());
    assert!(matches!(
        &changes[..],
        [Change::RunClosed { again: None, .. }]
    ));
    assert_eq!(driver.states("j"), [TaskState::Done, TaskState::Ready]);
}

#[test]
fn a_failed_copy_uses_the_allowance_and_the_other_goes_on() {
    let mut copied = step("s", 1, &[]);
    copied.max_copies = 2;
    let mut driver = with_job(vec![copied]);
    let first = driver.reserve(task(1, 0, 0)).unwrap();
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(first, failed());
    assert_eq!(driver.states("j"), [TaskState::Running]);
    let third = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(third, failed());
    assert_eq!(ended_in(&changes), [(task(1, 0, 0), vec![second])]);
    driver.close(second, DONE);
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn cancelling_ends_every_task_and_a_late_done_changes_nothing() {
    let mut driver = with_job(vec![step("s", 2, &[])]);
    let run = driver.reserve(task(1, 0, 1)).unwrap();
    let keys = vec![key("a", "j"), key("a", "none")];
    let applied = driver.cancel(CancelSelector::Jobs(keys.clone()));
    let reply = |cancelled, finished| CommandReply::Cancelled {
        cancelled,
        finished,
        unknown: vec![key("a", "none")],
    };
    assert_eq!(applied.reply, reply(1, 0));
    assert_eq!(
        ended_in(&applied.changes),
        [(task(1, 0, 0), vec![]), (task(1, 0, 1), vec![run])]
    );
    assert!(driver.ready().is_empty());
    driver.forget(10);
    let changes = driver.close(run, DONE);
    assert!(matches!(
        &changes[..],
        [Change::RunClosed { again: None, .. }]
    ));
    assert_eq!(driver.view("j").state, JobState::Cancelled);
    assert!(driver.close(run, failed()).is_empty(), "closed for good");
    assert_eq!(driver.cancel(CancelSelector::Jobs(keys)).reply, reply(0, 1));
}

#[test]
fn a_tenant_is_cancelled_whole_or_within_a_queue() {
    let mut driver = Driver::new();
    for (name, in_queue) in [("1", "q"), ("2", "r"), ("3", "q")] {
        let spec = job(name, vec![step("s", 1, &[])]);
        driver.submit(JobSpec {
            queue: queue(in_queue),
            ..spec
        });
    }
    let count = |applied: state_machine::Applied| match applied.reply {
        CommandReply::Cancelled { cancelled, .. } => cancelled,
        other => panic!("{other:?}"),
    };
    let select = |tenant_name: &str, in_queue: Option<&str>| CancelSelector::Tenant {
        tenant: tenant(tenant_name),
        queue: in_queue.map(queue),
    };
    assert_eq!(count(driver.cancel(select("b", None))), 0);
    assert_eq!(count(driver.cancel(select("a", Some("q")))), 2);
    assert_eq!(count(driver.cancel(select("a", None))), 1);
    assert_eq!(driver.state_machine.unfinished_of_tenant(&tenant("a")), 0);
}

#[test]
fn runs_of_forgotten_jobs_never_start_again() {
    let mut driver = with_job(vec![step("s", 1, &[])]);
    driver.submit(job("k", vec![step("s", 1, &[])]));
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(run, DONE);
    assert!(driver.state_machine.is_closed(run));
    driver.forget(0);
    assert!(driver.state_machine.is_closed(run));
    driver.forget(1);
    assert!(!driver.state_machine.is_closed(run));
    let again = driver.reserve_as(run, task(2, 0, 0), "runner");
    assert_eq!(again, Err(ReservationRejection::KnownRun));
    assert!(driver.reserve(task(2, 0, 0)).is_ok());
}

#[test]
fn an_open_run_tells_what_its_runner_needs() {
    let mut driver = with_job(vec![step("s", 1, &[])]);
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    let spec = driver.state_machine.run_spec(run).unwrap();
    assert_eq!((spec.job, spec.payload.as_str()), (key("a", "j"), "work"));
    assert_eq!(
        driver.state_machine.open_run(run).unwrap().task,
        task(1, 0, 0)
    );
    driver.close(run, DONE);
    assert!(driver.state_machine.run_spec(run).is_none());
}

#[test]
fn a_runner_has_at_most_as_many_runs_of_a_step_as_the_step_allows() {
    let mut spread = step("s", 3, &[]);
    spread.rules.max_per_runner = Some(1);
    let mut driver = Driver::new();
    driver.submit(job("j", vec![spread]));
    let first = driver.reserve_as(run_id(1), task(1, 0, 0), "r1").unwrap();
    let rejected = driver.reserve_as(run_id(2), task(1, 0, 1), "r1");
    assert_eq!(rejected, Err(ReservationRejection::RunnerAtStepLimit));
    driver.reserve_as(run_id(3), task(1, 0, 1), "r2").unwrap();
    driver.close(first, DONE);
    driver.reserve_as(run_id(4), task(1, 0, 2), "r1").unwrap();
}
