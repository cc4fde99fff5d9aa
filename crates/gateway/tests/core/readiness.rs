//! Ready only with a valid replica and a leader; a polite stop.

use crate::bench::{Bench, submit, submitted};
use gateway::{Input, NotReady};
use transport::RejectionCode;

#[test]
fn a_fresh_gateway_is_not_ready_and_refuses_at_once() {
    let mut bench = Bench::new();
    for coordinator in &mut bench.coordinators {
        coordinator.silent = true;
    }
    bench.input(Input::Tick);
    assert!(bench.readiness.last().unwrap().is_err());
    let ticket = bench.ask(30_000, submit("poster", "a"));
    let rejection = bench.rejection(ticket);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
}

#[test]
fn readiness_is_told_when_it_changes_only() {
    let mut bench = Bench::connected();
    bench.advance(5_000);
    let told = bench.readiness.len();
    assert!(told <= 3, "{:?}", bench.readiness);
    for coordinator in &mut bench.coordinators {
        coordinator.silent = true;
    }
    bench.advance(5_000);
    assert!(bench.readiness.last().unwrap().is_err());
    for coordinator in &mut bench.coordinators {
        coordinator.silent = false;
    }
    bench.advance(5_000);
    assert_eq!(bench.readiness.last(), Some(&Ok(())));
    assert!(bench.readiness.len() <= told + 3, "{:?}", bench.readiness);
}

#[test]
fn a_replica_known_to_be_old_ends_service() {
    let mut bench = Bench::connected();
    bench.version = 1;
    bench.advance(250);
    bench.coordinators[0].silent = true;
    bench.advance(2_500);
    assert!(bench.readiness.last().unwrap().is_err());
}

#[test]
fn a_stop_refuses_new_requests_and_finishes_the_waiting_ones() {
    let mut bench = Bench::connected();
    let waiting = bench.ask(5_000, submit("poster", "a"));
    bench.input(Input::Stop);
    assert_eq!(bench.readiness.last(), Some(&Err(NotReady::Stopping)));
    let late = bench.ask(5_000, submit("poster", "b"));
    let rejection = bench.rejection(late);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
    assert!(!bench.stopped);
    assert_eq!(bench.goodbyes, 0);
    bench.reply(0, submitted());
    assert_eq!(bench.answer(waiting), Some(&submitted()));
    assert!(bench.stopped);
    assert_eq!(bench.goodbyes, 1);
    let later = bench.ask(5_000, submit("poster", "c"));
    assert_eq!(bench.rejection(later).code, RejectionCode::Unavailable);
}

#[test]
fn an_idle_gateway_stops_at_once() {
    let mut bench = Bench::connected();
    bench.input(Input::Stop);
    assert!(bench.stopped);
}

/// `/readyz` shows these texts.
#[test]
fn reasons_have_the_texts_that_readyz_shows() {
    assert_eq!(NotReady::Stopping.to_string(), "stopping");
    assert_eq!(
        NotReady::NoConfiguration.to_string(),
        "no configuration confirmed by a leader lately"
    );
    assert_eq!(NotReady::NoSession.to_string(), "no session with a leader");
}
