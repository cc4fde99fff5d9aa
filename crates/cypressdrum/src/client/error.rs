//! Why a command failed, and its exit code.

use crate::Exit;
use api::BodyError;
use api::rejection::{Code, RejectionBody};
use std::io::ErrorKind;
use std::path::PathBuf;
use thiserror::Error;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ClientError {
    /// An input file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// An input file holds something else.
    #[error("{path}: {source}", path = path.display())]
    Input {
        /// The file.
        path: PathBuf,
        /// Why.
        source: BodyError,
    },
    /// A file with a token has none.
    #[error("{path} holds no token of the form <id>.<secret>", path = path.display())]
    Token {
        /// The file.
        path: PathBuf,
    },
    /// A gateway's URL makes no sense.
    #[error("{url:?} is no URL of a gateway: {reason}")]
    Url {
        /// As given.
        url: String,
        /// Why.
        reason: String,
    },
    /// The final answer is a rejection.
    #[error("{}", describe(.0))]
    Rejected(RejectionBody),
    /// No gateway gave a final answer.
    #[error("no gateway could answer:{}", lines(.0))]
    Unavailable(Vec<String>),
    /// An answer that this program does not know.
    #[error("{url} gave an answer that makes no sense: {reason}")]
    Answer {
        /// What was asked.
        url: String,
        /// Why.
        reason: String,
    },
    /// The HTTP client or the runtime cannot start.
    #[error("cannot start: {0}")]
    Runtime(std::io::Error),
    /// The HTTP client cannot start.
    #[error("cannot start: {0}")]
    Http(#[from] reqwest::Error),
    /// Standard output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
    /// A document cannot be written as TOML.
    #[error("cannot write TOML: {0}")]
    Toml(#[from] toml::ser::Error),
}

impl ClientError {
    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } | Self::Input { .. } | Self::Token { .. } | Self::Url { .. } => {
                Exit::Usage
            }
            Self::Rejected(rejection) => rejection_exit(rejection.code),
            Self::Unavailable(_) => Exit::Unavailable,
            // Whoever reads the output has seen enough.
            Self::Output(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Done,
            Self::Answer { .. }
            | Self::Runtime(_)
            | Self::Http(_)
            | Self::Output(_)
            | Self::Toml(_) => Exit::Rejected,
        }
    }
}

/// The exit code of a rejection: 3 where the same request may succeed later.
pub fn rejection_exit(code: Code) -> Exit {
    match code {
        Code::Invalid
        | Code::Unauthenticated
        | Code::Forbidden
        | Code::NotFound
        | Code::Conflict => Exit::Rejected,
        Code::Overloaded | Code::Unavailable | Code::TimedOut => Exit::Unavailable,
    }
}

fn describe(rejection: &RejectionBody) -> String {
    let mut text = rejection.message.clone();
    if let Some(wait) = rejection.retry_after_ms {
        text.push_str(&format!(" (try again after {wait} ms)"));
    }
    for problem in &rejection.problems {
        text.push_str(&format!("\n  {}: {}", problem.path, problem.message));
    }
    text
}

fn lines(problems: &[String]) -> String {
    problems
        .iter()
        .map(|reason| format!("\n  {reason}"))
        .collect()
}
