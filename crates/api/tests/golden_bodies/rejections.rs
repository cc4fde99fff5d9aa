//! Rejections of every kind, with their HTTP status.

use crate::recorded::{assert_body, read_back};
use api::rejection::RejectionBody;
use configuration::ConfigurationError;
use serde::Serialize;
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// A rejection as a client gets it.
#[derive(Serialize)]
struct Answer {
    status: u16,
    retry_after: Option<u64>,
    body: RejectionBody,
}

fn full_refusal() -> Rejection {
    let problem = |place: &str, problem: &str| ConfigurationError {
        path: place.to_owned(),
        message: problem.to_owned(),
    };
    Rejection {
        code: RejectionCode::Overloaded,
        message: "one sentence".to_owned(),
        retry_after: Some(Milliseconds(1_700)),
        problems: vec![
            problem("queues.q", "the first"),
            problem("keys", "the second"),
        ],
    }
}

fn minimal_refusal(code: RejectionCode) -> Rejection {
    Rejection {
        code,
        message: "one sentence".to_owned(),
        retry_after: None,
        problems: Vec::new(),
    }
}

fn answer(rejection: Rejection) -> Answer {
    let body = RejectionBody::from(rejection);
    Answer {
        status: body.code.status(),
        retry_after: body.retry_after_seconds(),
        body,
    }
}

#[test]
fn refusals_of_every_kind_are_written_as_recorded() {
    let codes = every!(RejectionCode:
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
    assert_body("refusal_full.json", &RejectionBody::from(full_refusal()));
    let body: RejectionBody = read_back("refusal_full.json");
    assert_eq!(body.retry_after_seconds(), Some(2));
    assert_eq!(Rejection::from(body), full_refusal());
}
