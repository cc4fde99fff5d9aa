//! Limits on pending requests: quotas of tenants, the reserve of operators, and
//! immediate rejection above them.

use crate::harness::{Harness, MAX_WAITING_REQUESTS, submit};
use gateway::{Input, TicketId};
use transport::{Operation, RejectionCode};

const TENANT_QUOTA: usize = MAX_WAITING_REQUESTS / 4;

/// Submits `count` jobs of a tenant, and returns the tickets.
fn submit_many(harness: &mut Harness, tenant: &str, count: usize) -> Vec<TicketId> {
    (0..count)
        .map(|number| harness.ask(30_000, submit(tenant, &format!("{tenant}-{number}"))))
        .collect()
}

/// Returns the number of rejected requests.
fn count_rejected(harness: &Harness, tickets: &[TicketId]) -> usize {
    let answers = tickets.iter().filter_map(|ticket| harness.answer(*ticket));
    answers.filter(|answer| answer.is_err()).count()
}

#[test]
fn overload_by_one_tenant_leaves_quota_of_other_tenants() {
    let mut harness = Harness::connected();
    let overloading = submit_many(&mut harness, "poster", 20 * MAX_WAITING_REQUESTS);
    assert_eq!(
        count_rejected(&harness, &overloading),
        20 * MAX_WAITING_REQUESTS - TENANT_QUOTA
    );
    let rejection = harness.rejection(overloading[TENANT_QUOTA]);
    assert_eq!(rejection.code, RejectionCode::Overloaded);
    let retry_after = rejection.retry_after.unwrap().0;
    assert!((500..=1_000).contains(&retry_after), "{retry_after}");
    let other = submit_many(&mut harness, "editors", TENANT_QUOTA);
    assert_eq!(count_rejected(&harness, &other), 0);
}

#[test]
fn overload_by_all_tenants_leaves_capacity_for_operators() {
    let mut harness = Harness::connected();
    for tenant in ["a", "b", "c", "d", "e", "f"] {
        submit_many(&mut harness, tenant, MAX_WAITING_REQUESTS);
    }
    let operators: Vec<_> = (0..MAX_WAITING_REQUESTS)
        .map(|_| harness.ask(30_000, Operation::ListMembers))
        .collect();
    assert_eq!(
        count_rejected(&harness, &operators),
        MAX_WAITING_REQUESTS - MAX_WAITING_REQUESTS / 8
    );
    assert_eq!(
        harness.rejection(*operators.last().unwrap()).code,
        RejectionCode::Overloaded
    );
}

#[test]
fn answered_or_abandoned_request_frees_capacity() {
    let mut harness = Harness::connected();
    let tickets = submit_many(&mut harness, "poster", TENANT_QUOTA);
    harness.reply(0, crate::harness::submitted());
    assert_eq!(count_rejected(&harness, &tickets), 0);
    let next = submit_many(&mut harness, "poster", 2);
    assert_eq!(count_rejected(&harness, &next), 1);
    harness.input(Input::Abandoned { ticket: tickets[0] });
    let next = submit_many(&mut harness, "poster", 2);
    assert_eq!(count_rejected(&harness, &next), 1);
}

#[test]
fn abandoned_request_is_not_answered_or_resent() {
    let mut harness = Harness::connected();
    let ticket = harness.ask(5_000, submit("poster", "a"));
    harness.input(Input::Abandoned { ticket });
    harness.advance(6_000);
    assert_eq!(harness.answer(ticket), None);
    assert_eq!(harness.requests.len(), 1);
}

#[test]
fn timed_out_requests_free_capacity() {
    let mut harness = Harness::connected();
    for _ in 0..3 {
        let tickets: Vec<_> = (0..TENANT_QUOTA)
            .map(|number| harness.ask(100, submit("poster", &format!("j-{number}"))))
            .collect();
        harness.advance(150);
        assert_eq!(count_rejected(&harness, &tickets), TENANT_QUOTA);
        for ticket in tickets {
            assert_eq!(harness.rejection(ticket).code, RejectionCode::TimedOut);
        }
    }
}
