//! Answers to requests: rejections with their codes, and the conversion of
//! replies of the state machine.

use configuration::ConfigurationError;
use state_machine::{CommandRejection, CommandReply};
use transport::{OperationReply, Rejection, RejectionCode};
use types::Milliseconds;

/// Retry time for callers while no leader has a valid lease.
const UNAVAILABLE_RETRY_AFTER: Milliseconds = Milliseconds(1_000);
/// Retry time for callers while the leader is overloaded.
const OVERLOADED_RETRY_AFTER: Milliseconds = Milliseconds(500);

/// Converts the state machine's reply to a command into the answer to the
/// request. If the request `declares_lost` a runner, the answer lists the closed
/// runs.
///
/// # Errors
///
/// Returns a rejection if the state machine rejected the command.
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

/// Returns the rejection of an invalid configuration, or `None` if `problems` is
/// empty.
pub(super) fn reject_problems(problems: Vec<ConfigurationError>) -> Option<Rejection> {
    let has_problems = !problems.is_empty();
    has_problems.then(|| rejection_from(CommandRejection::InvalidConfiguration { problems }))
}

/// Converts a rejection of the state machine into the rejection sent to callers.
pub(super) fn rejection_from(rejection: CommandRejection) -> Rejection {
    let message = rejection.to_string();
    let (code, retry_after, problems) = match rejection {
        CommandRejection::OtherContent { .. } | CommandRejection::VersionConflict { .. } => {
            (RejectionCode::Conflict, None, Vec::new())
        }
        CommandRejection::Full { retry_after, .. } => {
            (RejectionCode::Overloaded, Some(retry_after), Vec::new())
        }
        CommandRejection::IdentifierInUse { .. } => (RejectionCode::Forbidden, None, Vec::new()),
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

/// Returns the rejection by an overloaded leader.
pub(super) fn overloaded(message: &str) -> Rejection {
    Rejection {
        code: RejectionCode::Overloaded,
        message: message.to_owned(),
        retry_after: Some(OVERLOADED_RETRY_AFTER),
        problems: Vec::new(),
    }
}

/// Returns the rejection by a process that has no valid leader lease.
pub(super) fn unavailable() -> Rejection {
    Rejection {
        code: RejectionCode::Unavailable,
        message: "no leader holds its lease".to_owned(),
        retry_after: Some(UNAVAILABLE_RETRY_AFTER),
        problems: Vec::new(),
    }
}

/// Returns the answer to a request whose entry the next leader may or may not
/// have. The caller must retry and must not treat the answer as a rejection.
pub(super) fn uncertain() -> Rejection {
    Rejection {
        code: RejectionCode::TimedOut,
        message: "the lease was lost before the answer: it may or may not be taken".to_owned(),
        retry_after: Some(UNAVAILABLE_RETRY_AFTER),
        problems: Vec::new(),
    }
}

/// Returns the rejection of a request for an unknown name.
pub(super) fn not_found(message: String) -> Rejection {
    Rejection {
        code: RejectionCode::NotFound,
        message,
        retry_after: None,
        problems: Vec::new(),
    }
}
