//! Forwarding, resends, deadlines and changes of leader.

use crate::harness::{Harness, RESEND_AFTER_MS, job_key, submit, submitted};
use gateway::Input;
use transport::{Operation, OperationReply, PeerMessage, RejectionCode};
use types::Milliseconds;

fn rejection(code: RejectionCode) -> transport::Rejection {
    transport::Rejection {
        code,
        message: "tenant poster holds its most unfinished jobs".to_owned(),
        retry_after: Some(Milliseconds(700)),
        problems: Vec::new(),
    }
}

#[test]
fn request_is_sent_to_leader_at_once_and_answered_once() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(2_000, submit("poster", "a"));
    let (to, at, request) = &harness.requests[0];
    assert_eq!((*to, *at), (0, harness.now));
    assert_eq!(request.time_left, Milliseconds(2_000));
    harness.reply(0, submitted());
    harness.reply(0, submitted());
    assert_eq!(harness.answer(ticket), Some(&submitted()));
    harness.advance(3_000);
    assert_eq!(harness.answer(ticket), Some(&submitted()));
    assert_eq!(harness.requests.len(), 1);
}

#[test]
fn unanswered_request_is_resent_under_same_number_with_backoff() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(5_000, submit("poster", "a"));
    let first = harness.now;
    harness.advance(4_000);
    let sent: Vec<_> = harness
        .requests
        .iter()
        .map(|(_, at, _)| at - first)
        .collect();
    assert_eq!(
        sent,
        [0, RESEND_AFTER_MS, 3 * RESEND_AFTER_MS, 7 * RESEND_AFTER_MS]
    );
    let id = harness.requests[0].2.id;
    for (_, at, request) in &harness.requests {
        assert_eq!(request.id, id);
        assert_eq!(request.time_left.0, 5_000 - (at - first));
    }
    harness.reply(0, submitted());
    assert_eq!(harness.answer(ticket), Some(&submitted()));
}

#[test]
fn unanswered_request_times_out_at_its_deadline_and_not_before() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(1_000, submit("poster", "a"));
    harness.advance(950);
    assert_eq!(harness.answer(ticket), None);
    harness.advance(50);
    let rejection = harness.rejection(ticket);
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert!(rejection.retry_after.is_some());
    harness.reply(0, submitted());
    assert_eq!(harness.rejection(ticket).code, RejectionCode::TimedOut);
}

#[test]
fn next_wakeup_is_no_later_than_next_deadline() {
    let mut harness = Harness::connected();
    harness.ask(30, submit("poster", "a"));
    assert!(harness.gateway.next_wakeup().0 <= harness.now + 30);
}

#[test]
fn rejection_of_leader_is_returned_at_once() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(30_000, submit("poster", "a"));
    let rejected = rejection(RejectionCode::Overloaded);
    harness.reply(0, Err(rejected.clone()));
    assert_eq!(harness.rejection(ticket), &rejected);
}

/// A temporary rejection applies to the resend only: the first attempt may still take
/// effect, so the gateway must not report that the request was rejected.
#[test]
fn temporary_rejection_of_resend_is_returned_as_unknown_outcome() {
    for code in [RejectionCode::Overloaded, RejectionCode::Unavailable] {
        let mut harness = Harness::connected();
        let ticket = harness.ask(30_000, submit("poster", "a"));
        harness.advance(RESEND_AFTER_MS);
        assert_eq!(harness.requests.len(), 2);
        harness.reply(0, Err(rejection(code)));
        let rejected = harness.rejection(ticket);
        assert_eq!(rejected.code, RejectionCode::TimedOut);
        assert_eq!(rejected.retry_after, Some(Milliseconds(700)));
    }
}

#[test]
fn permanent_rejection_of_resend_is_returned() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(30_000, submit("poster", "a"));
    harness.advance(RESEND_AFTER_MS);
    harness.reply(0, Err(rejection(RejectionCode::Conflict)));
    assert_eq!(harness.rejection(ticket).code, RejectionCode::Conflict);
}

#[test]
fn pending_request_is_resent_when_session_with_new_leader_opens() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(10_000, submit("poster", "a"));
    harness.coordinators[0].unresponsive = true;
    harness.elect(1);
    harness.advance(1_500);
    let (to, _, request) = harness.requests.last().unwrap();
    assert_eq!(*to, 1);
    assert_eq!(request.id, harness.requests[0].2.id);
    assert_eq!(harness.answer(ticket), None);
    harness.reply(1, submitted());
    assert_eq!(harness.answer(ticket), Some(&submitted()));
}

#[test]
fn request_rejected_by_former_leader_is_sent_to_new_leader_at_once() {
    let mut harness = Harness::connected();
    harness.elect(1);
    let ticket = harness.ask(2_000, submit("poster", "a"));
    let (to, at, _) = harness.requests.last().unwrap();
    assert_eq!((*to, *at), (1, harness.now));
    harness.reply(1, submitted());
    assert_eq!(harness.answer(ticket), Some(&submitted()));
}

/// Guards against an endless loop of resends between two coordinators that each name the
/// other as leader.
#[test]
fn coordinators_that_name_each_other_as_leader_cause_no_resend_loop() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(1_000, submit("poster", "a"));
    for coordinator in &mut harness.coordinators {
        coordinator.is_leader = false;
    }
    for from in [0, 1, 0, 1, 0, 1, 0, 1, 0, 1] {
        let leader = Some(harness.coordinators[1 - from].address.clone());
        harness.deliver(from, PeerMessage::NotLeader { leader });
    }
    harness.advance(1_000);
    let code = harness.rejection(ticket).code;
    assert!(
        matches!(code, RejectionCode::TimedOut | RejectionCode::Unavailable),
        "{code:?}"
    );
}

#[test]
fn pending_request_ends_when_leader_is_lost_and_not_at_its_deadline() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(30_000, submit("poster", "a"));
    for coordinator in &mut harness.coordinators {
        coordinator.unresponsive = true;
    }
    harness.advance(2_300);
    let rejection = harness.rejection(ticket);
    // The request was sent and may still take effect, so its outcome is unknown.
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert_eq!(rejection.retry_after, Some(Milliseconds(500)));
}

/// While the process is frozen, the deadline passes and a reply arrives. The timeout
/// must be processed first, and the gateway must not use its expired session.
#[test]
fn deadline_during_freeze_is_processed_before_late_reply() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(2_000, submit("poster", "a"));
    let id = harness.requests[0].2.id;
    let late_reply = transport::Reply {
        id,
        result: Ok(OperationReply::Accepted),
    };
    let envelope = transport::Envelope {
        from: harness.coordinators[0].address.clone(),
        via: None,
        body: PeerMessage::Reply(late_reply),
    };
    for coordinator in &mut harness.coordinators {
        coordinator.unresponsive = true;
    }
    harness.freeze(20_000, Input::Peer(envelope));
    assert_eq!(harness.rejection(ticket).code, RejectionCode::TimedOut);
    let later = harness.ask(2_000, Operation::GetJob(job_key("poster", "a")));
    assert_eq!(harness.rejection(later).code, RejectionCode::Unavailable);
    assert!(harness.readiness.last().unwrap().is_err());
}

/// Guards against a reply to an earlier process that matches a request of its successor.
#[test]
fn processes_with_different_identities_use_different_request_numbers() {
    let mut first = Harness::connected();
    first.ask(1_000, submit("poster", "a"));
    let mut second = Harness::connected();
    second.ask(1_000, submit("poster", "a"));
    assert_eq!(first.requests[0].2.id, second.requests[0].2.id);
    let mut other = Harness::connected_as(77);
    other.ask(1_000, submit("poster", "a"));
    assert_ne!(first.requests[0].2.id, other.requests[0].2.id);
}
