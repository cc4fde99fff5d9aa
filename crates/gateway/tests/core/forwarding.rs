//! Forwarding, resends, deadlines and changes of leader.

use crate::bench::{Bench, RESEND_AFTER_MS, job_key, submit, submitted};
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
    let mut bench = Bench::connected();
    let ticket = bench.ask(2_000, submit("poster", "a"));
    let (to, at, request) = &bench.requests[0];
    assert_eq!((*to, *at), (0, bench.now));
    assert_eq!(request.time_left, Milliseconds(2_000));
    bench.reply(0, submitted());
    bench.reply(0, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
    bench.advance(3_000);
    assert_eq!(bench.answer(ticket), Some(&submitted()));
    assert_eq!(bench.requests.len(), 1);
}

#[test]
fn unanswered_request_is_resent_under_same_number_with_backoff() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(5_000, submit("poster", "a"));
    let first = bench.now;
    bench.advance(4_000);
    let sent: Vec<_> = bench.requests.iter().map(|(_, at, _)| at - first).collect();
    assert_eq!(
        sent,
        [0, RESEND_AFTER_MS, 3 * RESEND_AFTER_MS, 7 * RESEND_AFTER_MS]
    );
    let id = bench.requests[0].2.id;
    for (_, at, request) in &bench.requests {
        assert_eq!(request.id, id);
        assert_eq!(request.time_left.0, 5_000 - (at - first));
    }
    bench.reply(0, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
}

#[test]
fn unanswered_request_times_out_at_its_deadline_and_not_before() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(1_000, submit("poster", "a"));
    bench.advance(950);
    assert_eq!(bench.answer(ticket), None);
    bench.advance(50);
    let rejection = bench.rejection(ticket);
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert!(rejection.retry_after.is_some());
    bench.reply(0, submitted());
    assert_eq!(bench.rejection(ticket).code, RejectionCode::TimedOut);
}

#[test]
fn next_wakeup_is_no_later_than_next_deadline() {
    let mut bench = Bench::connected();
    bench.ask(30, submit("poster", "a"));
    assert!(bench.gateway.next_wakeup().0 <= bench.now + 30);
}

#[test]
fn rejection_of_leader_is_returned_at_once() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    let rejected = rejection(RejectionCode::Overloaded);
    bench.reply(0, Err(rejected.clone()));
    assert_eq!(bench.rejection(ticket), &rejected);
}

/// A temporary rejection applies to the resend only: the first attempt may still take
/// effect, so the gateway must not report that the request was rejected.
#[test]
fn temporary_rejection_of_resend_is_returned_as_unknown_outcome() {
    for code in [RejectionCode::Overloaded, RejectionCode::Unavailable] {
        let mut bench = Bench::connected();
        let ticket = bench.ask(30_000, submit("poster", "a"));
        bench.advance(RESEND_AFTER_MS);
        assert_eq!(bench.requests.len(), 2);
        bench.reply(0, Err(rejection(code)));
        let rejected = bench.rejection(ticket);
        assert_eq!(rejected.code, RejectionCode::TimedOut);
        assert_eq!(rejected.retry_after, Some(Milliseconds(700)));
    }
}

#[test]
fn permanent_rejection_of_resend_is_returned() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    bench.advance(RESEND_AFTER_MS);
    bench.reply(0, Err(rejection(RejectionCode::Conflict)));
    assert_eq!(bench.rejection(ticket).code, RejectionCode::Conflict);
}

#[test]
fn pending_request_is_resent_when_session_with_new_leader_opens() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(10_000, submit("poster", "a"));
    bench.coordinators[0].unresponsive = true;
    bench.elect(1);
    bench.advance(1_500);
    let (to, _, request) = bench.requests.last().unwrap();
    assert_eq!(*to, 1);
    assert_eq!(request.id, bench.requests[0].2.id);
    assert_eq!(bench.answer(ticket), None);
    bench.reply(1, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
}

#[test]
fn request_rejected_by_former_leader_is_sent_to_new_leader_at_once() {
    let mut bench = Bench::connected();
    bench.elect(1);
    let ticket = bench.ask(2_000, submit("poster", "a"));
    let (to, at, _) = bench.requests.last().unwrap();
    assert_eq!((*to, *at), (1, bench.now));
    bench.reply(1, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
}

/// Guards against an endless loop of resends between two coordinators that each name the
/// other as leader.
#[test]
fn coordinators_that_name_each_other_as_leader_cause_no_resend_loop() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(1_000, submit("poster", "a"));
    for coordinator in &mut bench.coordinators {
        coordinator.is_leader = false;
    }
    for from in [0, 1, 0, 1, 0, 1, 0, 1, 0, 1] {
        let leader = Some(bench.coordinators[1 - from].address.clone());
        bench.deliver(from, PeerMessage::NotLeader { leader });
    }
    bench.advance(1_000);
    let code = bench.rejection(ticket).code;
    assert!(
        matches!(code, RejectionCode::TimedOut | RejectionCode::Unavailable),
        "{code:?}"
    );
}

#[test]
fn pending_request_ends_when_leader_is_lost_and_not_at_its_deadline() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    for coordinator in &mut bench.coordinators {
        coordinator.unresponsive = true;
    }
    bench.advance(2_300);
    let rejection = bench.rejection(ticket);
    // The request was sent and may still take effect, so its outcome is unknown.
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert_eq!(rejection.retry_after, Some(Milliseconds(500)));
}

/// While the process is frozen, the deadline passes and a reply arrives. The timeout
/// must be processed first, and the gateway must not use its expired session.
#[test]
fn deadline_during_freeze_is_processed_before_late_reply() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(2_000, submit("poster", "a"));
    let id = bench.requests[0].2.id;
    let late_reply = transport::Reply {
        id,
        result: Ok(OperationReply::Accepted),
    };
    let envelope = transport::Envelope {
        from: bench.coordinators[0].address.clone(),
        via: None,
        body: PeerMessage::Reply(late_reply),
    };
    for coordinator in &mut bench.coordinators {
        coordinator.unresponsive = true;
    }
    bench.freeze(20_000, Input::Peer(envelope));
    assert_eq!(bench.rejection(ticket).code, RejectionCode::TimedOut);
    let later = bench.ask(2_000, Operation::GetJob(job_key("poster", "a")));
    assert_eq!(bench.rejection(later).code, RejectionCode::Unavailable);
    assert!(bench.readiness.last().unwrap().is_err());
}

/// Guards against a reply to an earlier process that matches a request of its successor.
#[test]
fn processes_with_different_identities_use_different_request_numbers() {
    let mut first = Bench::connected();
    first.ask(1_000, submit("poster", "a"));
    let mut second = Bench::connected();
    second.ask(1_000, submit("poster", "a"));
    assert_eq!(first.requests[0].2.id, second.requests[0].2.id);
    let mut other = Bench::connected_as(77);
    other.ask(1_000, submit("poster", "a"));
    assert_ne!(first.requests[0].2.id, other.requests[0].2.id);
}
