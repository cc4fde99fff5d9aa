//! JSON bodies of rejections, with HTTP status and `Retry-After`.

use configuration::ConfigurationError;
use serde::{Deserialize, Serialize};
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// Kind of a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is not valid.
    Invalid,
    /// The request has no key, or one that is unknown or revoked.
    Unauthenticated,
    /// The role of the key does not allow the operation.
    Forbidden,
    /// The job, runner or queue does not exist.
    NotFound,
    /// The job key or configuration version exists with other content.
    Conflict,
    /// A limit of the tenant, the queue or the gateway is reached. The same
    /// request may succeed later.
    Overloaded,
    /// No leader can be reached. The operation was not carried out.
    Unavailable,
    /// The deadline passed without a result. The operation may or may not have
    /// been carried out.
    TimedOut,
}

impl Code {
    /// Returns the HTTP status of a response with this code.
    pub fn status(self) -> u16 {
        match self {
            Self::Invalid => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::Overloaded => 429,
            Self::Unavailable => 503,
            Self::TimedOut => 504,
        }
    }
}

impl From<RejectionCode> for Code {
    fn from(code: RejectionCode) -> Self {
        match code {
            RejectionCode::Invalid => Self::Invalid,
            RejectionCode::Unauthenticated => Self::Unauthenticated,
            RejectionCode::Forbidden => Self::Forbidden,
            RejectionCode::NotFound => Self::NotFound,
            RejectionCode::Conflict => Self::Conflict,
            RejectionCode::Overloaded => Self::Overloaded,
            RejectionCode::Unavailable => Self::Unavailable,
            RejectionCode::TimedOut => Self::TimedOut,
        }
    }
}

impl From<Code> for RejectionCode {
    fn from(code: Code) -> Self {
        match code {
            Code::Invalid => Self::Invalid,
            Code::Unauthenticated => Self::Unauthenticated,
            Code::Forbidden => Self::Forbidden,
            Code::NotFound => Self::NotFound,
            Code::Conflict => Self::Conflict,
            Code::Overloaded => Self::Overloaded,
            Code::Unavailable => Self::Unavailable,
            Code::TimedOut => Self::TimedOut,
        }
    }
}

/// Body of every response that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionBody {
    /// Kind of the rejection.
    pub code: Code,
    /// Description of the rejection, for people.
    pub message: String,
    /// Time after which to retry, in milliseconds. Absent where a retry cannot
    /// help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// All problems of a rejected configuration. Absent for other requests.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<DocumentErrorBody>,
}

/// Problem of a configuration document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentErrorBody {
    /// Path in the document, such as `queues.hover.pool`.
    #[serde(rename = "place")]
    pub path: String,
    /// Description of the problem.
    #[serde(rename = "problem")]
    pub message: String,
}

impl RejectionBody {
    /// Returns the value of the `Retry-After` header: the time in seconds,
    /// rounded up. `None` if the response has no such header.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|wait| wait.div_ceil(1_000))
    }
}

impl From<Rejection> for RejectionBody {
    fn from(rejection: Rejection) -> Self {
        let problems = rejection.problems.into_iter();
        Self {
            code: rejection.code.into(),
            message: rejection.message,
            retry_after_ms: rejection.retry_after.map(|wait| wait.0),
            problems: problems
                .map(|problem| DocumentErrorBody {
                    path: problem.path,
                    message: problem.message,
                })
                .collect(),
        }
    }
}

impl From<RejectionBody> for Rejection {
    fn from(body: RejectionBody) -> Self {
        let problems = body.problems.into_iter();
        Self {
            code: body.code.into(),
            message: body.message,
            retry_after: body.retry_after_ms.map(Milliseconds),
            problems: problems
                .map(|problem| ConfigurationError {
                    path: problem.path,
                    message: problem.message,
                })
                .collect(),
        }
    }
}
