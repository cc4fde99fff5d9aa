//! Reports of heartbeats to the leader, answers to runners, and readiness.

use crate::harness::{Harness, INCARNATION, leader, report, run_id, runner_id, update};
use agent::{Input, NotReady};
use transport::PeerMessage;
use types::{HeartbeatSequence, Milliseconds, RunnerIncarnation, Term};

#[test]
fn is_ready_only_with_session() {
    let mut harness = Harness::new();
    harness.input(Input::Tick);
    assert!(harness.readiness().is_some_and(|ready| ready.is_err()));
    harness.open_session(1);
    assert_eq!(harness.readiness(), Some(Ok(())));
}

#[test]
fn first_heartbeat_is_reported_at_once_and_next_ones_in_one_report() {
    let mut harness = Harness::with_session_and_runner();
    assert_eq!(harness.reported_heartbeats(), vec![HeartbeatSequence(1)]);
    harness.now_ms += 5;
    harness.receive_heartbeat();
    harness.receive_heartbeat();
    assert!(harness.reported_heartbeats().is_empty());
    assert_eq!(harness.agent.next_wakeup().0, 20);
    harness.advance_to(20);
    assert_eq!(harness.reported_heartbeats(), vec![HeartbeatSequence(3)]);
}

/// A delayed heartbeat must not replace the state of a newer one.
#[test]
fn ignores_heartbeats_older_than_newest() {
    let mut harness = Harness::with_session_and_runner();
    harness.now_ms += 100;
    harness.input(Input::Heartbeat(report(INCARNATION, 9)));
    assert_eq!(harness.reported_heartbeats(), vec![HeartbeatSequence(9)]);
    harness.now_ms += 100;
    harness.input(Input::Heartbeat(report(INCARNATION, 8)));
    harness.input(Input::Heartbeat(report(INCARNATION - 1, 50)));
    assert!(harness.reported_heartbeats().is_empty());
}

#[test]
fn heartbeats_before_session_are_not_reported() {
    let mut harness = Harness::new();
    harness.receive_heartbeat();
    harness.open_session(1);
    assert!(
        harness.reported_heartbeats().is_empty(),
        "the heartbeat was received before the session"
    );
    harness.receive_heartbeat();
    assert_eq!(harness.reported_heartbeats(), vec![HeartbeatSequence(2)]);
}

/// Updates received between two heartbeats are merged in one answer.
#[test]
fn lists_of_runner_updates_are_returned_once() {
    let mut harness = Harness::with_session_and_runner();
    let mut first = update(1, 1);
    first.recorded = vec![run_id(1)];
    let mut second = update(1, 1);
    second.recorded = vec![run_id(2)];
    second.stop = vec![run_id(3)];
    for update in [first, second] {
        harness.receive(leader(), PeerMessage::RunnerUpdate(update));
    }
    let answer = harness.agent.heartbeat_answer(&runner_id());
    assert_eq!(answer.term, Term(1));
    assert_eq!(answer.confirmed, Some(HeartbeatSequence(1)));
    assert_eq!(answer.incarnation, RunnerIncarnation(INCARNATION));
    assert_eq!(answer.lease, Milliseconds(10_000));
    assert_eq!(answer.recorded, vec![run_id(1), run_id(2)]);
    assert_eq!(answer.stop, vec![run_id(3)]);
    let repeated = harness.agent.heartbeat_answer(&runner_id());
    assert!(repeated.recorded.is_empty() && repeated.stop.is_empty());
    assert_eq!(repeated.confirmed, Some(HeartbeatSequence(1)));
}

/// A confirmation for an earlier incarnation must not count for a restarted runner.
#[test]
fn new_incarnation_has_no_confirmed_heartbeat() {
    let mut harness = Harness::with_session_and_runner();
    harness.receive(leader(), PeerMessage::RunnerUpdate(update(1, 1)));
    harness.input(Input::Heartbeat(report(INCARNATION + 1, 1)));
    harness.receive(leader(), PeerMessage::RunnerUpdate(update(1, 2)));
    let answer = harness.agent.heartbeat_answer(&runner_id());
    assert_eq!(answer.incarnation, RunnerIncarnation(INCARNATION + 1));
    assert_eq!(answer.confirmed, None);
}

#[test]
fn answer_to_unknown_runner_contains_only_term() {
    let mut harness = Harness::with_session_and_runner();
    let unknown = types::RunnerId::new("stranger").unwrap();
    let answer = harness.agent.heartbeat_answer(&unknown);
    assert_eq!(answer.confirmed, None);
    assert_eq!(answer.term, Term(1));
}

/// `/readyz` returns these texts to operators.
#[test]
fn not_ready_reasons_have_fixed_texts() {
    assert_eq!(NotReady::Stopping.to_string(), "stopping");
    assert_eq!(
        NotReady::NoSession.to_string(),
        "no session with the leader"
    );
    assert_eq!(
        NotReady::StaleConfiguration.to_string(),
        "the configuration replica is too old"
    );
}
