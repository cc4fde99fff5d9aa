//! Renewal and expiry of the run lease, also over a freeze of the runner.

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
fn runs_stop_at_lease_end_without_confirmation() {
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
fn confirmation_renews_lease_from_send_time_of_heartbeat() {
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
fn answer_of_other_incarnation_lower_term_or_unsent_heartbeat_renews_no_lease() {
    let mut runner = runner();
    runner.order(Monotonic(10), &start(1));
    runner.heartbeat(Monotonic(3_000));
    let mut other_incarnation = confirm(2);
    other_incarnation.incarnation = types::RunnerIncarnation(1);
    let mut lower_term = confirm(2);
    lower_term.term = Term(1);
    for answer in [other_incarnation, lower_term, confirm(3)] {
        runner.heartbeat_answered(Monotonic(4_000), &answer);
        assert_eq!(runner.next_wakeup(), Some(Monotonic(10_000)));
    }
}

#[test]
fn newer_confirmation_may_shorten_lease() {
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
fn resumed_runner_stops_expired_runs_before_it_reports_or_accepts_anything() {
    let resumed_at = Monotonic(60_000);
    let mut checked_at_heartbeat = runner();
    checked_at_heartbeat.order(Monotonic(10), &start(1));
    let report = checked_at_heartbeat.heartbeat(resumed_at);
    assert!(report.active.is_empty());
    assert_eq!(checked_at_heartbeat.tick(resumed_at), vec![stopped(1)]);

    let mut checked_at_answer = runner();
    checked_at_answer.order(Monotonic(10), &start(1));
    let events = checked_at_answer.heartbeat_answered(resumed_at, &confirm(1));
    assert_eq!(events, vec![stopped(1)]);

    let mut checked_at_order = runner();
    checked_at_order.order(Monotonic(10), &start(1));
    let revoke = order(2, OrderKind::Revoke { run: run_id(8) });
    assert_eq!(
        checked_at_order.order(resumed_at, &revoke).1,
        vec![stopped(1)]
    );
}

#[test]
fn run_whose_end_and_lease_passed_during_freeze_counts_as_stopped() {
    let mut runner = runner();
    let run = crate::bench::run(1, r#"{"duration_ms": 5000}"#);
    runner.order(Monotonic(10), &crate::bench::start_of(run, 1));
    assert_eq!(runner.tick(Monotonic(60_000)), vec![stopped(1)]);
}

#[test]
fn heartbeat_answer_can_stop_active_run() {
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
fn send_times_are_kept_for_default_lease_at_fifty_heartbeats_per_second() {
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
    // The order is based on the first heartbeat, sent at time 0.
    let (answer, _) = runner.order(Monotonic(lease.0 - 1), &order);
    assert_eq!(answer, OrderAnswer::Started);
}

#[test]
fn heartbeats_are_numbered_consecutively_from_one() {
    let mut runner = runner();
    let report = runner.heartbeat(Monotonic(5));
    assert_eq!(report.sequence, HeartbeatSequence(2));
}
