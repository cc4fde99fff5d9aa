//! Extraction of the sender, the deadline and names from an HTTP request.

use crate::Caller;
use crate::shell::http::answer::Failure;
use api::BodyError;
use api::route::{DEADLINE_HEADER, DEFAULT_DEADLINE_MS, MAX_DEADLINE_MS};
use axum::extract::FromRequestParts;
use axum::http::request::Parts;
use axum::http::{HeaderMap, header};
use std::fmt::Display;
use std::str::FromStr;
use types::Milliseconds;

const BEARER_SCHEME: &str = "bearer";

/// Sender of an HTTP request and the time until its deadline.
#[derive(Debug, Clone)]
pub struct Requester {
    /// Sender, identified by the bearer token of the request.
    pub caller: Caller,
    /// Time until the deadline of the request, in milliseconds.
    pub time_left: Milliseconds,
}

impl<S: Sync> FromRequestParts<S> for Requester {
    type Rejection = Failure;

    async fn from_request_parts(parts: &mut Parts, _state: &S) -> Result<Self, Failure> {
        Ok(Self {
            caller: Caller {
                token: bearer_token(&parts.headers),
            },
            time_left: time_left(&parts.headers)?,
        })
    }
}

/// Returns the bearer token, or `None` without an `Authorization` header. A header in
/// another form yields an empty token, which matches no key.
fn bearer_token(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?;
    let text = value.to_str().unwrap_or_default();
    let (scheme, token) = text.split_once(' ').unwrap_or_default();
    let token = if scheme.eq_ignore_ascii_case(BEARER_SCHEME) {
        token.trim()
    } else {
        ""
    };
    Some(token.to_owned())
}

fn time_left(headers: &HeaderMap) -> Result<Milliseconds, Failure> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Milliseconds(DEFAULT_DEADLINE_MS));
    };
    let parsed = value.to_str().ok().and_then(|text| text.parse().ok());
    match parsed {
        Some(deadline) if (1..=MAX_DEADLINE_MS).contains(&deadline) => Ok(Milliseconds(deadline)),
        _ => {
            let message = format!("must be a whole number between 1 and {MAX_DEADLINE_MS}");
            Err(Failure::from(BodyError::new(DEADLINE_HEADER, message)))
        }
    }
}

/// Parses a name or number from the path. `place` names it in the error message.
pub fn parse_name<Name: FromStr<Err: Display>>(place: &str, text: &str) -> Result<Name, Failure> {
    text.parse()
        .map_err(|message| Failure::from(BodyError::new(place, message)))
}
