//! Errors of client commands and their exit codes.

use crate::Exit;
use api::BodyError;
use api::rejection::{Code, RejectionBody};
use std::io::ErrorKind;
use std::path::PathBuf;
use thiserror::Error;

/// Error of a client command.
#[derive(Debug, Error)]
pub enum ClientError {
    /// An input file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// Path as given on the command line.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// An input file does not hold a valid document.
    #[error("{path}: {source}", path = path.display())]
    Input {
        /// Path as given on the command line.
        path: PathBuf,
        /// First invalid value, with its path in the document.
        source: BodyError,
    },
    /// The key file does not hold a token.
    #[error("{path} contains no token of the form <id>.<secret>", path = path.display())]
    Token {
        /// Path given by `--key-file`.
        path: PathBuf,
    },
    /// A gateway URL is malformed, or its scheme is not `http`.
    #[error("{url:?} is not a valid gateway URL: {reason}")]
    Url {
        /// URL as given by `--gateway`.
        url: String,
        /// Reason why the URL is invalid.
        reason: String,
    },
    /// A gateway rejected the request, and another gateway would do the same.
    #[error("{}", describe(.0))]
    Rejected(RejectionBody),
    /// No gateway served the request; holds one reason per gateway.
    #[error("no gateway could serve the request:{}", lines(.0))]
    Unavailable(Vec<String>),
    /// A gateway's response has an unexpected status or body.
    #[error("{url} sent an invalid response: {reason}")]
    Answer {
        /// URL of the request or of the gateway.
        url: String,
        /// Status of the response, or the parse error of its body.
        reason: String,
    },
    /// The async runtime cannot be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(std::io::Error),
    /// The HTTP client cannot be built.
    #[error("cannot build the HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// Standard output cannot be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] std::io::Error),
    /// A document cannot be written as TOML.
    #[error("cannot write TOML: {0}")]
    Toml(#[from] toml::ser::Error),
}

impl ClientError {
    /// Returns the exit code of a command that fails with this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } | Self::Input { .. } | Self::Token { .. } | Self::Url { .. } => {
                Exit::Usage
            }
            Self::Rejected(rejection) => rejection_exit(rejection.code),
            Self::Unavailable(_) => Exit::Unavailable,
            // The reader closed the pipe, as `head` does: not a failure.
            Self::Output(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Done,
            Self::Answer { .. }
            | Self::Runtime(_)
            | Self::Http(_)
            | Self::Output(_)
            | Self::Toml(_) => Exit::Rejected,
        }
    }
}

/// Returns the exit code of a rejection: 3 if the same request may succeed
/// later, else 1.
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
