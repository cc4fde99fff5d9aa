//! Gangs, attempt numbers, checkpoints, endless steps and start times of steps.

mod support;

use state_machine::{Change, ClosedRun, Command, CommandReply, ReservationRejection};
use support::{DONE, Driver, failed, job, ready_tasks_in, run_id, runner, step, task};
use types::{
    JobState, Outcome, Reservation, RunClose, RunId, RunName, RunnerIncarnation, StepRules,
    StepSpec, TaskState, WallTime,
};

fn gang(size: u32) -> StepSpec {
    StepSpec {
        rules: StepRules {
            gang: true,
            ..StepRules::default()
        },
        ..step("g", size, &[])
    }
}

/// Reserves the given tasks of the first job's first step in one command.
fn reserve_all(driver: &mut Driver, tasks: &[u32]) -> Result<Vec<RunId>, ReservationRejection> {
    let reservations: Vec<Reservation> = tasks
        .iter()
        .map(|position| {
            driver.last_run += 1;
            Reservation {
                endpoint: None,
                run: run_id(driver.last_run),
                task: task(1, 0, *position),
                runner: runner("runner"),
                incarnation: RunnerIncarnation(1),
                self_stop: true,
            }
        })
        .collect();
    let at = driver.at;
    let command = Command::Reserve { reservations, at };
    match driver.state_machine.apply(&command).reply {
        CommandReply::Reserved { accepted, rejected } if rejected.is_empty() => Ok(accepted),
        CommandReply::Reserved { rejected, .. } => Err(rejected[0].1),
        other => panic!("{other:?}"),
    }
}

/// Returns the runs that the changes report as obsolete.
fn obsolete_runs_in(changes: &[Change]) -> Vec<RunId> {
    let obsolete = changes.iter().filter_map(|change| match change {
        Change::RunsObsolete(runs) => Some(runs.clone()),
        _ => None,
    });
    obsolete.flatten().collect()
}

fn driver_with(step: StepSpec) -> Driver {
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step]));
    driver
}

#[test]
fn partial_reservation_of_gang_is_rejected() {
    let mut driver = driver_with(gang(3));
    for part in [vec![0], vec![0, 1], vec![0, 1, 1]] {
        assert_eq!(
            reserve_all(&mut driver, &part),
            Err(ReservationRejection::NotReady)
        );
    }
    assert!(driver.state_machine.open_runs().is_empty());
    assert_eq!(reserve_all(&mut driver, &[0, 1, 2]).unwrap().len(), 3);
}

#[test]
fn gang_above_resource_limit_is_rejected_as_a_whole() {
    let mut driver = driver_with(gang(3));
    driver.submit(job("other", vec![step("s", 2, &[])]));
    driver.reserve(task(2, 0, 0)).unwrap();
    driver.reserve(task(2, 0, 1)).unwrap();
    let rejected = reserve_all(&mut driver, &[0, 1, 2]);
    assert_eq!(rejected, Err(ReservationRejection::TenantAtLimit));
    assert_eq!(driver.state_machine.open_runs().len(), 2);
}

#[test]
fn gang_tasks_share_an_attempt_number_that_rises() {
    let mut driver = driver_with(gang(2));
    for attempt in 1..=2 {
        let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
        for run in &runs {
            assert_eq!(
                driver.state_machine.run_spec(*run).unwrap().attempt,
                attempt
            );
        }
        for run in runs {
            driver.close(run, RunClose::Revoked);
        }
    }
}

#[test]
fn failed_run_of_gang_makes_others_obsolete_and_counts_once_per_attempt() {
    let mut driver = driver_with(gang(2));
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let changes = driver.close(runs[0], failed());
    assert_eq!(obsolete_runs_in(&changes), [runs[1]]);
    assert!(
        driver.ready_tasks().is_empty(),
        "a run of the gang is still open"
    );
    let changes = driver.close(runs[1], failed());
    assert_eq!(ready_tasks_in(&changes), [task(1, 0, 0)]);
    assert_eq!(driver.ready_tasks(), [task(1, 0, 0), task(1, 0, 1)]);
    // One failure is allowed, so the failure of the second attempt fails the job.
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").state, JobState::Failed);
}

/// Guards against members that run on alone: a new leader has only the state to find them.
#[test]
fn runs_of_broken_gang_are_obsolete_until_they_close() {
    let mut driver = driver_with(gang(3));
    let runs = reserve_all(&mut driver, &[0, 1, 2]).unwrap();
    let obsolete = |driver: &Driver| -> Vec<RunId> {
        let runs = runs.iter().copied();
        runs.filter(|run| driver.state_machine.is_obsolete(*run))
            .collect()
    };
    assert!(obsolete(&driver).is_empty());
    driver.close(runs[1], RunClose::Lost);
    assert_eq!(obsolete(&driver), [runs[0], runs[2]]);
    driver.close(runs[0], RunClose::Ended(Outcome::Stopped));
    assert_eq!(obsolete(&driver), [runs[2]]);
    driver.close(runs[2], RunClose::Ended(Outcome::Stopped));
    let again = reserve_all(&mut driver, &[0, 1, 2]).unwrap();
    assert!(!driver.state_machine.is_obsolete(again[0]));
}

#[test]
fn runs_of_gang_that_is_done_end_by_themselves() {
    let mut driver = driver_with(gang(2));
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let changes = driver.close(runs[0], DONE);
    assert!(obsolete_runs_in(&changes).is_empty());
    assert!(!driver.state_machine.is_obsolete(runs[1]));
}

/// An endless gang is never done: after any end of a member it starts again as a whole.
#[test]
fn end_of_a_member_makes_the_rest_of_an_endless_gang_obsolete() {
    let mut endless = gang(2);
    endless.rules.endless = true;
    let mut driver = driver_with(endless);
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let changes = driver.close(runs[0], DONE);
    assert_eq!(obsolete_runs_in(&changes), [runs[1]]);
    driver.close(runs[1], RunClose::Ended(Outcome::Stopped));
    assert_eq!(driver.ready_tasks().len(), 2);
}

#[test]
fn successful_run_of_gang_completes_all_its_tasks() {
    let mut driver = driver_with(gang(3));
    let runs = reserve_all(&mut driver, &[0, 1, 2]).unwrap();
    driver.close(runs[1], DONE);
    assert_eq!(driver.task_states("j"), [TaskState::Done; 3]);
    assert_eq!(driver.view("j").state, JobState::Done);
    driver.close(runs[0], DONE);
    driver.close(runs[2], RunClose::Lost);
    assert_eq!(driver.view("j").state, JobState::Done);
    assert!(driver.state_machine.open_runs().is_empty());
}

#[test]
fn restored_gang_continues_with_next_attempt_and_checkpoint() {
    let mut driver = driver_with(gang(2));
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let closed = ClosedRun {
        checkpoint: Some("half".to_owned()),
        ..ClosedRun::new(runs[1], failed())
    };
    let at = driver.at;
    let closed_runs = vec![closed, ClosedRun::new(runs[0], RunClose::Lost)];
    driver.state_machine.apply(&Command::CloseRuns {
        runs: closed_runs,
        at,
    });
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = state_machine::StateMachine::restore(&bytes).unwrap();
    driver.at = WallTime(at.0 + 10_000);
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    for run in runs {
        let spec = driver.state_machine.run_spec(run).unwrap();
        assert_eq!(
            (spec.attempt, spec.checkpoint.as_deref()),
            (2, Some("half"))
        );
    }
}

#[test]
fn next_run_continues_from_checkpoint_of_its_own_task() {
    let mut driver = driver_with(step("s", 2, &[]));
    let run = driver.reserve(task(1, 0, 1)).unwrap();
    let closed = ClosedRun {
        checkpoint: Some("c".to_owned()),
        ..ClosedRun::new(run, RunClose::Lost)
    };
    let at = driver.at;
    let runs = vec![closed];
    driver.state_machine.apply(&Command::CloseRuns { runs, at });
    let again = driver.reserve(task(1, 0, 1)).unwrap();
    let other = driver.reserve(task(1, 0, 0)).unwrap();
    let spec = |run| driver.state_machine.run_spec(run).unwrap();
    assert_eq!(spec(again).checkpoint.as_deref(), Some("c"));
    assert_eq!((spec(again).attempt, spec(other).attempt), (2, 1));
    assert_eq!(spec(other).checkpoint, None);
}

#[test]
fn endless_task_is_ready_again_after_any_close() {
    let mut endless = step("s", 1, &[]);
    endless.rules.endless = true;
    let mut driver = driver_with(endless);
    for close in [failed(), DONE, failed(), failed(), RunClose::Lost] {
        let run = driver.reserve(task(1, 0, 0)).unwrap();
        driver.close(run, close);
        assert_eq!(driver.ready_tasks(), [task(1, 0, 0)]);
    }
    assert_eq!(driver.view("j").state, JobState::Running);
}

#[test]
fn start_time_of_step_delays_only_its_own_tasks() {
    let mut later = step("later", 1, &[]);
    later.rules.start_at = Some(WallTime(5_000));
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step("now", 1, &[]), later]));
    let ready = driver.state_machine.ready_tasks(None, 1);
    let start_times: Vec<_> = ready.iter().map(|meta| meta.not_before).collect();
    assert_eq!(start_times, [None, Some(WallTime(5_000))]);
}

#[test]
fn find_open_run_returns_the_run_of_the_same_attempt_only() {
    let mut driver = driver_with(step("s", 2, &[]));
    let run = driver.reserve(task(1, 0, 1)).unwrap();
    let name = driver
        .state_machine
        .run_name(&driver.state_machine.open_run(run).unwrap());
    let name = name.unwrap();
    assert_eq!(driver.state_machine.find_open_run(&name), Some(run));
    let next_attempt = RunName { attempt: 2, ..name };
    assert_eq!(driver.state_machine.find_open_run(&next_attempt), None);
}
