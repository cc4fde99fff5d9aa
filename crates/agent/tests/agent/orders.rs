//! Delivery of orders and the results reported to the leader.

use crate::bench::{Bench, ORDER_TIMEOUT_MS, SESSION_INTERVAL_MS, order, report};
use agent::{Effect, Input, NotReady};
use types::{OrderAnswer, OrderSequence, RejectionReason};

/// The leader may send an order more than once.
#[test]
fn delivers_each_order_once() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1), order(1, 2)]);
    assert_eq!(
        bench.delivered_orders(),
        vec![OrderSequence(1), OrderSequence(2)]
    );
    bench.send_orders(vec![order(1, 2), order(1, 3)]);
    assert_eq!(bench.delivered_orders(), vec![OrderSequence(3)]);
    bench.answer_order(order(1, 2), OrderAnswer::Revoked);
    bench.send_orders(vec![order(1, 2)]);
    assert!(bench.delivered_orders().is_empty());
}

#[test]
fn reports_answer_once() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1)]);
    bench.answer_order(order(1, 1), OrderAnswer::Started);
    let results = bench.results();
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].order, order(1, 1));
    assert_eq!(results[0].answer, OrderAnswer::Started);
    bench.answer_order(order(1, 1), OrderAnswer::Started);
    assert!(bench.results().is_empty());
}

#[test]
fn unanswered_order_is_reported_unknown_after_timeout() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1)]);
    bench.advance_to(ORDER_TIMEOUT_MS - 1);
    assert!(bench.results().is_empty());
    bench.advance_to(ORDER_TIMEOUT_MS);
    assert_eq!(bench.answers(), vec![OrderAnswer::Unknown]);
    bench.answer_order(order(1, 1), OrderAnswer::Started);
    assert!(
        bench.results().is_empty(),
        "the leader already revokes the run"
    );
}

#[test]
fn orders_in_flight_per_runner_are_bounded() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders((1..=20).map(|sequence| order(1, sequence)).collect());
    assert_eq!(bench.delivered_orders().len(), 16);
    bench.answer_order(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(bench.delivered_orders(), vec![OrderSequence(17)]);
}

#[test]
fn drops_orders_until_runner_sends_heartbeat_in_session() {
    let mut bench = Bench::new();
    bench.open_session(1);
    bench.send_orders(vec![order(1, 1)]);
    assert!(bench.delivered_orders().is_empty());
    bench.receive_heartbeat();
    assert!(bench.delivered_orders().is_empty(), "the order was dropped");
    bench.send_orders(vec![order(1, 2)]);
    assert_eq!(bench.delivered_orders(), vec![OrderSequence(2)]);
}

/// An earlier incarnation has ended, so the leader can be informed at once. A later one
/// has sent no heartbeat yet, so its state is unknown.
#[test]
fn rejects_orders_for_earlier_incarnation_and_drops_orders_for_later_one() {
    let mut bench = Bench::with_session_and_runner();
    let mut later = order(1, 1);
    later.incarnation = types::RunnerIncarnation(9);
    bench.send_orders(vec![later]);
    assert!(bench.delivered_orders().is_empty() && bench.results().is_empty());
    bench.input(Input::Heartbeat(report(4, 1)));
    bench.send_orders(vec![order(1, 2)]);
    assert!(bench.delivered_orders().is_empty());
    let rejected = OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
    assert_eq!(bench.answers(), vec![rejected]);
}

/// The message with a result may be lost when the session closes.
#[test]
fn results_are_sent_again_in_next_session_of_same_term() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1)]);
    bench.answer_order(order(1, 1), OrderAnswer::Started);
    bench.advance_to(6 * SESSION_INTERVAL_MS);
    assert!(bench.readiness().is_none_or(|ready| ready.is_err()));
    bench.open_session(1);
    assert_eq!(bench.answers(), vec![OrderAnswer::Started]);
}

/// Only the leader that issued an order needs its result.
#[test]
fn results_of_lower_term_are_not_sent_to_new_leader() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1)]);
    bench.answer_order(order(1, 1), OrderAnswer::Started);
    bench.advance_to(SESSION_INTERVAL_MS * 2);
    bench.open_session(2);
    assert!(bench.results().is_empty());
}

#[test]
fn graceful_stop_waits_for_answers_and_ends_session() {
    let mut bench = Bench::with_session_and_runner();
    bench.send_orders(vec![order(1, 1)]);
    bench.input(Input::Stop);
    assert!(!bench.effects.contains(&Effect::Stopped));
    assert_eq!(bench.readiness(), Some(Err(NotReady::Stopping)));
    bench.send_orders(vec![order(1, 2)]);
    assert!(bench.delivered_orders().is_empty());
    bench.answer_order(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(bench.answers(), vec![OrderAnswer::Revoked]);
    let ends_session = bench.effects.iter().any(|effect| {
        matches!(effect, Effect::Send { message: transport::PeerMessage::KeepAlive(keep_alive), .. } if keep_alive.leaving)
    });
    assert!(ends_session);
    assert_eq!(bench.effects.last(), Some(&Effect::Stopped));
}
