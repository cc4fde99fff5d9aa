//! Rejection of obsolete orders after a new term, a restart, a lost session or a suspend.

use crate::harness::{
    FREEZE_AFTER_MS, Harness, SESSION_INTERVAL_MS, SESSION_LEASE_MS, leader, order, run_id, update,
};
use agent::{AgentMutation, Input, NotReady};
use transport::PeerMessage;
use types::{NodeId, OrderAnswer, OrderSequence, RejectionReason, Term};

/// A former leader may still send orders after its successor was elected.
#[test]
fn rejects_orders_of_lower_term() {
    let mut harness = Harness::with_session_and_runner();
    harness.advance_to(SESSION_INTERVAL_MS * 2);
    harness.open_session(3);
    harness.receive_heartbeat();
    harness.send_orders(vec![order(2, 1)]);
    assert!(harness.delivered_orders().is_empty());
    let rejected = OrderAnswer::Rejected(RejectionReason::StaleTerm);
    assert_eq!(harness.answers(), vec![rejected]);
    harness.send_orders(vec![order(3, 1)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(1)]);
}

/// A message of a higher term shows that another leader was elected. Orders of the former
/// leader must not be delivered, even before a session with the new leader opens.
#[test]
fn runner_update_of_higher_term_fences_lower_term_before_session() {
    let mut harness = Harness::with_session_and_runner();
    harness.receive(leader(), PeerMessage::RunnerUpdate(update(4, 1)));
    assert_eq!(
        harness
            .agent
            .heartbeat_answer(&crate::harness::runner_id())
            .term,
        Term(4)
    );
    harness.send_orders(vec![order(1, 1)]);
    assert!(harness.delivered_orders().is_empty());
    harness.send_orders(vec![order(4, 1)]);
    assert!(
        harness.delivered_orders().is_empty(),
        "no session of that term is open"
    );
}

/// Orders queued under a former leader must not be delivered under its successor.
#[test]
fn new_session_of_higher_term_drops_queued_orders_of_lower_term() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders((1..=20).map(|sequence| order(1, sequence)).collect());
    harness.advance_to(SESSION_INTERVAL_MS + SESSION_INTERVAL_MS / 8);
    harness.open_session(2);
    harness.answer_order(order(1, 1), OrderAnswer::Revoked);
    assert!(harness.delivered_orders().is_empty());
}

/// After a restart of the agent, orders for the previous process may still arrive.
#[test]
fn drops_orders_for_earlier_process() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders_to(NodeId(49), Term(1), vec![order(1, 1)]);
    assert!(harness.delivered_orders().is_empty() && harness.results().is_empty());
}

#[test]
fn drops_order_whose_term_differs_from_message_term() {
    let mut harness = Harness::with_session_and_runner();
    harness.send_orders_to(NodeId(50), Term(1), vec![order(7, 1)]);
    assert!(harness.delivered_orders().is_empty());
}

/// Sends orders until 16 are in flight and one is queued.
fn with_queued_order(mut harness: Harness) -> Harness {
    harness.send_orders((1..=17).map(|sequence| order(1, sequence)).collect());
    assert_eq!(harness.delivered_orders().len(), 16);
    harness
}

fn answer_first_order(harness: &mut Harness) {
    harness.answer_order(order(1, 1), OrderAnswer::Revoked);
}

/// After a suspend of the machine, orders from before it may be obsolete, both those in
/// the queue and those still in the network.
#[test]
fn suspend_drops_orders_until_new_session_and_heartbeat() {
    let mut harness = with_queued_order(Harness::with_session_and_runner());
    harness.now_ms += FREEZE_AFTER_MS;
    answer_first_order(&mut harness);
    assert!(harness.delivered_orders().is_empty());
    harness.send_orders(vec![order(1, 18)]);
    assert!(
        harness.delivered_orders().is_empty(),
        "the order was sent before or during the suspend"
    );
    harness.open_session(1);
    harness.send_orders(vec![order(1, 19)]);
    assert!(
        harness.delivered_orders().is_empty(),
        "the runner has sent no heartbeat in the new session"
    );
    harness.receive_heartbeat();
    assert!(harness.delivered_orders().is_empty());
    harness.send_orders(vec![order(1, 20)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(20)]);
}

/// A suspend that does not outlast the session lease must be detected as well.
#[test]
fn suspend_shorter_than_session_lease_drops_orders() {
    let mut harness = Harness::with_session_and_runner();
    harness.now_ms += FREEZE_AFTER_MS;
    const { assert!(FREEZE_AFTER_MS < SESSION_LEASE_MS) };
    harness.send_orders(vec![order(1, 1)]);
    assert!(harness.delivered_orders().is_empty());
}

/// After a partition that outlasts the session lease, late orders must not be delivered.
#[test]
fn expired_session_drops_orders_until_new_session() {
    let mut harness = Harness::with_session_and_runner();
    harness.advance_to(SESSION_LEASE_MS);
    let ready = harness.readiness();
    assert_eq!(ready, Some(Err(NotReady::NoSession)));
    harness.send_orders(vec![order(1, 1)]);
    assert!(harness.delivered_orders().is_empty() && harness.results().is_empty());
    harness.open_session(1);
    harness.receive_heartbeat();
    harness.send_orders(vec![order(1, 2)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(2)]);
}

/// An idle agent must not mistake the time between two ticks for a suspend.
#[test]
fn ticks_at_requested_wakeups_are_no_suspend() {
    let mut harness = Harness::with_session_and_runner();
    harness.advance_to(SESSION_LEASE_MS - 1);
    harness.send_orders(vec![order(1, 1)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(1)]);
}

/// Each mutation must make the agent deliver an obsolete order, so that checkers can detect
/// the missing guard.
#[test]
fn each_mutation_disables_its_guard() {
    let mut harness = Harness::with_mutation(AgentMutation::NoTermFence);
    harness.open_session(3);
    harness.receive_heartbeat();
    harness.send_orders(vec![order(2, 1)]);
    assert_eq!(harness.delivered_orders(), vec![OrderSequence(1)]);

    let mut harness = Harness::with_mutation(AgentMutation::KeepOrdersOverLostSession);
    harness.open_session(1);
    harness.receive_heartbeat();
    let mut harness = with_queued_order(harness);
    harness.now_ms += FREEZE_AFTER_MS / 2;
    harness.input(Input::Tick);
    harness.now_ms += FREEZE_AFTER_MS;
    harness.send_orders(vec![order(1, 18)]);
    assert!(harness.delivered_orders().contains(&OrderSequence(18)));
}

/// An update of a former leader could otherwise stop runs that are still valid.
#[test]
fn ignores_runner_updates_of_lower_term() {
    let mut harness = Harness::new();
    harness.open_session(3);
    harness.receive_heartbeat();
    let mut stale = update(2, 1);
    stale.stop = vec![run_id(1)];
    harness.receive(leader(), PeerMessage::RunnerUpdate(stale));
    let answer = harness.agent.heartbeat_answer(&crate::harness::runner_id());
    assert_eq!(answer.confirmed, None);
    assert!(answer.stop.is_empty());
}
