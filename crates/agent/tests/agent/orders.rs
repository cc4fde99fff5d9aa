//! Delivery of orders and what is reported of them.

use crate::bench::{Bench, INTERVAL, ORDER_TIMEOUT, order, report};
use agent::{Effect, Input, NotReady};
use types::{OrderAnswer, OrderSequence, RejectionReason};

#[test]
fn delivers_each_order_once() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1), order(1, 2)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(1), OrderSequence(2)]);
    bench.order(vec![order(1, 2), order(1, 3)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(3)]);
    bench.answer(order(1, 2), OrderAnswer::Revoked);
    bench.order(vec![order(1, 2)]);
    assert!(bench.delivered().is_empty());
}

#[test]
fn reports_an_answer_once() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1)]);
    bench.answer(order(1, 1), OrderAnswer::Started);
    let results = bench.results();
    assert_eq!(results.len(), 1);
    assert_eq!(results[0].order, order(1, 1));
    assert_eq!(results[0].answer, OrderAnswer::Started);
    bench.answer(order(1, 1), OrderAnswer::Started);
    assert!(bench.results().is_empty());
}

#[test]
fn an_order_without_an_answer_becomes_unknown() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1)]);
    bench.run_to(ORDER_TIMEOUT - 1);
    assert!(bench.results().is_empty());
    bench.run_to(ORDER_TIMEOUT);
    assert_eq!(bench.answers(), vec![OrderAnswer::Unknown]);
    bench.answer(order(1, 1), OrderAnswer::Started);
    assert!(bench.results().is_empty(), "the leader voids it by now");
}

#[test]
fn gives_a_runner_a_bounded_number_of_orders_at_once() {
    let mut bench = Bench::serving();
    bench.order((1..=20).map(|sequence| order(1, sequence)).collect());
    assert_eq!(bench.delivered().len(), 16);
    bench.answer(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(bench.delivered(), vec![OrderSequence(17)]);
}

#[test]
fn serves_a_runner_only_once_it_was_heard() {
    let mut bench = Bench::new();
    bench.open(1);
    bench.order(vec![order(1, 1)]);
    assert!(bench.delivered().is_empty());
    bench.heartbeat();
    assert!(bench.delivered().is_empty(), "the order was dropped");
    bench.order(vec![order(1, 2)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(2)]);
}

#[test]
fn refuses_orders_for_an_earlier_life_and_drops_those_for_a_later_one() {
    let mut bench = Bench::serving();
    let mut later = order(1, 1);
    later.incarnation = types::RunnerIncarnation(9);
    bench.order(vec![later]);
    assert!(bench.delivered().is_empty() && bench.results().is_empty());
    bench.input(Input::Heartbeat(report(4, 1)));
    bench.order(vec![order(1, 2)]);
    assert!(bench.delivered().is_empty());
    let rejected = OrderAnswer::Rejected(RejectionReason::OtherIncarnation);
    assert_eq!(bench.answers(), vec![rejected]);
}

#[test]
fn results_are_told_again_in_the_next_session_of_the_same_term() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1)]);
    bench.answer(order(1, 1), OrderAnswer::Started);
    bench.run_to(6 * INTERVAL);
    assert!(bench.readiness().is_none_or(|ready| ready.is_err()));
    bench.open(1);
    assert_eq!(bench.answers(), vec![OrderAnswer::Started]);
}

#[test]
fn results_of_an_old_term_are_not_told_to_a_new_leader() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1)]);
    bench.answer(order(1, 1), OrderAnswer::Started);
    bench.run_to(INTERVAL * 2);
    bench.open(2);
    assert!(bench.results().is_empty());
}

#[test]
fn a_polite_stop_waits_for_answers_and_says_goodbye() {
    let mut bench = Bench::serving();
    bench.order(vec![order(1, 1)]);
    bench.input(Input::Stop);
    assert!(!bench.effects.contains(&Effect::Stopped));
    assert_eq!(bench.readiness(), Some(Err(NotReady::Stopping)));
    bench.order(vec![order(1, 2)]);
    assert!(bench.delivered().is_empty());
    bench.answer(order(1, 1), OrderAnswer::Revoked);
    assert_eq!(bench.answers(), vec![OrderAnswer::Revoked]);
    let goodbye = bench.effects.iter().any(|effect| {
        matches!(effect, Effect::Send { message: transport::PeerMessage::KeepAlive(keep_alive), .. } if keep_alive.leaving)
    });
    assert!(goodbye);
    assert_eq!(bench.effects.last(), Some(&Effect::Stopped));
}
