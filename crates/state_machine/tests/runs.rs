//! Runs: reservations, outcomes, failures, copies and cancellations.

mod support;

use configuration::QueueMode;
use state_machine::{CancelSelector, Change, Command, CommandReply, ReservationRejection};
use support::*;
use types::*;

fn driver_with(steps: Vec<StepSpec>) -> Driver {
    let mut driver = Driver::new();
    driver.submit(job("j", steps));
    driver
}

#[test]
fn step_starts_after_its_dependencies_and_last_step_ends_job() {
    let mut driver = driver_with(vec![
        step("late", 1, &["left", "right"]),
        step("left", 1, &[]),
        step("right", 1, &[]),
    ]);
    assert_eq!(driver.ready_tasks(), [task(1, 1, 0), task(1, 2, 0)]);
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    driver.at = WallTime(1_500);
    let left = driver.reserve(task(1, 1, 0)).unwrap();
    assert_eq!(driver.view("j").state, JobState::Running);
    assert!(ready_tasks_in(&driver.close(left, DONE)).is_empty());
    let right = driver.reserve(task(1, 2, 0)).unwrap();
    assert_eq!(ready_tasks_in(&driver.close(right, DONE)), [task(1, 0, 0)]);
    assert_eq!(driver.ready_tasks(), [task(1, 0, 0)]);
    let late = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(late, DONE);
    let waited = Some(Milliseconds(500));
    assert!(changes.iter().any(|change| matches!(change,
        Change::JobEnded { state: JobState::Done, waited: time, .. } if *time == waited)));
    assert_eq!(driver.view("j").state, JobState::Done);
    assert_eq!(driver.state_machine.unfinished_jobs(), 0);
}

#[test]
fn reservation_is_checked_against_run_task_runner_queue_and_tenant() {
    let mut driver = driver_with(vec![step("s", 3, &[])]);
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
    let on_draining = driver.reserve_as(run_id(70), task(1, 0, 1), "leaving");
    assert_eq!(on_draining, Err(ReservationRejection::RunnerDraining));
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
fn run_closed_without_failure_is_retried_without_backoff() {
    let stopped = RunClose::Ended(Outcome::Stopped);
    for close in [
        RunClose::Revoked,
        RunClose::Lost,
        RunClose::Rejected,
        stopped,
    ] {
        let mut driver = driver_with(vec![step("s", 1, &[])]);
        for _ in 0..4 {
            let run = driver.reserve(task(1, 0, 0)).unwrap();
            let changes = driver.close(run, close.clone());
            assert!(matches!(&changes[..],
                [Change::RunClosed { retry: Some(meta), .. }] if meta.not_before.is_none()));
        }
        assert_eq!(driver.view("j").steps[0].failed_runs, 0);
    }
}

#[test]
fn late_report_of_lost_run_counts_once_for_its_task() {
    let mut driver = driver_with(vec![step("a", 3, &[])]);
    let tasks = [task(1, 0, 0), task(1, 0, 1), task(1, 0, 2)];
    let runs = tasks.map(|task| driver.reserve(task).unwrap());
    for run in runs {
        driver.close(run, RunClose::Lost);
        assert!(driver.state_machine.awaits_late_report(run));
    }
    let changes = driver.close(runs[0], RunClose::Ended(Outcome::Done));
    assert_eq!(ended_tasks_in(&changes), [(tasks[0], vec![])]);
    assert!(!driver.state_machine.awaits_late_report(runs[0]));
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").steps[0].failed_runs, 1);
    // A repeated late report has no further effect.
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").steps[0].failed_runs, 1);
}

/// Returns a driver with a job of one task, and the task's lost first run and open
/// second run.
fn driver_with_lost_run(allowed_failures: u32) -> (Driver, RunId, RunId) {
    let mut single = step("a", 1, &[]);
    single.allowed_failures = allowed_failures;
    let mut driver = driver_with(vec![single]);
    let lost = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(lost, RunClose::Lost);
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    (driver, lost, second)
}

/// A run that was closed as lost may have succeeded. If its late report were ignored,
/// the finished task would run again.
#[test]
fn late_success_finishes_task_that_has_a_new_open_run() {
    let (mut driver, lost, second) = driver_with_lost_run(1);
    let changes = driver.close(lost, DONE);
    assert_eq!(ended_tasks_in(&changes), [(task(1, 0, 0), vec![second])]);
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
fn late_failure_counts_for_task_that_has_a_new_open_run() {
    let (mut driver, lost, second) = driver_with_lost_run(1);
    assert!(driver.close(lost, failed()).is_empty());
    assert_eq!(driver.task_states("j"), [TaskState::Running]);
    driver.close(second, failed());
    assert_eq!(driver.view("j").state, JobState::Failed);
}

/// The open run may still succeed, so a late failure must not fail the task before that
/// run has closed without a result.
#[test]
fn late_failure_beyond_allowed_number_takes_effect_when_open_run_closes() {
    let (mut driver, lost, second) = driver_with_lost_run(0);
    driver.close(lost, failed());
    assert_eq!(driver.task_states("j"), [TaskState::Running]);
    driver.close(second, DONE);
    assert_eq!(driver.view("j").state, JobState::Done);

    let (mut driver, lost, second) = driver_with_lost_run(0);
    driver.close(lost, failed());
    let changes = driver.close(second, RunClose::Lost);
    assert!(ready_tasks_in(&changes).is_empty(), "{changes:?}");
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn backoff_doubles_up_to_maximum_and_failure_beyond_allowed_number_fails_job() {
    let mut retried = step("s", 1, &[]);
    retried.allowed_failures = 8;
    let mut driver = driver_with(vec![retried, step("t", 1, &[]), step("u", 1, &["s"])]);
    let other = driver.reserve(task(1, 1, 0)).unwrap();
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        let run = driver.reserve(task(1, 0, 0)).unwrap();
        let changes = driver.close(run, RunClose::TimedOut);
        let Change::RunClosed { retry, .. } = &changes[0] else {
            panic!("{changes:?}")
        };
        let not_before = retry.as_ref().unwrap().not_before.unwrap();
        backoffs.push(not_before.0 - driver.at.0);
    }
    assert_eq!(
        backoffs,
        [200, 400, 800, 1_600, 3_200, 6_400, 10_000, 10_000]
    );
    let last = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(last, failed());
    assert_eq!(
        ended_tasks_in(&changes),
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
        driver.task_states("j"),
        [
            TaskState::Failed,
            TaskState::Cancelled,
            TaskState::Cancelled
        ]
    );
}

#[test]
fn not_before_is_the_start_time_and_after_a_failure_the_backoff() {
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
fn first_successful_copy_finishes_task_and_reports_other_copies() {
    let mut copied = step("s", 1, &[]);
    copied.max_copies = 2;
    let mut driver = driver_with(vec![copied, step("t", 1, &["s"])]);
    let first = driver.reserve(task(1, 0, 0)).unwrap();
    assert_eq!(driver.ready_tasks(), [task(1, 0, 0)], "a copy may start");
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    assert_eq!(
        driver.reserve(task(1, 0, 0)),
        Err(ReservationRejection::NotReady)
    );
    let changes = driver.close(second, DONE);
    assert_eq!(ended_tasks_in(&changes), [(task(1, 0, 0), vec![first])]);
    assert_eq!(ready_tasks_in(&changes), [task(1, 1, 0)]);
    let changes = driver.close(first, failed());
    assert!(matches!(
        &changes[..],
        [Change::RunClosed { retry: None, .. }]
    ));
    assert_eq!(driver.task_states("j"), [TaskState::Done, TaskState::Ready]);
}

#[test]
fn failed_copies_share_the_allowed_failures_of_their_task() {
    let mut copied = step("s", 1, &[]);
    copied.max_copies = 2;
    let mut driver = driver_with(vec![copied]);
    let first = driver.reserve(task(1, 0, 0)).unwrap();
    let second = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(first, failed());
    assert_eq!(driver.task_states("j"), [TaskState::Running]);
    let third = driver.reserve(task(1, 0, 0)).unwrap();
    let changes = driver.close(third, failed());
    assert_eq!(ended_tasks_in(&changes), [(task(1, 0, 0), vec![second])]);
    driver.close(second, DONE);
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn cancellation_ends_every_task_and_later_success_changes_nothing() {
    let mut driver = driver_with(vec![step("s", 2, &[])]);
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
        ended_tasks_in(&applied.changes),
        [(task(1, 0, 0), vec![]), (task(1, 0, 1), vec![run])]
    );
    assert!(driver.ready_tasks().is_empty());
    driver.forget(10);
    let changes = driver.close(run, DONE);
    assert!(matches!(
        &changes[..],
        [Change::RunClosed { retry: None, .. }]
    ));
    assert_eq!(driver.view("j").state, JobState::Cancelled);
    assert!(driver.close(run, failed()).is_empty(), "the run is closed");
    assert_eq!(driver.cancel(CancelSelector::Jobs(keys)).reply, reply(0, 1));
}

#[test]
fn cancellation_of_tenant_covers_one_queue_or_all_queues() {
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

/// The closed runs of a forgotten job are no longer stored. A reservation that reuses
/// such a run identifier must still be rejected.
#[test]
fn run_of_forgotten_job_is_rejected() {
    let mut driver = driver_with(vec![step("s", 1, &[])]);
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
fn run_spec_is_available_only_while_the_run_is_open() {
    let mut driver = driver_with(vec![step("s", 1, &[])]);
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
fn runner_at_the_step_limit_gets_no_further_run_of_the_step() {
    let mut limited = step("s", 3, &[]);
    limited.rules.max_per_runner = Some(1);
    let mut driver = Driver::new();
    driver.submit(job("j", vec![limited]));
    let first = driver.reserve_as(run_id(1), task(1, 0, 0), "r1").unwrap();
    let rejected = driver.reserve_as(run_id(2), task(1, 0, 1), "r1");
    assert_eq!(rejected, Err(ReservationRejection::RunnerAtStepLimit));
    driver.reserve_as(run_id(3), task(1, 0, 1), "r2").unwrap();
    driver.close(first, DONE);
    driver.reserve_as(run_id(4), task(1, 0, 2), "r1").unwrap();
}
