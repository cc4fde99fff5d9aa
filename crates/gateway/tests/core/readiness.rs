//! Readiness, which requires a valid replica and a session, and graceful shutdown.

use crate::harness::{Harness, submit, submitted};
use gateway::{Input, NotReady};
use transport::RejectionCode;

#[test]
fn gateway_without_session_is_not_ready_and_rejects_at_once() {
    let mut harness = Harness::new();
    for coordinator in &mut harness.coordinators {
        coordinator.unresponsive = true;
    }
    harness.input(Input::Tick);
    assert!(harness.readiness.last().unwrap().is_err());
    let ticket = harness.ask(30_000, submit("poster", "a"));
    let rejection = harness.rejection(ticket);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
}

#[test]
fn readiness_is_reported_only_on_changes() {
    let mut harness = Harness::connected();
    harness.advance(5_000);
    let reports = harness.readiness.len();
    assert!(reports <= 3, "{:?}", harness.readiness);
    for coordinator in &mut harness.coordinators {
        coordinator.unresponsive = true;
    }
    harness.advance(5_000);
    assert!(harness.readiness.last().unwrap().is_err());
    for coordinator in &mut harness.coordinators {
        coordinator.unresponsive = false;
    }
    harness.advance(5_000);
    assert_eq!(harness.readiness.last(), Some(&Ok(())));
    assert!(
        harness.readiness.len() <= reports + 3,
        "{:?}",
        harness.readiness
    );
}

#[test]
fn gateway_without_confirmation_by_leader_becomes_not_ready() {
    let mut harness = Harness::connected();
    harness.version = 1;
    harness.advance(250);
    harness.coordinators[0].unresponsive = true;
    harness.advance(2_500);
    assert_eq!(
        harness.readiness.last(),
        Some(&Err(NotReady::NoConfiguration))
    );
}

#[test]
fn stop_rejects_new_requests_and_waits_for_pending_ones() {
    let mut harness = Harness::connected();
    let pending = harness.ask(5_000, submit("poster", "a"));
    harness.input(Input::Stop);
    assert_eq!(harness.readiness.last(), Some(&Err(NotReady::Stopping)));
    let rejected = harness.ask(5_000, submit("poster", "b"));
    let rejection = harness.rejection(rejected);
    assert_eq!(rejection.code, RejectionCode::Unavailable);
    assert!(rejection.retry_after.is_some());
    assert!(!harness.stopped);
    assert_eq!(harness.leave_messages, 0);
    harness.reply(0, submitted());
    assert_eq!(harness.answer(pending), Some(&submitted()));
    assert!(harness.stopped);
    assert_eq!(harness.leave_messages, 1);
    let after_stop = harness.ask(5_000, submit("poster", "c"));
    assert_eq!(
        harness.rejection(after_stop).code,
        RejectionCode::Unavailable
    );
}

#[test]
fn gateway_without_pending_requests_stops_at_once() {
    let mut harness = Harness::connected();
    harness.input(Input::Stop);
    assert!(harness.stopped);
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
