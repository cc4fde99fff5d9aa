//! Readiness, which requires a valid replica and a session, and graceful shutdown.

use crate::bench::{Bench, submit, submitted};
use gateway::{Input, NotReady};
use transport::RejectionCode;

#[test]
fn gateway_without_session_is_not_ready_and_rejects_at_once() {
    let mut bench = Bench::new();
    for coordinator in &mut bench.coordinators {
        coordinator.unresponsive = true;
    }
    bench.input(Input::Tick);
    assert!(bench.readiness.last().unwrap().is_err());
    let ticket = bench.ask(30_000, submit("poster", "a"));
    let rejection = bench.rejection(ticket);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
}

#[test]
fn readiness_is_reported_only_on_changes() {
    let mut bench = Bench::connected();
    bench.advance(5_000);
    let reports = bench.readiness.len();
    assert!(reports <= 3, "{:?}", bench.readiness);
    for coordinator in &mut bench.coordinators {
        coordinator.unresponsive = true;
    }
    bench.advance(5_000);
    assert!(bench.readiness.last().unwrap().is_err());
    for coordinator in &mut bench.coordinators {
        coordinator.unresponsive = false;
    }
    bench.advance(5_000);
    assert_eq!(bench.readiness.last(), Some(&Ok(())));
    assert!(
        bench.readiness.len() <= reports + 3,
        "{:?}",
        bench.readiness
    );
}

#[test]
fn gateway_without_confirmation_by_leader_becomes_not_ready() {
    let mut bench = Bench::connected();
    bench.version = 1;
    bench.advance(250);
    bench.coordinators[0].unresponsive = true;
    bench.advance(2_500);
    assert!(bench.readiness.last().unwrap().is_err());
}

#[test]
fn stop_rejects_new_requests_and_waits_for_pending_ones() {
    let mut bench = Bench::connected();
    let pending = bench.ask(5_000, submit("poster", "a"));
    bench.input(Input::Stop);
    assert_eq!(bench.readiness.last(), Some(&Err(NotReady::Stopping)));
    let rejected = bench.ask(5_000, submit("poster", "b"));
    let rejection = bench.rejection(rejected);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
    assert!(!bench.stopped);
    assert_eq!(bench.leave_messages, 0);
    bench.reply(0, submitted());
    assert_eq!(bench.answer(pending), Some(&submitted()));
    assert!(bench.stopped);
    assert_eq!(bench.leave_messages, 1);
    let after_stop = bench.ask(5_000, submit("poster", "c"));
    assert_eq!(bench.rejection(after_stop).code, RejectionCode::Unavailable);
}

#[test]
fn gateway_without_pending_requests_stops_at_once() {
    let mut bench = Bench::connected();
    bench.input(Input::Stop);
    assert!(bench.stopped);
}

/// `/readyz` returns these texts to operators.
#[test]
fn not_ready_reasons_have_texts_of_readyz() {
    assert_eq!(NotReady::Stopping.to_string(), "stopping");
    assert_eq!(
        NotReady::NoConfiguration.to_string(),
        "no configuration confirmed by a leader lately"
    );
    assert_eq!(NotReady::NoSession.to_string(), "no session with a leader");
}
