//! Answers: bodies, status codes and `Retry-After`.

use api::BodyError;
use api::refusal::RefusalBody;
use axum::Json;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use peer::{Refusal, RefusalCode};
use types::Milliseconds;

/// Challenge of an answer to a request without a known key.
const BEARER: HeaderValue = HeaderValue::from_static("Bearer");

/// When to come back if whoever refused did not say.
const DEFAULT_RETRY_AFTER: Milliseconds = Milliseconds(500);

/// An answer that is not a success.
#[derive(Debug)]
pub struct Failure {
    status: StatusCode,
    body: RefusalBody,
}

impl Failure {
    /// A refusal under another status than its code's own.
    pub fn with_status(status: StatusCode, refusal: Refusal) -> Self {
        Self {
            status,
            body: refusal.into(),
        }
    }

    /// The refusal as it is shown.
    pub fn body(&self) -> &RefusalBody {
        &self.body
    }
}

impl From<Refusal> for Failure {
    fn from(mut refusal: Refusal) -> Self {
        if may_succeed_later(refusal.code) {
            refusal.retry_after.get_or_insert(DEFAULT_RETRY_AFTER);
        }
        let body = RefusalBody::from(refusal);
        let status = StatusCode::from_u16(body.code.status());
        Self {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            body,
        }
    }
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        Self::from(Refusal::from(error))
    }
}

impl From<BytesRejection> for Failure {
    fn from(rejection: BytesRejection) -> Self {
        let refusal = refuse(RefusalCode::Invalid, &rejection.body_text());
        Self::with_status(rejection.status(), refusal)
    }
}

impl IntoResponse for Failure {
    fn into_response(self) -> Response {
        let retry_after = self.body.retry_after_seconds();
        let mut response = (self.status, Json(self.body)).into_response();
        let headers = response.headers_mut();
        if let Some(seconds) = retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, BEARER);
        }
        response
    }
}

fn may_succeed_later(code: RefusalCode) -> bool {
    matches!(
        code,
        RefusalCode::Overloaded | RefusalCode::Unavailable | RefusalCode::TimedOut
    )
}

/// A refusal with nothing but a message.
pub fn refuse(code: RefusalCode, message: &str) -> Refusal {
    Refusal {
        code,
        message: message.to_owned(),
        retry_after: None,
        problems: Vec::new(),
    }
}

/// The leader's answer does not fit the request. Only members of different
/// versions could come to this.
pub fn unexpected() -> Failure {
    let message = "the leader's answer does not fit the request";
    Failure::with_status(
        StatusCode::BAD_GATEWAY,
        refuse(RefusalCode::Unavailable, message),
    )
}
