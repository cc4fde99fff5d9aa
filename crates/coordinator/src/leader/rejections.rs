//! Answers to requests: rejections and their codes, and the conversion from
//! the state machine's replies.

use configuration::ConfigurationError;
use state_machine::{CommandRejection, CommandReply};
use transport::{OperationReply, Rejection, RejectionCode};
use types::Milliseconds;

/// When to come back while there is no leader under its lease.
const RETRY_UNAVAILABLE: Milliseconds = Milliseconds(1_000);
/// When to come back while the leader has too much to do.
const RETRY_OVERLOADED: Milliseconds = Milliseconds(500);

/// Converts the state machine's reply to a command into the answer to the
/// request.
///
/// # Errors
///
/// Returns the rejection of a command that the state machine rejected.
pub(super) fn answer_from_reply(
    reply: CommandReply,
    declares_lost: bool,
) -> Result<OperationReply, Rejection> {
    match reply {
        CommandReply::Submitted { number, known } => {
            Ok(OperationReply::Submitted { number, known })
        }
        CommandReply::Cancelled {
            cancelled,
            finished,
            unknown,
        } => Ok(OperationReply::Cancelled {
            cancelled,
            finished,
            unknown,
        }),
        CommandReply::Configured { version, known } => {
            Ok(OperationReply::Configured { version, known })
        }
        CommandReply::Closed { runs } if declares_lost => Ok(OperationReply::RunsLost { runs }),
        CommandReply::Closed { .. } | CommandReply::Reserved { .. } | CommandReply::Accepted => {
            Ok(OperationReply::Accepted)
        }
        CommandReply::Rejected(rejection) => Err(rejection_from(rejection)),
    }
}

/// The rejection of a configuration with these problems; none if it has none.
pub(super) fn reject_problems(problems: Vec<ConfigurationError>) -> Option<Rejection> {
    let has_problems = !problems.is_empty();
    has_problems.then(|| rejection_from(CommandRejection::InvalidConfiguration { problems }))
}

/// Converts a rejection of the state machine into one of the interface to
/// callers.
pub(super) fn rejection_from(rejection: CommandRejection) -> Rejection {
    let message = rejection.to_string();
    let (code, retry_after, problems) = match rejection {
        CommandRejection::OtherContent { .. } | CommandRejection::VersionConflict { .. } => {
            (RejectionCode::Conflict, None, Vec::new())
        }
        CommandRejection::Full { retry_after, .. } => {
            (RejectionCode::Overloaded, Some(retry_after), Vec::new())
        }
        CommandRejection::InvalidConfiguration { problems } => {
            (RejectionCode::Invalid, None, problems)
        }
        CommandRejection::InvalidJob { .. }
        | CommandRejection::UnknownTenant { .. }
        | CommandRejection::UnknownQueue { .. }
        | CommandRejection::QueueDraining { .. } => (RejectionCode::Invalid, None, Vec::new()),
    };
    Rejection {
        code,
        message,
        retry_after,
        problems,
    }
}

/// The rejection by a leader that has too much to do.
pub(super) fn overloaded(message: &str) -> Rejection {
    Rejection {
        code: RejectionCode::Overloaded,
        message: message.to_owned(),
        retry_after: Some(RETRY_OVERLOADED),
        problems: Vec::new(),
    }
}

/// The rejection by a process that may not act as the leader now.
pub(super) fn unavailable() -> Rejection {
    Rejection {
        code: RejectionCode::Unavailable,
        message: "no leader holds its lease".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The answer to a request whose entry the next leader may or may not have: the
/// caller must retry and must not take it for a rejection.
pub(super) fn uncertain() -> Rejection {
    Rejection {
        code: RejectionCode::TimedOut,
        message: "the lease was lost before the answer: it may or may not be taken".to_owned(),
        retry_after: Some(RETRY_UNAVAILABLE),
        problems: Vec::new(),
    }
}

/// The rejection of a name that is not known.
pub(super) fn not_found(message: String) -> Rejection {
    Rejection {
        code: RejectionCode::NotFound,
        message,
        retry_after: None,
        problems: Vec::new(),
    }
}
