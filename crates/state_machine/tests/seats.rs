//! Seats of licences: the state machine counts them in the order of the log.

mod support;

use configuration::{ClusterConfiguration, LicenceSettings};
use state_machine::{CommandReply, ReservationRejection, StateMachine};
use support::*;
use types::{JobState, LicenceName, Outcome, RunClose, StepSpec};

fn licence() -> LicenceName {
    LicenceName::new("finishing").unwrap()
}

fn document_with_seats(seats: u32) -> ClusterConfiguration {
    let mut document = document();
    document
        .licences
        .insert(licence(), LicenceSettings { seats });
    document
}

/// Returns a step whose tasks need one licence seat each.
fn licensed_step(name: &str, tasks: u32) -> StepSpec {
    let mut step = step(name, tasks, &[]);
    step.rules.licence = Some(licence());
    step
}

/// Returns a driver with a job of four tasks that need a licence seat each.
fn driver_with_seats(seats: u32) -> Driver {
    let mut driver = Driver::new();
    driver.configure(2, document_with_seats(seats));
    driver.submit(job("j", vec![licensed_step("s", 4)]));
    driver
}

#[test]
fn reservation_without_a_free_seat_is_rejected() {
    let mut driver = driver_with_seats(2);
    driver.reserve(task(1, 0, 0)).unwrap();
    driver.reserve(task(1, 0, 1)).unwrap();
    assert_eq!(
        driver.reserve(task(1, 0, 2)),
        Err(ReservationRejection::NoSeat)
    );
    assert_eq!(driver.state_machine.seats_used(&licence()), 2);
}

#[test]
fn seat_is_released_by_any_close_of_its_run() {
    for close in [
        DONE,
        failed(),
        RunClose::Revoked,
        RunClose::Lost,
        RunClose::Rejected,
    ] {
        let mut driver = driver_with_seats(1);
        let run = driver.reserve(task(1, 0, 0)).unwrap();
        assert_eq!(
            driver.reserve(task(1, 0, 1)),
            Err(ReservationRejection::NoSeat)
        );
        driver.close(run, close);
        assert_eq!(driver.state_machine.seats_used(&licence()), 0);
        driver.reserve(task(1, 0, 1)).unwrap();
    }
}

/// The run of a cancelled job uses its licence seat until it has stopped. If the cancellation
/// released the seat, more runs than seats could be active.
#[test]
fn run_of_cancelled_job_keeps_its_seat_until_it_is_closed() {
    let mut driver = driver_with_seats(1);
    driver.submit(job("k", vec![licensed_step("s", 1)]));
    let run = driver.reserve(task(1, 0, 0)).unwrap();
    driver.cancel(state_machine::CancelSelector::Jobs(vec![key("a", "j")]));
    assert_eq!(
        driver.reserve(task(2, 0, 0)),
        Err(ReservationRejection::NoSeat)
    );
    driver.close(run, RunClose::Ended(Outcome::Stopped));
    driver.reserve(task(2, 0, 0)).unwrap();
}

#[test]
fn lowered_seat_count_keeps_open_runs_and_grants_no_seat_until_one_is_free() {
    let mut driver = driver_with_seats(3);
    let runs: Vec<_> = (0..3)
        .map(|position| driver.reserve(task(1, 0, position)).unwrap())
        .collect();
    driver.configure(3, document_with_seats(1));
    driver.close(runs[0], DONE);
    driver.close(runs[1], DONE);
    assert_eq!(
        driver.reserve(task(1, 0, 3)),
        Err(ReservationRejection::NoSeat)
    );
    driver.close(runs[2], DONE);
    driver.reserve(task(1, 0, 3)).unwrap();
}

#[test]
fn gang_with_too_few_free_seats_is_rejected_as_a_whole() {
    let mut gang = licensed_step("g", 3);
    gang.rules.gang = true;
    let mut driver = Driver::new();
    driver.configure(2, document_with_seats(2));
    driver.submit(job("j", vec![gang]));
    let reservations: Vec<_> = (0..3)
        .map(|position| types::Reservation {
            endpoint: None,
            run: run_id(u64::from(position) + 1),
            task: task(1, 0, position),
            runner: runner("runner"),
            incarnation: types::RunnerIncarnation(1),
            self_stop: true,
        })
        .collect();
    let at = driver.at;
    let command = state_machine::Command::Reserve { reservations, at };
    let CommandReply::Reserved { accepted, rejected } = driver.state_machine.apply(&command).reply
    else {
        panic!("unexpected reply to a reservation");
    };
    assert!(accepted.is_empty());
    assert!(
        rejected
            .iter()
            .all(|(_, rejection)| *rejection == ReservationRejection::NoSeat)
    );
    assert_eq!(driver.state_machine.seats_used(&licence()), 0);
}

#[test]
fn restored_state_counts_seats_from_open_runs() {
    let mut driver = driver_with_seats(2);
    driver.reserve(task(1, 0, 0)).unwrap();
    driver.reserve(task(1, 0, 1)).unwrap();
    let bytes = driver.state_machine.snapshot().unwrap();
    driver.state_machine = StateMachine::restore(&bytes).unwrap();
    assert_eq!(driver.state_machine.seats_used(&licence()), 2);
    assert_eq!(
        driver.reserve(task(1, 0, 2)),
        Err(ReservationRejection::NoSeat)
    );
}

#[test]
fn job_with_unknown_licence_is_rejected() {
    let mut driver = Driver::new();
    let reply = driver.submit(job("j", vec![licensed_step("s", 1)])).reply;
    assert!(matches!(reply, CommandReply::Rejected(_)), "{reply:?}");
}

#[test]
fn tasks_that_wait_for_one_seat_run_one_by_one_and_once_each() {
    let mut driver = driver_with_seats(1);
    let mut done = 0;
    while driver.view("j").state != JobState::Done {
        let next = driver.ready_tasks()[0];
        let run = driver.reserve(next).unwrap();
        for other in driver.ready_tasks() {
            assert_eq!(driver.reserve(other), Err(ReservationRejection::NoSeat));
        }
        driver.close(run, DONE);
        done += 1;
    }
    assert_eq!(done, 4);
}
