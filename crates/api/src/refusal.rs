//! JSON bodies: refusals, with their HTTP status and time to come back.

use configuration::ConfigurationProblem;
use peer::{Refusal, RefusalCode};
use serde::{Deserialize, Serialize};
use types::Milliseconds;

/// Kinds of refusal.
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

impl From<RefusalCode> for Code {
    fn from(code: RefusalCode) -> Self {
        match code {
            RefusalCode::Invalid => Self::Invalid,
            RefusalCode::Unauthenticated => Self::Unauthenticated,
            RefusalCode::Forbidden => Self::Forbidden,
            RefusalCode::NotFound => Self::NotFound,
            RefusalCode::Conflict => Self::Conflict,
            RefusalCode::Overloaded => Self::Overloaded,
            RefusalCode::Unavailable => Self::Unavailable,
            RefusalCode::TimedOut => Self::TimedOut,
        }
    }
}

impl From<Code> for RefusalCode {
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
pub struct RefusalBody {
    /// What kind.
    pub code: Code,
    /// One sentence for people.
    pub message: String,
    /// When to come back, where that can help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Every problem of a refused configuration.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub problems: Vec<ProblemBody>,
}

/// One thing wrong with a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemBody {
    /// Path in the document.
    pub place: String,
    /// What is wrong.
    pub problem: String,
}

impl RefusalBody {
    /// Value of the `Retry-After` header: whole seconds, rounded up.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|wait| wait.div_ceil(1_000))
    }
}

impl From<Refusal> for RefusalBody {
    fn from(refusal: Refusal) -> Self {
        let problems = refusal.problems.into_iter();
        Self {
            code: refusal.code.into(),
            message: refusal.message,
            retry_after_ms: refusal.retry_after.map(|wait| wait.0),
            problems: problems
                .map(|found| ProblemBody {
                    place: found.place,
                    problem: found.problem,
                })
                .collect(),
        }
    }
}

impl From<RefusalBody> for Refusal {
    fn from(body: RefusalBody) -> Self {
        let problems = body.problems.into_iter();
        Self {
            code: body.code.into(),
            message: body.message,
            retry_after: body.retry_after_ms.map(Milliseconds),
            problems: problems
                .map(|found| ConfigurationProblem {
                    place: found.place,
                    problem: found.problem,
                })
                .collect(),
        }
    }
}
