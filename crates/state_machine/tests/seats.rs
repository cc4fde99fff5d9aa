//! Seats of licences: the state machine's count decides, in the order of the log.

mod support;

use configuration::{ClusterConfiguration, LicenceSettings};
use state_machine::{CommandReply, ReservationRejection, StateMachine};
use support::*;
use types::{JobState, LicenceName, Outcome, RunClose, StepSpec};

fn licence() -> LicenceName {
    LicenceName::new("finishing").unwrap()
}

fn with_seats(seats: u32) -> ClusterConfiguration {
    let mut document = document();
    document
        .licences
        .insert(licence(), LicenceSettings { seats });
    document
}

fn licensed(name: &str, tasks: u32) -> StepSpec {
    let mut step = step(name, tasks, &[]);
    step.rules.licence = Some(licence());
    step
}

fn driver(seats: u32) -> Driver {
    let mut driver = Driver::new();
    driver.configure(2, with_seats(seats));
    driver.submit(job("j", vec![licensed("s", 4)]));
    driver
}

#[test]
fn the_last_seat_is_granted_once() {
    let mut driver = driver(2);
    driver.reserve(task(1, 0, 0)).unwrap();
    driver.reserve(task(1, 0, 1)).unwrap();
    assert_eq!(
        driver.reserve(task(1, 0, 2)),
        Err(ReservationRejection::NoSeat)
    );
    assert_eq!(driver.state_machine.seats_used(&licence()), 2);
}

#[test]
fn a_seat_is_free_again_only_when_its_run_is_certainly_over() {
    for close in [
        DONE,
        failed(),
        RunClose::Revoked,
        RunClose::Lost,
        RunClose::Rejected,
    ] {
        let mut driver = driver(1);
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

#[test]
fn a_cancelled_job_s_run_keeps_its_seat_until_it_has_stopped() {
    let mut driver = driver(1);
    driver.submit(job("k", vec![licensed("s", 1)]));
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
fn fewer_seats_stop_no_run_and_grant_none_until_enough_are_free() {
    let mut driver = driver(3);
    let runs: Vec<_> = (0..3)
        .map(|t| driver.reserve(task(1, 0, t)).unwrap())
        .collect();
    driver.configure(3, with_seats(1));
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
fn a_gang_uses_all_its_seats_or_none() {
    let mut gang = licensed("g", 3);
    gang.rules.gang = true;
    let mut driver = Driver::new();
    driver.configure(2, with_seats(2));
    driver.submit(job("j", vec![gang]));
    let reservations: Vec<_> = (0..3)
        .map(|member| types::Reservation {
            endpoint: None,
            run: run_id(u64::from(member) + 1),
            task: task(1, 0, member),
            runner: runner("runner"),
            incarnation: types::RunnerIncarnation(1),
            self_stop: true,
        })
        .collect();
    let at = driver.at;
    let command = state_machine::Command::Reserve { reservations, at };
    let CommandReply::Reserved { accepted, rejected } = driver.state_machine.apply(&command).reply
    else {
        panic!("no answer to a reservation");
    };
    assert!(accepted.is_empty());
    assert!(
        rejected
            .iter()
            .all(|(_, why)| *why == ReservationRejection::NoSeat)
    );
    assert_eq!(driver.state_machine.seats_used(&licence()), 0);
}

#[test]
fn a_restart_counts_the_seats_anew_from_the_open_runs() {
    let mut driver = driver(2);
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
fn a_job_that_names_an_unknown_licence_is_refused() {
    let mut driver = Driver::new();
    let reply = driver.submit(job("j", vec![licensed("s", 1)])).reply;
    assert!(matches!(reply, CommandReply::Rejected(_)), "{reply:?}");
}

#[test]
fn a_task_that_waited_for_a_seat_runs_once() {
    let mut driver = driver(1);
    let mut done = 0;
    while driver.view("j").state != JobState::Done {
        let next = driver.ready()[0];
        let run = driver.reserve(next).unwrap();
        for other in driver.ready() {
            assert_eq!(driver.reserve(other), Err(ReservationRejection::NoSeat));
        }
        driver.close(run, DONE);
        done += 1;
    }
    assert_eq!(done, 4);
}
