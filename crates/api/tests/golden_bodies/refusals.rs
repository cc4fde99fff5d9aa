//! Refusals of every kind, with their HTTP status.

use crate::recorded::{assert_body, read_back};
use api::refusal::RefusalBody;
use configuration::ConfigurationProblem;
use peer::{Refusal, RefusalCode};
use serde::Serialize;
use types::Milliseconds;

/// A refusal as a client gets it.
#[derive(Serialize)]
struct Answer {
    status: u16,
    retry_after: Option<u64>,
    body: RefusalBody,
}

fn full_refusal() -> Refusal {
    let problem = |place: &str, problem: &str| ConfigurationProblem {
        place: place.to_owned(),
        problem: problem.to_owned(),
    };
    Refusal {
        code: RefusalCode::Overloaded,
        message: "one sentence".to_owned(),
        retry_after: Some(Milliseconds(1_700)),
        problems: vec![
            problem("queues.q", "the first"),
            problem("keys", "the second"),
        ],
    }
}

fn minimal_refusal(code: RefusalCode) -> Refusal {
    Refusal {
        code,
        message: "one sentence".to_owned(),
        retry_after: None,
        problems: Vec::new(),
    }
}

fn answer(refusal: Refusal) -> Answer {
    let body = RefusalBody::from(refusal);
    Answer {
        status: body.code.status(),
        retry_after: body.retry_after_seconds(),
        body,
    }
}

#[test]
fn refusals_of_every_kind_are_written_as_recorded() {
    let codes = every!(RefusalCode:
        Invalid,
        Unauthenticated,
        Forbidden,
        NotFound,
        Conflict,
        Overloaded,
        Unavailable,
        TimedOut,
    );
    assert_body("refusals.json", &codes.map(minimal_refusal).map(answer));
}

#[test]
fn a_full_refusal_reads_and_writes_as_recorded() {
    assert_body("refusal_full.json", &RefusalBody::from(full_refusal()));
    let body: RefusalBody = read_back("refusal_full.json");
    assert_eq!(body.retry_after_seconds(), Some(2));
    assert_eq!(Refusal::from(body), full_refusal());
}
