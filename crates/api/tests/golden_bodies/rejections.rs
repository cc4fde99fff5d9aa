//! Bodies of rejections of every kind, with HTTP status and `Retry-After`.

use crate::recorded::{assert_body, read_back};
use api::rejection::RejectionBody;
use configuration::ConfigurationError;
use serde::Serialize;
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// Parts of a response that a rejection sets.
#[derive(Serialize)]
struct RejectionResponse {
    status: u16,
    retry_after: Option<u64>,
    body: RejectionBody,
}

fn full_rejection() -> Rejection {
    let problem = |path: &str, message: &str| ConfigurationError {
        path: path.to_owned(),
        message: message.to_owned(),
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

fn minimal_rejection(code: RejectionCode) -> Rejection {
    Rejection {
        code,
        message: "one sentence".to_owned(),
        retry_after: None,
        problems: Vec::new(),
    }
}

fn response(rejection: Rejection) -> RejectionResponse {
    let body = RejectionBody::from(rejection);
    RejectionResponse {
        status: body.code.status(),
        retry_after: body.retry_after_seconds(),
        body,
    }
}

#[test]
fn rejection_of_every_code_matches_golden_file() {
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
    assert_body("refusals.json", &codes.map(minimal_rejection).map(response));
}

#[test]
fn full_rejection_round_trips_through_golden_file() {
    assert_body("refusal_full.json", &RejectionBody::from(full_rejection()));
    let body: RejectionBody = read_back("refusal_full.json");
    assert_eq!(body.retry_after_seconds(), Some(2));
    assert_eq!(Rejection::from(body), full_rejection());
}
