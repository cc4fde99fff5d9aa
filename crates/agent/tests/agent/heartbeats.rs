//! Heartbeats of runners, and readiness.

use crate::bench::{Bench, LIFE, leader, report, run_id, runner_id, update};
use agent::{Input, NotReady};
use transport::PeerMessage;
use types::{HeartbeatSequence, Milliseconds, RunnerIncarnation, Term};

#[test]
fn is_ready_with_a_session_only() {
    let mut bench = Bench::new();
    bench.input(Input::Tick);
    assert!(bench.readiness().is_some_and(|ready| ready.is_err()));
    bench.open(1);
    assert_eq!(bench.readiness(), Some(Ok(())));
}

#[test]
fn passes_a_heartbeat_on_at_once_and_those_that_follow_together() {
    let mut bench = Bench::serving();
    assert_eq!(bench.reported(), vec![HeartbeatSequence(1)]);
    bench.at += 5;
    bench.heartbeat();
    bench.heartbeat();
    assert!(bench.reported().is_empty());
    assert_eq!(bench.agent.next_wakeup().0, 20);
    bench.run_to(20);
    assert_eq!(bench.reported(), vec![HeartbeatSequence(3)]);
}

#[test]
fn an_old_heartbeat_never_follows_a_newer_one() {
    let mut bench = Bench::serving();
    bench.at += 100;
    bench.input(Input::Heartbeat(report(LIFE, 9)));
    assert_eq!(bench.reported(), vec![HeartbeatSequence(9)]);
    bench.at += 100;
    bench.input(Input::Heartbeat(report(LIFE, 8)));
    bench.input(Input::Heartbeat(report(LIFE - 1, 50)));
    assert!(bench.reported().is_empty());
}

#[test]
fn heartbeats_wait_for_no_session() {
    let mut bench = Bench::new();
    bench.heartbeat();
    bench.open(1);
    assert!(bench.reported().is_empty(), "heard before the session");
    bench.heartbeat();
    assert_eq!(bench.reported(), vec![HeartbeatSequence(2)]);
}

#[test]
fn the_leaders_answers_reach_the_runner_once() {
    let mut bench = Bench::serving();
    let mut first = update(1, 1);
    first.recorded = vec![run_id(1)];
    let mut second = update(1, 1);
    second.recorded = vec![run_id(2)];
    second.stop = vec![run_id(3)];
    for update in [first, second] {
        bench.receive(leader(), PeerMessage::RunnerUpdate(update));
    }
    let answer = bench.agent.heartbeat_answer(&runner_id());
    assert_eq!(answer.term, Term(1));
    assert_eq!(answer.confirmed, Some(HeartbeatSequence(1)));
    assert_eq!(answer.incarnation, RunnerIncarnation(LIFE));
    assert_eq!(answer.lease, Milliseconds(10_000));
    assert_eq!(answer.recorded, vec![run_id(1), run_id(2)]);
    assert_eq!(answer.stop, vec![run_id(3)]);
    let again = bench.agent.heartbeat_answer(&runner_id());
    assert!(again.recorded.is_empty() && again.stop.is_empty());
    assert_eq!(again.confirmed, Some(HeartbeatSequence(1)));
}

#[test]
fn a_new_life_begins_without_confirmations() {
    let mut bench = Bench::serving();
    bench.receive(leader(), PeerMessage::RunnerUpdate(update(1, 1)));
    bench.input(Input::Heartbeat(report(LIFE + 1, 1)));
    bench.receive(leader(), PeerMessage::RunnerUpdate(update(1, 2)));
    let answer = bench.agent.heartbeat_answer(&runner_id());
    assert_eq!(answer.incarnation, RunnerIncarnation(LIFE + 1));
    assert_eq!(answer.confirmed, None);
}

#[test]
fn an_unknown_runner_is_told_nothing_but_the_term() {
    let mut bench = Bench::serving();
    let stranger = types::RunnerId::new("stranger").unwrap();
    let answer = bench.agent.heartbeat_answer(&stranger);
    assert_eq!(answer.confirmed, None);
    assert_eq!(answer.term, Term(1));
}

/// `/readyz` shows these texts.
#[test]
fn reasons_have_the_texts_that_readyz_shows() {
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
