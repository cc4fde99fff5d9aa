//! Gangs, numbers of runs, checkpoints and endless steps.

mod support;

use state_machine::{Change, ClosedRun, Command, CommandReply, ReservationRejection};
use support::{DONE, Driver, failed, job, ready_in, run_id, runner, step, task};
use types::{
    JobState, Reservation, RunClose, RunId, RunName, RunnerIncarnation, StepRules, StepSpec,
    TaskState, WallTime,
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

fn reserve_all(driver: &mut Driver, tasks: &[u32]) -> Result<Vec<RunId>, ReservationRejection> {
    let reservations: Vec<Reservation> = tasks
        .iter()
        .map(|member| {
            driver.last_run += 1;
            Reservation {
                endpoint: None,
                run: run_id(driver.last_run),
                task: task(1, 0, *member),
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

fn obsolete_in(changes: &[Change]) -> Vec<RunId> {
    let useless = changes.iter().filter_map(|change| match change {
        Change::RunsObsolete(runs) => Some(runs.clone()),
        _ => None,
    });
    useless.flatten().collect()
}

fn driver_with(step: StepSpec) -> Driver {
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step]));
    driver
}

#[test]
fn a_gang_is_reserved_whole_or_not_at_all() {
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
fn a_gang_above_the_resource_limit_is_rejected_as_a_whole() {
    let mut driver = driver_with(gang(3));
    driver.submit(job("other", vec![step("s", 2, &[])]));
    driver.reserve(task(2, 0, 0)).unwrap();
    driver.reserve(task(2, 0, 1)).unwrap();
    let rejected = reserve_all(&mut driver, &[0, 1, 2]);
    assert_eq!(rejected, Err(ReservationRejection::TenantAtLimit));
    assert_eq!(driver.state_machine.open_runs().len(), 2);
}

#[test]
fn members_share_a_number_that_rises() {
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
fn a_failed_run_of_a_gang_makes_the_others_obsolete_and_counts_once() {
    let mut driver = driver_with(gang(2));
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let changes = driver.close(runs[0], failed());
    assert_eq!(obsolete_in(&changes), [runs[1]]);
    assert!(driver.ready().is_empty(), "a run of the gang is still open");
    let changes = driver.close(runs[1], failed());
    assert_eq!(ready_in(&changes), [task(1, 0, 0)]);
    assert_eq!(driver.ready(), [task(1, 0, 0), task(1, 0, 1)]);
    // One failure is allowed; the second attempt's is the last.
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    driver.close(runs[1], failed());
    assert_eq!(driver.view("j").state, JobState::Failed);
}

#[test]
fn a_member_that_ends_done_ends_the_gang() {
    let mut driver = driver_with(gang(3));
    let runs = reserve_all(&mut driver, &[0, 1, 2]).unwrap();
    driver.close(runs[1], DONE);
    assert_eq!(driver.states("j"), [TaskState::Done; 3]);
    assert_eq!(driver.view("j").state, JobState::Done);
    driver.close(runs[0], DONE);
    driver.close(runs[2], RunClose::Lost);
    assert_eq!(driver.view("j").state, JobState::Done);
    assert!(driver.state_machine.open_runs().is_empty());
}

#[test]
fn a_snapshot_keeps_numbers_failures_and_checkpoints() {
    let mut driver = driver_with(gang(2));
    let runs = reserve_all(&mut driver, &[0, 1]).unwrap();
    let closed = ClosedRun {
        checkpoint: Some("half".to_owned()),
        ..ClosedRun::new(runs[1], failed())
    };
    let at = driver.at;
    let runs_closed = vec![closed, ClosedRun::new(runs[0], RunClose::Lost)];
    driver.state_machine.apply(&Command::CloseRuns {
        runs: runs_closed,
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
fn the_next_run_of_a_task_goes_on_from_its_own_checkpoint() {
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
fn an_endless_task_starts_again_however_it_ends() {
    let mut endless = step("s", 1, &[]);
    endless.rules.endless = true;
    let mut driver = driver_with(endless);
    for close in [failed(), DONE, failed(), failed(), RunClose::Lost] {
        let run = driver.reserve(task(1, 0, 0)).unwrap();
        driver.close(run, close);
        assert_eq!(driver.ready(), [task(1, 0, 0)]);
    }
    assert_eq!(driver.view("j").state, JobState::Running);
}

#[test]
fn a_step_has_a_start_time_of_its_own() {
    let mut later = step("later", 1, &[]);
    later.rules.start_at = Some(WallTime(5_000));
    let mut driver = Driver::new();
    driver.submit(job("j", vec![step("now", 1, &[]), later]));
    let ready = driver.state_machine.ready_tasks(None, 1);
    let times: Vec<_> = ready.iter().map(|meta| meta.not_before).collect();
    assert_eq!(times, [None, Some(WallTime(5_000))]);
}

#[test]
fn an_open_run_is_found_by_its_name() {
    let mut driver = driver_with(step("s", 2, &[]));
    let run = driver.reserve(task(1, 0, 1)).unwrap();
    let name = driver
        .state_machine
        .run_name(&driver.state_machine.open_run(run).unwrap());
    let name = name.unwrap();
    assert_eq!(driver.state_machine.find_open_run(&name), Some(run));
    let later = RunName { attempt: 2, ..name };
    assert_eq!(driver.state_machine.find_open_run(&later), None);
}
