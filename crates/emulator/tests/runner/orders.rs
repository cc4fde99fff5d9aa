//! Rejections, and orders that cross.

use crate::bench::{
    confirm, mutated, options, order, revoke, run, run_id, runner, runner_with, slots, start,
    start_of, stop,
};
use emulator::runner::{RunnerEvent, RunnerInstruction, RunnerMutation};
use types::{
    Monotonic, OrderAnswer, OrderKind, Outcome, RejectionReason, RunnerIncarnation, RunnerOrder,
    Term,
};

const T: Monotonic = Monotonic(100);

fn rejected(reason: RejectionReason) -> OrderAnswer {
    OrderAnswer::Rejected(reason)
}

#[test]
fn starts_a_run_once() {
    let mut runner = runner();
    let (answer, events) = runner.order(T, &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    assert!(matches!(events.as_slice(), [RunnerEvent::Started(_)]));
    let (answer, events) = runner.order(T, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
    assert!(events.is_empty());
    assert_eq!(runner.active(), vec![run_id(1)]);
}

#[test]
fn refuses_orders_for_another_life() {
    let mut runner = runner();
    for mut order in [start(1), stop(1), revoke(1)] {
        order.incarnation = RunnerIncarnation(3);
        let (answer, _) = runner.order(T, &order);
        assert_eq!(answer, rejected(RejectionReason::OtherIncarnation));
    }
}

#[test]
fn refuses_terms_below_the_highest_from_an_order_or_a_heartbeat() {
    let mut by_order = runner();
    by_order.order(T, &order(3, OrderKind::Revoke { run: run_id(9) }));
    let mut by_heartbeat = runner();
    by_heartbeat.heartbeat_answered(
        T,
        &RunnerInstruction {
            term: Term(3),
            ..confirm(1)
        },
    );
    for runner in [&mut by_order, &mut by_heartbeat] {
        for order in [start(1), stop(1), revoke(1)] {
            let (answer, _) = runner.order(T, &order);
            assert_eq!(answer, rejected(RejectionReason::StaleTerm));
        }
    }
}

#[test]
fn refuses_for_one_reason_before_another() {
    let mut runner = runner();
    runner.order(T, &start(1));
    runner.drain();
    let mut stale = start_of(run(1, ""), 77);
    stale.term = Term(1);
    stale.incarnation = RunnerIncarnation(1);
    let mut answer_to = |order: &RunnerOrder| runner.order(T, order).0;
    assert_eq!(
        answer_to(&stale),
        rejected(RejectionReason::OtherIncarnation)
    );
    stale.incarnation = crate::bench::LIFE;
    assert_eq!(answer_to(&stale), rejected(RejectionReason::StaleTerm));
    stale.term = Term(2);
    assert_eq!(answer_to(&stale), rejected(RejectionReason::KnownRun));
    let mut too_large = run(2, "");
    too_large.resources = slots(9);
    let too_large = start_of(too_large, 77);
    assert_eq!(answer_to(&too_large), rejected(RejectionReason::Draining));
}

#[test]
fn refuses_without_room_and_then_for_good() {
    let mut runner = runner();
    runner.order(T, &start(1));
    runner.order(T, &start(2));
    let (answer, _) = runner.order(T, &start_of(run(3, ""), 77));
    assert_eq!(answer, rejected(RejectionReason::NoCapacity));
    runner.order(T, &stop(1));
    let (answer, _) = runner.order(T, &start(3));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn refuses_an_unknown_or_old_basis() {
    let (answer, _) = runner().order(T, &start_of(run(1, ""), 2));
    assert_eq!(answer, rejected(RejectionReason::StaleHeartbeat));
    let (answer, _) = runner().order(Monotonic(9_999), &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    let (answer, _) = runner().order(Monotonic(10_000), &start(1));
    assert_eq!(answer, rejected(RejectionReason::StaleHeartbeat));
}

#[test]
fn a_start_that_crosses_its_void_is_refused() {
    let mut runner = runner();
    assert_eq!(runner.order(T, &revoke(1)).0, OrderAnswer::Revoked);
    assert_eq!(runner.order(T, &revoke(1)).0, OrderAnswer::Revoked);
    let (answer, _) = runner.order(T, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn a_stop_of_an_unknown_run_keeps_its_start_out() {
    let mut runner = runner();
    assert_eq!(runner.order(T, &stop(1)).0, OrderAnswer::Revoked);
    let (answer, _) = runner.order(T, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn voids_and_stops_tell_how_a_known_run_stands() {
    let mut runner = runner();
    runner.order(T, &start(1));
    assert_eq!(runner.order(T, &revoke(1)).0, OrderAnswer::Active);
    let (answer, events) = runner.order(T, &stop(1));
    assert_eq!(answer, OrderAnswer::Stopping);
    let ended = RunnerEvent::Ended {
        run: run_id(1),
        outcome: Outcome::Stopped,
    };
    assert_eq!(events, vec![ended]);
    assert_eq!(runner.order(T, &revoke(1)).0, OrderAnswer::Ended);
    assert_eq!(runner.order(T, &stop(1)).0, OrderAnswer::Ended);
}

#[test]
fn a_recorded_run_never_starts_again() {
    let mut runner = runner();
    runner.order(T, &start(1));
    runner.order(T, &stop(1));
    runner.heartbeat_answered(
        T,
        &RunnerInstruction {
            recorded: vec![run_id(1)],
            ..confirm(1)
        },
    );
    assert!(runner.heartbeat(T).ended.is_empty());
    let (answer, _) = runner.order(T, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn a_tombstone_is_dropped_only_when_its_starts_are_stale() {
    let mut runner = runner();
    runner.order(T, &revoke(1));
    for _ in 0..3_000 {
        runner.heartbeat(T);
        let (answer, _) = runner.order(T, &start(1));
        assert!(matches!(answer, OrderAnswer::Rejected(_)), "{answer:?}");
    }
}

#[test]
fn a_restarted_runner_takes_nothing_meant_for_its_last_life() {
    let mut runner = runner_with(options().restarted());
    let (answer, _) = runner.order(T, &start(1));
    assert_eq!(answer, rejected(RejectionReason::OtherIncarnation));
}

#[test]
fn each_mutation_lets_one_fault_through() {
    let mut runner = mutated(RunnerMutation::NoTombstones);
    runner.order(T, &revoke(1));
    assert_eq!(runner.order(T, &start(1)).0, OrderAnswer::Started);

    let mut runner = mutated(RunnerMutation::NoTermFence);
    runner.order(T, &order(3, OrderKind::Revoke { run: run_id(9) }));
    let (answer, events) = runner.order(T, &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    assert_eq!(events.first(), Some(&RunnerEvent::AcceptedStale(start(1))));

    let mut runner = mutated(RunnerMutation::NoHeartbeatCheck);
    let (answer, _) = runner.order(Monotonic(90_000), &start(1));
    assert_eq!(answer, OrderAnswer::Started);

    let mut runner = mutated(RunnerMutation::NoSelfStop);
    runner.order(T, &start(1));
    let after_lease_before_limit = Monotonic(15_000);
    assert!(runner.tick(after_lease_before_limit).is_empty());
    assert_eq!(runner.next_wakeup(), Some(Monotonic(20_100)));
}
