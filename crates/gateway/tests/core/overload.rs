//! Bounded places: one tenant cannot take them all, and a rejection is at once.

use crate::bench::{Bench, PLACES, submit};
use gateway::{Input, TicketId};
use transport::{Operation, RejectionCode};

const TENANT_PLACES: usize = PLACES / 4;

fn flood(bench: &mut Bench, tenant: &str, count: usize) -> Vec<TicketId> {
    (0..count)
        .map(|number| bench.ask(30_000, submit(tenant, &format!("{tenant}-{number}"))))
        .collect()
}

fn rejected(bench: &Bench, tickets: &[TicketId]) -> usize {
    let answers = tickets.iter().filter_map(|ticket| bench.answer(*ticket));
    answers.filter(|answer| answer.is_err()).count()
}

#[test]
fn one_tenant_at_many_times_its_load_leaves_the_others_their_places() {
    let mut bench = Bench::connected();
    let loud = flood(&mut bench, "poster", 20 * PLACES);
    assert_eq!(rejected(&bench, &loud), 20 * PLACES - TENANT_PLACES);
    let rejection = bench.rejection(loud[TENANT_PLACES]);
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    let wait = rejection.retry_after.unwrap().0;
    assert!((500..=1_000).contains(&wait), "{wait}");
    let quiet = flood(&mut bench, "editors", TENANT_PLACES);
    assert_eq!(rejected(&bench, &quiet), 0);
}

#[test]
fn all_tenants_together_leave_places_for_operators() {
    let mut bench = Bench::connected();
    for tenant in ["a", "b", "c", "d", "e", "f"] {
        flood(&mut bench, tenant, PLACES);
    }
    let operators: Vec<_> = (0..PLACES)
        .map(|_| bench.ask(30_000, Operation::ListMembers))
        .collect();
    assert_eq!(rejected(&bench, &operators), PLACES - PLACES / 8);
    assert_eq!(
        bench.rejection(*operators.last().unwrap()).code,
        RejectionCode::Overloaded
    );
}

#[test]
fn an_answer_or_a_caller_that_went_away_frees_the_place() {
    let mut bench = Bench::connected();
    let tickets = flood(&mut bench, "poster", TENANT_PLACES);
    bench.reply(0, crate::bench::submitted());
    assert_eq!(rejected(&bench, &tickets), 0);
    let next = flood(&mut bench, "poster", 2);
    assert_eq!(rejected(&bench, &next), 1);
    bench.input(Input::Abandoned { ticket: tickets[0] });
    let next = flood(&mut bench, "poster", 2);
    assert_eq!(rejected(&bench, &next), 1);
}

#[test]
fn an_abandoned_request_gets_no_answer_and_no_resend() {
    let mut bench = Bench::connected();
    let ticket = bench.ask(5_000, submit("poster", "a"));
    bench.input(Input::Abandoned { ticket });
    bench.advance(6_000);
    assert_eq!(bench.answer(ticket), None);
    assert_eq!(bench.requests.len(), 1);
}

#[test]
fn timed_out_requests_free_their_places() {
    let mut bench = Bench::connected();
    for _ in 0..3 {
        let tickets: Vec<_> = (0..TENANT_PLACES)
            .map(|number| bench.ask(100, submit("poster", &format!("j-{number}"))))
            .collect();
        bench.advance(150);
        assert_eq!(rejected(&bench, &tickets), TENANT_PLACES);
        for ticket in tickets {
            assert_eq!(bench.rejection(ticket).code, RejectionCode::TimedOut);
        }
    }
}
