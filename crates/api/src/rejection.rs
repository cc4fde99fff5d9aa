//! JSON bodies: rejections, with their HTTP status and time to come back.

use configuration::ConfigurationError;
use serde::{Deserialize, Serialize};
use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// Kinds of rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request makes no sense.
    Invalid,
    /// No key, or one that is not known or revoked.
    Unauthenticated,
    /// The key's role may not do this.
    Forbidden,
    /// No such job, runner or queue.
    NotFound,
    /// Same key or version with other content.
    Conflict,
    /// A limit of the tenant, the queue or the gateway.
    Overloaded,
    /// No leader can be reached.
    Unavailable,
    /// The time ran out; it may or may not be taken.
    TimedOut,
}

impl Code {
    /// The HTTP status of an answer with this code.
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

/// The body of every answer that is not a success.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionBody {
    /// What kind.
    pub code: Code,
    /// One sentence for people.
    pub message: String,
    /// When to come back, where that can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Every problem of a rejected configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<DocumentErrorBody>,
}

/// One thing wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentErrorBody {
    /// Path in the document.
    #[serde(rename = "place")]
    pub path: String,
    /// What is wrong.
    #[serde(rename = "problem")]
    pub message: String,
}

impl RejectionBody {
    /// Value of the `Retry-After` header: whole seconds, rounded up.
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
                .map(|found| DocumentErrorBody {
                    path: found.path,
                    message: found.message,
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
                .map(|found| ConfigurationError {
                    path: found.path,
                    message: found.message,
                })
                .collect(),
        }
    }
}
