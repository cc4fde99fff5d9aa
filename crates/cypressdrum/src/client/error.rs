//! Why a command failed, and its exit code.

use crate::Exit;
use api::BodyError;
use api::refusal::{Code, RefusalBody};
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
    #[error("{url:?} is no URL of a gateway: {problem}")]
    Url {
        /// As given.
        url: String,
        /// Why.
        problem: String,
    },
    /// The final answer is a refusal.
    #[error("{}", describe(.0))]
    Refused(RefusalBody),
    /// No gateway gave a final answer.
    #[error("no gateway could answer:{}", lines(.0))]
    Unavailable(Vec<String>),
    /// An answer that this program does not know.
    #[error("{url} gave an answer that makes no sense: {problem}")]
    Answer {
        /// What was asked.
        url: String,
        /// Why.
        problem: String,
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
            Self::Refused(refusal) => refusal_exit(refusal.code),
            Self::Unavailable(_) => Exit::Unavailable,
            // Whoever reads the output has seen enough.
            Self::Output(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Done,
            Self::Answer { .. }
            | Self::Runtime(_)
            | Self::Http(_)
            | Self::Output(_)
            | Self::Toml(_) => Exit::Refused,
        }
    }
}

/// The exit code of a refusal: 3 where the same request may succeed later.
pub fn refusal_exit(code: Code) -> Exit {
    match code {
        Code::Invalid
        | Code::Unauthenticated
        | Code::Forbidden
        | Code::NotFound
        | Code::Conflict => Exit::Refused,
        Code::Overloaded | Code::Unavailable | Code::TimedOut => Exit::Unavailable,
    }
}

fn describe(refusal: &RefusalBody) -> String {
    let mut text = refusal.message.clone();
    if let Some(wait) = refusal.retry_after_ms {
        text.push_str(&format!(" (try again after {wait} ms)"));
    }
    for problem in &refusal.problems {
        text.push_str(&format!("\n  {}: {}", problem.place, problem.problem));
    }
    text
}

fn lines(problems: &[String]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
