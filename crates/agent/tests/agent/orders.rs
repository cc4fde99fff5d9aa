//! Delivery of orders and the results reported to the leader.

use crate::harness::{Harness, ORDER_TIMEOUT_MS, SESSION_INTERVAL_MS, order, report};
use agent::{Effect, Input, NotReady};
use types::{OrderAnswer, OrderSequence, RejectionReason};

/// The leader may send an order more than once.
#[test]
fn delivers_each_order_once() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1), order(1, 2)]);
    assert_eq!(
        harness.delivered_orders(),
        vec![OrderSequence(1), OrderSequence(2)]
    );
    harness.send_orders(vec![order(1, 2), order(1, 3)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(3)]);
    harness.answer_order(order(1, 2), OrderAnswer::Revoked);
    harness.send_orders(vec![order(1, 2)]);
    assert!(harness.delivered_orders().is_empty());
}

#[test]
fn reports_answer_once() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1)]);
    harness.answer_order(order(1, 1), OrderAnswer::Started);
    let results = harness.results();
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].order, order(1, 1));
    assert_eq!(results[0].answer, OrderAnswer::Started);
    harness.answer_order(order(1, 1), OrderAnswer::Started);
    assert!(harness.results().is_empty());
}

#[test]
fn unanswered_order_is_reported_unknown_after_timeout() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1)]);
    harness.advance_to(ORDER_TIMEOUT_MS - 1);
    assert!(harness.results().is_empty());
    harness.advance_to(ORDER_TIMEOUT_MS);
    assert_eq!(harness.answers(), vec![OrderAnswer::Unknown]);
    harness.answer_order(order(1, 1), OrderAnswer::Started);
    assert!(
        harness.results().is_empty(),
        "the leader already revokes the run"
    );
}

#[test]
fn orders_in_flight_per_runner_are_bounded() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders((1..=20).map(|sequence| order(1, sequence)).collect());
    assert_eq!(harness.delivered_orders().len(), 16);
    harness.answer_order(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(17)]);
}

#[test]
fn drops_orders_until_runner_sends_heartbeat_in_session() {
    let mut harness = Harness::new();
    harness.open_session(1);
    harness.send_orders(vec![order(1, 1)]);
    assert!(harness.delivered_orders().is_empty());
    harness.receive_heartbeat();
    assert!(
        harness.delivered_orders().is_empty(),
        "the order was dropped"
    );
    harness.send_orders(vec![order(1, 2)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(2)]);
}

/// An earlier incarnation has ended, so the leader can be informed at once. A later one
/// has sent no heartbeat yet, so its state is unknown.
#[test]
fn rejects_orders_for_earlier_incarnation_and_drops_orders_for_later_one() {
    let mut harness = Harness::with_session_and_runner();
    let mut later = order(1, 1);
    later.incarnation = types::RunnerIncarnation(9);
    harness.send_orders(vec![later]);
    assert!(harness.delivered_orders().is_empty() && harness.results().is_empty());
    harness.input(Input::Heartbeat(report(4, 1)));
    harness.send_orders(vec![order(1, 2)]);
    assert!(harness.delivered_orders().is_empty());
    let rejected = OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
    assert_eq!(harness.answers(), vec![rejected]);
}

/// The message with a result may be lost when the session closes.
#[test]
fn results_are_sent_again_in_next_session_of_same_term() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1)]);
    harness.answer_order(order(1, 1), OrderAnswer::Started);
    harness.advance_to(6 * SESSION_INTERVAL_MS);
    assert!(harness.readiness().is_none_or(|ready| ready.is_err()));
    harness.open_session(1);
    assert_eq!(harness.answers(), vec![OrderAnswer::Started]);
}

/// Only the leader that issued an order needs its result.
#[test]
fn results_of_lower_term_are_not_sent_to_new_leader() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1)]);
    harness.answer_order(order(1, 1), OrderAnswer::Started);
    harness.advance_to(SESSION_INTERVAL_MS * 2);
    harness.open_session(2);
    assert!(harness.results().is_empty());
}

#[test]
fn graceful_stop_waits_for_answers_and_ends_session() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders(vec![order(1, 1)]);
    harness.input(Input::Stop);
    assert!(!harness.effects.contains(&Effect::Stopped));
    assert_eq!(harness.readiness(), Some(Err(NotReady::Stopping)));
    harness.send_orders(vec![order(1, 2)]);
    assert!(harness.delivered_orders().is_empty());
    harness.answer_order(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(harness.answers(), vec![OrderAnswer::Revoked]);
    let ends_session = harness.effects.iter().any(|effect| {
        matches!(effect, Effect::Send { message: transport::PeerMessage::KeepAlive(keep_alive), .. } if keep_alive.leaving)
    });
    assert!(ends_session);
    assert_eq!(harness.effects.last(), Some(&Effect::Stopped));
}
