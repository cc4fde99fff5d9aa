//! Terms, restarts, cuts and freezes.

use crate::bench::{Bench, FREEZE, INTERVAL, LEASE, leader, order, run_id, update};
use agent::{AgentMutation, Input, NotReady};
use transport::PeerMessage;
use types::{NodeId, OrderAnswer, OrderSequence, RejectionReason, Term};

#[test]
fn refuses_orders_of_a_lower_term() {
    let mut bench = Bench::serving();
    bench.run_to(INTERVAL * 2);
    bench.open(3);
    bench.heartbeat();
    bench.order(vec![order(2, 1)]);
    assert!(bench.delivered().is_empty());
    let rejected = OrderAnswer::Rejected(RejectionReason::StaleTerm);
    assert_eq!(bench.answers(), vec![rejected]);
    bench.order(vec![order(3, 1)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(1)]);
}

#[test]
fn a_word_of_a_higher_term_fences_the_old_leader_before_a_session() {
    let mut bench = Bench::serving();
    bench.receive(leader(), PeerMessage::RunnerUpdate(update(4, 1)));
    assert_eq!(
        bench
            .agent
            .heartbeat_answer(&crate::bench::runner_id())
            .term,
        Term(4)
    );
    bench.order(vec![order(1, 1)]);
    assert!(bench.delivered().is_empty());
    bench.order(vec![order(4, 1)]);
    assert!(bench.delivered().is_empty(), "no session in that term yet");
}

#[test]
fn queued_orders_of_a_lower_term_are_dropped() {
    let mut bench = Bench::serving();
    bench.order((1..=20).map(|sequence| order(1, sequence)).collect());
    bench.run_to(INTERVAL + INTERVAL / 8);
    bench.open(2);
    bench.answer(order(1, 1), OrderAnswer::Revoked);
    assert!(bench.delivered().is_empty());
}

#[test]
fn drops_orders_meant_for_an_earlier_process() {
    let mut bench = Bench::serving();
    bench.order_to(NodeId(49), Term(1), vec![order(1, 1)]);
    assert!(bench.delivered().is_empty() && bench.results().is_empty());
}

#[test]
fn drops_an_order_whose_term_differs_from_its_message() {
    let mut bench = Bench::serving();
    bench.order_to(NodeId(50), Term(1), vec![order(7, 1)]);
    assert!(bench.delivered().is_empty());
}

/// Sixteen orders in flight and one in the queue.
fn with_a_queue(mut bench: Bench) -> Bench {
    bench.order((1..=17).map(|sequence| order(1, sequence)).collect());
    assert_eq!(bench.delivered().len(), 16);
    bench
}

fn frees_a_place(bench: &mut Bench) {
    bench.answer(order(1, 1), OrderAnswer::Revoked);
}

#[test]
fn a_freeze_drops_the_queue_and_what_arrives_before_it_rejoined() {
    let mut bench = with_a_queue(Bench::serving());
    bench.at += FREEZE;
    frees_a_place(&mut bench);
    assert!(bench.delivered().is_empty());
    bench.order(vec![order(1, 18)]);
    assert!(bench.delivered().is_empty(), "sent before or in the freeze");
    bench.open(1);
    bench.order(vec![order(1, 19)]);
    assert!(
        bench.delivered().is_empty(),
        "the runner was not heard again"
    );
    bench.heartbeat();
    assert!(bench.delivered().is_empty());
    bench.order(vec![order(1, 20)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(20)]);
}

#[test]
fn a_freeze_shorter_than_the_lease_counts_too() {
    let mut bench = Bench::serving();
    bench.at += FREEZE;
    const { assert!(FREEZE < LEASE) };
    bench.order(vec![order(1, 1)]);
    assert!(bench.delivered().is_empty());
}

#[test]
fn an_agent_cut_off_over_its_lease_takes_nothing_until_it_rejoined() {
    let mut bench = Bench::serving();
    bench.run_to(LEASE);
    let ready = bench.readiness();
    assert_eq!(ready, Some(Err(NotReady::NoSession)));
    bench.order(vec![order(1, 1)]);
    assert!(bench.delivered().is_empty() && bench.results().is_empty());
    bench.open(1);
    bench.heartbeat();
    bench.order(vec![order(1, 2)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(2)]);
}

#[test]
fn ticking_as_asked_is_no_freeze() {
    let mut bench = Bench::serving();
    bench.run_to(LEASE - 1);
    bench.order(vec![order(1, 1)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(1)]);
}

#[test]
fn each_mutation_lets_one_fault_through() {
    let mut bench = Bench::mutated(AgentMutation::NoTermFence);
    bench.open(3);
    bench.heartbeat();
    bench.order(vec![order(2, 1)]);
    assert_eq!(bench.delivered(), vec![OrderSequence(1)]);

    let mut bench = Bench::mutated(AgentMutation::KeepOrdersOverLostSession);
    bench.open(1);
    bench.heartbeat();
    let mut bench = with_a_queue(bench);
    bench.at += FREEZE / 2;
    bench.input(Input::Tick);
    bench.at += FREEZE;
    bench.order(vec![order(1, 18)]);
    assert!(bench.delivered().contains(&OrderSequence(18)));
}

#[test]
fn updates_of_lower_terms_are_ignored() {
    let mut bench = Bench::new();
    bench.open(3);
    bench.heartbeat();
    let mut stale = update(2, 1);
    stale.stop = vec![run_id(1)];
    bench.receive(leader(), PeerMessage::RunnerUpdate(stale));
    let answer = bench.agent.heartbeat_answer(&crate::bench::runner_id());
    assert_eq!(answer.confirmed, None);
    assert!(answer.stop.is_empty());
}
