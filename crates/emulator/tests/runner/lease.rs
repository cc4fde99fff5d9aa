//! The run lease.

use crate::bench::{confirm, order, run_id, runner, start};
use emulator::runner::{RunnerEvent, RunnerInstruction};
use types::{HeartbeatSequence, Milliseconds, Monotonic, OrderAnswer, OrderKind, Outcome, Term};

fn stopped(sequence: u64) -> RunnerEvent {
    RunnerEvent::Ended {
        run: run_id(sequence),
        outcome: Outcome::Stopped,
    }
}

#[test]
fn a_silent_leader_ends_all_runs_at_lease_end() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    runner.order(Monotonic(20), &start(2));
    assert_eq!(runner.next_wakeup(), Some(Monotonic(10_000)));
    assert!(runner.tick(Monotonic(9_999)).is_empty());
    let events = runner.tick(Monotonic(10_000));
    assert_eq!(events, vec![stopped(1), stopped(2)]);
    assert_eq!(runner.next_wakeup(), None);
    let report = runner.heartbeat(Monotonic(10_001));
    assert!(report.active.is_empty());
    assert_eq!(report.ended.len(), 2);
}

#[test]
fn a_confirmed_heartbeat_renews_from_when_it_was_sent() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    runner.heartbeat(Monotonic(3_000));
    runner.heartbeat(Monotonic(6_000));
    runner.heartbeat_answered(Monotonic(9_000), &confirm(2));
    assert_eq!(runner.next_wakeup(), Some(Monotonic(13_000)));
    runner.heartbeat_answered(Monotonic(9_000), &confirm(1));
    assert_eq!(runner.next_wakeup(), Some(Monotonic(13_000)));
    assert_eq!(runner.tick(Monotonic(13_000)), vec![stopped(1)]);
}

#[test]
fn answers_of_other_lives_lower_terms_or_unsent_heartbeats_renew_nothing() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    runner.heartbeat(Monotonic(3_000));
    let mut other_life = confirm(2);
    other_life.incarnation = types::RunnerIncarnation(1);
    let mut lower_term = confirm(2);
    lower_term.term = Term(1);
    for answer in [other_life, lower_term, confirm(3)] {
        runner.heartbeat_answered(Monotonic(4_000), &answer);
        assert_eq!(runner.next_wakeup(), Some(Monotonic(10_000)));
    }
}

#[test]
fn a_newer_confirmation_may_shorten_the_lease() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    runner.heartbeat(Monotonic(1_000));
    let shorter = RunnerInstruction {
        lease: Milliseconds(2_000),
        ..confirm(2)
    };
    runner.heartbeat_answered(Monotonic(1_100), &shorter);
    assert_eq!(runner.tick(Monotonic(3_000)), vec![stopped(1)]);
}

#[test]
fn a_frozen_runner_ends_its_runs_before_it_says_or_takes_anything() {
    let wakes = Monotonic(60_000);
    let mut by_heartbeat = runner();
    by_heartbeat.order(Monotonic(10), &start(1));
    let report = by_heartbeat.heartbeat(wakes);
    assert!(report.active.is_empty());
    assert_eq!(by_heartbeat.tick(wakes), vec![stopped(1)]);

    let mut by_answer = runner();
    by_answer.order(Monotonic(10), &start(1));
    let events = by_answer.heartbeat_answered(wakes, &confirm(1));
    assert_eq!(events, vec![stopped(1)]);

    let mut by_order = runner();
    by_order.order(Monotonic(10), &start(1));
    let revoke = order(2, OrderKind::Revoke { run: run_id(8) });
    assert_eq!(by_order.order(wakes, &revoke).1, vec![stopped(1)]);
}

#[test]
fn a_run_that_should_have_ended_in_a_freeze_counts_as_stopped() {
    let mut runner = runner();
    let run = crate::bench::run(1, r#"{"duration_ms": 5000}"#);
    runner.order(Monotonic(10), &crate::bench::start_of(run, 1));
    assert_eq!(runner.tick(Monotonic(60_000)), vec![stopped(1)]);
}

#[test]
fn the_record_can_close_a_held_run() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    let answer = RunnerInstruction {
        stop: vec![run_id(1)],
        ..confirm(1)
    };
    let events = runner.heartbeat_answered(Monotonic(20), &answer);
    assert_eq!(events, vec![stopped(1)]);
}

#[test]
fn heartbeats_are_remembered_for_the_default_lease_even_at_fifty_a_second() {
    let lease = configuration::Timings::default().run_lease;
    let mut runner = runner();
    let mut now = 0;
    while now + 20 < lease.0 {
        now += 20;
        runner.heartbeat(Monotonic(now));
    }
    let mut order = start(1);
    if let OrderKind::Start { lease: granted, .. } = &mut order.kind {
        *granted = lease;
    }
    // Its basis is the first heartbeat, sent at time 0.
    let (answer, _) = runner.order(Monotonic(lease.0 - 1), &order);
    assert_eq!(answer, OrderAnswer::Started);
}

#[test]
fn heartbeats_are_numbered_from_one() {
    let mut runner = runner();
    let report = runner.heartbeat(Monotonic(5));
    assert_eq!(report.sequence, HeartbeatSequence(2));
}
