//! HTTP responses to rejected requests.

use api::BodyError;
use api::rejection::RejectionBody;
use axum::Json;
use axum::extract::rejection::BytesRejection;
use axum::http::{HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// `WWW-Authenticate` challenge in the response to a request without a known key.
const BEARER: HeaderValue = HeaderValue::from_static("Bearer");

/// Retry time for a temporary rejection without one.
const DEFAULT_RETRY_AFTER: Milliseconds = Milliseconds(500);

/// HTTP response to a rejected request.
#[derive(Debug)]
pub struct Failure {
    status: StatusCode,
    body: RejectionBody,
}

impl Failure {
    /// Creates a response with this status instead of the one of the rejection's code.
    pub fn with_status(status: StatusCode, rejection: Rejection) -> Self {
        Self {
            status,
            body: rejection.into(),
        }
    }

    /// Returns the body of the response.
    pub fn body(&self) -> &RejectionBody {
        &self.body
    }
}

impl From<Rejection> for Failure {
    fn from(mut rejection: Rejection) -> Self {
        if may_succeed_later(rejection.code) {
            rejection.retry_after.get_or_insert(DEFAULT_RETRY_AFTER);
        }
        let body = RejectionBody::from(rejection);
        let status = StatusCode::from_u16(body.code.status());
        Self {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            body,
        }
    }
}

impl From<BodyError> for Failure {
    fn from(error: BodyError) -> Self {
        Self::from(Rejection::from(error))
    }
}

impl From<BytesRejection> for Failure {
    fn from(rejection: BytesRejection) -> Self {
        let answer = reject(RejectionCode::Invalid, &rejection.body_text());
        Self::with_status(rejection.status(), answer)
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

fn may_succeed_later(code: RejectionCode) -> bool {
    matches!(
        code,
        RejectionCode::Overloaded | RejectionCode::Unavailable | RejectionCode::TimedOut
    )
}

/// Creates a rejection that has only a code and a message.
pub fn reject(code: RejectionCode, message: &str) -> Rejection {
    Rejection {
        code,
        message: message.to_owned(),
        retry_after: None,
        problems: Vec::new(),
    }
}

/// Creates the response for a reply of the leader that does not belong to the
/// requested operation. This occurs only between daemons of different versions.
pub fn unexpected() -> Failure {
    let message = "the leader's answer does not fit the request";
    Failure::with_status(
        StatusCode::BAD_GATEWAY,
        reject(RejectionCode::Unavailable, message),
    )
}
