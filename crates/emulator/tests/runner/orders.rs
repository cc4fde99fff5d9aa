//! Answers to orders: rejections, reordered and repeated orders, and tombstones.

use crate::bench::{
    confirm, options, order, revoke, run, run_id, runner, runner_with, runner_with_mutation, slots,
    start, start_of, stop,
};
use emulator::runner::{RunnerEvent, RunnerInstruction, RunnerMutation};
use types::{
    Monotonic, OrderAnswer, OrderKind, Outcome, RejectionReason, RunnerIncarnation, RunnerOrder,
    Term,
};

/// Time of orders in tests where the time is irrelevant.
const NOW: Monotonic = Monotonic(100);

fn rejected(reason: RejectionReason) -> OrderAnswer {
    OrderAnswer::Rejected(reason)
}

#[test]
fn repeated_start_is_rejected_as_known_run() {
    let mut runner = runner();
    let (answer, events) = runner.order(NOW, &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    assert!(matches!(events.as_slice(), [RunnerEvent::Started(_)]));
    let (answer, events) = runner.order(NOW, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
    assert!(events.is_empty());
    assert_eq!(runner.active(), vec![run_id(1)]);
}

#[test]
fn orders_for_other_incarnation_are_rejected() {
    let mut runner = runner();
    for mut order in [start(1), stop(1), revoke(1)] {
        order.incarnation = RunnerIncarnation(3);
        let (answer, _) = runner.order(NOW, &order);
        assert_eq!(answer, rejected(RejectionReason::OtherIncarnation));
    }
}

#[test]
fn orders_below_highest_term_of_order_or_heartbeat_answer_are_rejected() {
    let mut by_order = runner();
    by_order.order(NOW, &order(3, OrderKind::Revoke { run: run_id(9) }));
    let mut by_heartbeat = runner();
    by_heartbeat.heartbeat_answered(
        NOW,
        &RunnerInstruction {
            term: Term(3),
            ..confirm(1)
        },
    );
    for runner in [&mut by_order, &mut by_heartbeat] {
        for order in [start(1), stop(1), revoke(1)] {
            let (answer, _) = runner.order(NOW, &order);
            assert_eq!(answer, rejected(RejectionReason::StaleTerm));
        }
    }
}

#[test]
fn reasons_of_rejection_have_fixed_precedence() {
    let mut runner = runner();
    runner.order(NOW, &start(1));
    runner.drain();
    let mut stale = start_of(run(1, ""), 77);
    stale.term = Term(1);
    stale.incarnation = RunnerIncarnation(1);
    let mut answer_to = |order: &RunnerOrder| runner.order(NOW, order).0;
    assert_eq!(
        answer_to(&stale),
        rejected(RejectionReason::OtherIncarnation)
    );
    stale.incarnation = crate::bench::INCARNATION;
    assert_eq!(answer_to(&stale), rejected(RejectionReason::StaleTerm));
    stale.term = Term(2);
    assert_eq!(answer_to(&stale), rejected(RejectionReason::KnownRun));
    let mut too_large = run(2, "");
    too_large.resources = slots(9);
    let too_large = start_of(too_large, 77);
    assert_eq!(answer_to(&too_large), rejected(RejectionReason::Draining));
}

#[test]
fn start_rejected_without_capacity_stays_rejected_when_capacity_is_free() {
    let mut runner = runner();
    runner.order(NOW, &start(1));
    runner.order(NOW, &start(2));
    let (answer, _) = runner.order(NOW, &start_of(run(3, ""), 77));
    assert_eq!(answer, rejected(RejectionReason::NoCapacity));
    runner.order(NOW, &stop(1));
    let (answer, _) = runner.order(NOW, &start(3));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn start_based_on_unsent_or_expired_heartbeat_is_rejected() {
    let (answer, _) = runner().order(NOW, &start_of(run(1, ""), 2));
    assert_eq!(answer, rejected(RejectionReason::StaleHeartbeat));
    let (answer, _) = runner().order(Monotonic(9_999), &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    let (answer, _) = runner().order(Monotonic(10_000), &start(1));
    assert_eq!(answer, rejected(RejectionReason::StaleHeartbeat));
}

#[test]
fn start_that_arrives_after_its_revocation_is_rejected() {
    let mut runner = runner();
    assert_eq!(runner.order(NOW, &revoke(1)).0, OrderAnswer::Revoked);
    assert_eq!(runner.order(NOW, &revoke(1)).0, OrderAnswer::Revoked);
    let (answer, _) = runner.order(NOW, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn start_that_arrives_after_its_stop_is_rejected() {
    let mut runner = runner();
    assert_eq!(runner.order(NOW, &stop(1)).0, OrderAnswer::Revoked);
    let (answer, _) = runner.order(NOW, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn answer_to_revoke_or_stop_gives_state_of_known_run() {
    let mut runner = runner();
    runner.order(NOW, &start(1));
    assert_eq!(runner.order(NOW, &revoke(1)).0, OrderAnswer::Active);
    let (answer, events) = runner.order(NOW, &stop(1));
    assert_eq!(answer, OrderAnswer::Stopping);
    let ended = RunnerEvent::Ended {
        run: run_id(1),
        outcome: Outcome::Stopped,
    };
    assert_eq!(events, vec![ended]);
    assert_eq!(runner.order(NOW, &revoke(1)).0, OrderAnswer::Ended);
    assert_eq!(runner.order(NOW, &stop(1)).0, OrderAnswer::Ended);
}

#[test]
fn recorded_run_cannot_start_again() {
    let mut runner = runner();
    runner.order(NOW, &start(1));
    runner.order(NOW, &stop(1));
    runner.heartbeat_answered(
        NOW,
        &RunnerInstruction {
            recorded: vec![run_id(1)],
            ..confirm(1)
        },
    );
    assert!(runner.heartbeat(NOW).ended.is_empty());
    let (answer, _) = runner.order(NOW, &start(1));
    assert_eq!(answer, rejected(RejectionReason::KnownRun));
}

#[test]
fn start_stays_rejected_after_its_tombstone_is_dropped() {
    let mut runner = runner();
    runner.order(NOW, &revoke(1));
    for _ in 0..3_000 {
        runner.heartbeat(NOW);
        let (answer, _) = runner.order(NOW, &start(1));
        assert!(matches!(answer, OrderAnswer::Rejected(_)), "{answer:?}");
    }
}

#[test]
fn restarted_runner_rejects_orders_for_previous_incarnation() {
    let mut runner = runner_with(options().restarted());
    let (answer, _) = runner.order(NOW, &start(1));
    assert_eq!(answer, rejected(RejectionReason::OtherIncarnation));
}

#[test]
fn each_mutation_disables_its_guard() {
    let mut runner = runner_with_mutation(RunnerMutation::NoTombstones);
    runner.order(NOW, &revoke(1));
    assert_eq!(runner.order(NOW, &start(1)).0, OrderAnswer::Started);

    let mut runner = runner_with_mutation(RunnerMutation::NoTermFence);
    runner.order(NOW, &order(3, OrderKind::Revoke { run: run_id(9) }));
    let (answer, events) = runner.order(NOW, &start(1));
    assert_eq!(answer, OrderAnswer::Started);
    assert_eq!(events.first(), Some(&RunnerEvent::AcceptedStale(start(1))));

    let mut runner = runner_with_mutation(RunnerMutation::NoHeartbeatCheck);
    let (answer, _) = runner.order(Monotonic(90_000), &start(1));
    assert_eq!(answer, OrderAnswer::Started);

    let mut runner = runner_with_mutation(RunnerMutation::NoSelfStop);
    runner.order(NOW, &start(1));
    let after_lease_before_limit = Monotonic(15_000);
    assert!(runner.tick(after_lease_before_limit).is_empty());
    assert_eq!(runner.next_wakeup(), Some(Monotonic(20_100)));
}
