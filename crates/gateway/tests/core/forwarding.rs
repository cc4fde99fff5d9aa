//! Forwarding, resends, changes of leader, deadlines.

use crate::bench::{Bench, RESEND_AFTER, job_key, submit, submitted};
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
fn a_request_goes_to_the_leader_at_once_and_its_answer_comes_back_once() {
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
fn silence_is_followed_by_resends_under_the_same_number_with_growing_waits() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(5_000, submit("poster", "a"));
    let first = bench.now;
    bench.advance(4_000);
    let sent: Vec<_> = bench.requests.iter().map(|(_, at, _)| at - first).collect();
    assert_eq!(sent, [0, RESEND_AFTER, 3 * RESEND_AFTER, 7 * RESEND_AFTER]);
    let id = bench.requests[0].2.id;
    for (_, at, request) in &bench.requests {
        assert_eq!(request.id, id);
        assert_eq!(request.time_left.0, 5_000 - (at - first));
    }
    bench.reply(0, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
}

#[test]
fn a_request_without_an_answer_times_out_at_its_deadline_and_not_before() {
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
fn the_core_asks_to_be_woken_by_the_next_deadline_or_resend() {
    let mut bench = Bench::connected();
    bench.ask(30, submit("poster", "a"));
    assert!(bench.gateway.next_wakeup().0 <= bench.now + 30);
}

#[test]
fn a_refusal_of_the_leader_is_passed_on_at_once() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    let rejected = rejection(RejectionCode::Overloaded);
    bench.reply(0, Err(rejected.clone()));
    assert_eq!(bench.rejection(ticket), &rejected);
}

#[test]
fn a_momentary_refusal_of_a_resend_does_not_speak_for_the_first_sending() {
    for code in [RejectionCode::Overloaded, RejectionCode::Unavailable] {
        let mut bench = Bench::connected();
        let ticket = bench.ask(30_000, submit("poster", "a"));
        bench.advance(RESEND_AFTER);
        assert_eq!(bench.requests.len(), 2);
        bench.reply(0, Err(rejection(code)));
        let told = bench.rejection(ticket);
        assert_eq!(told.code, RejectionCode::TimedOut);
        assert_eq!(told.retry_after, Some(Milliseconds(700)));
    }
}

#[test]
fn a_lasting_refusal_of_a_resend_is_passed_on() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    bench.advance(RESEND_AFTER);
    bench.reply(0, Err(rejection(RejectionCode::Conflict)));
    assert_eq!(bench.rejection(ticket).code, RejectionCode::Conflict);
}

#[test]
fn a_new_leader_gets_what_waits_as_soon_as_its_session_opens() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(10_000, submit("poster", "a"));
    bench.coordinators[0].silent = true;
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
fn a_leader_that_steps_down_politely_costs_no_wait() {
    let mut bench = Bench::connected();
    bench.elect(1);
    let ticket = bench.ask(2_000, submit("poster", "a"));
    let (to, at, _) = bench.requests.last().unwrap();
    assert_eq!((*to, *at), (1, bench.now));
    bench.reply(1, submitted());
    assert_eq!(bench.answer(ticket), Some(&submitted()));
}

#[test]
fn two_coordinators_that_point_at_each_other_do_not_keep_it_busy() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(1_000, submit("poster", "a"));
    for coordinator in &mut bench.coordinators {
        coordinator.leads = false;
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
fn what_waits_is_given_up_at_once_when_the_leader_is_and_not_at_its_deadline() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(30_000, submit("poster", "a"));
    for coordinator in &mut bench.coordinators {
        coordinator.silent = true;
    }
    bench.advance(2_300);
    let rejection = bench.rejection(ticket);
    // It was sent: it may be taken yet, so it is no rejection.
    assert_eq!(rejection.code, RejectionCode::TimedOut);
    assert_eq!(rejection.retry_after, Some(Milliseconds(500)));
}

#[test]
fn a_freeze_is_noticed_before_its_input_counts() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(2_000, submit("poster", "a"));
    let id = bench.requests[0].2.id;
    let late = transport::Reply {
        id,
        result: Ok(OperationReply::Accepted),
    };
    let envelope = transport::Envelope {
        from: bench.coordinators[0].address.clone(),
        via: None,
        body: PeerMessage::Reply(late),
    };
    for coordinator in &mut bench.coordinators {
        coordinator.silent = true;
    }
    bench.freeze(20_000, Input::Peer(envelope));
    assert_eq!(bench.rejection(ticket).code, RejectionCode::TimedOut);
    let fresh = bench.ask(2_000, Operation::GetJob(job_key("poster", "a")));
    assert_eq!(bench.rejection(fresh).code, RejectionCode::Unavailable);
    assert!(bench.readiness.last().unwrap().is_err());
}

#[test]
fn two_processes_at_one_socket_number_their_requests_apart() {
    let mut first = Bench::connected();
    first.ask(1_000, submit("poster", "a"));
    let mut second = Bench::connected();
    second.ask(1_000, submit("poster", "a"));
    assert_eq!(first.requests[0].2.id, second.requests[0].2.id);
    let mut other = Bench::connected_as(77);
    other.ask(1_000, submit("poster", "a"));
    assert_ne!(first.requests[0].2.id, other.requests[0].2.id);
}
