//! Rejections that a gateway creates without the leader.

use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// Retry time if no leader can be reached or the gateway is stopping.
pub const UNAVAILABLE_RETRY: Milliseconds = Milliseconds(500);
/// Retry time after a deadline passed without an answer.
pub const TIMED_OUT_RETRY: Milliseconds = Milliseconds(500);
/// Minimum retry time if too many requests are pending.
pub const OVERLOADED_RETRY: Milliseconds = Milliseconds(500);

/// Rejects a request that was not sent to a leader.
pub fn unavailable(message: &str) -> Rejection {
    reject(RejectionCode::Unavailable, message, Some(UNAVAILABLE_RETRY))
}

/// Rejects a request that was sent, but whose leader was lost before the answer.
pub fn leader_lost() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "the leader was lost before it answered: it may or may not be taken, send the same again",
        Some(UNAVAILABLE_RETRY),
    )
}

/// Converts the leader's rejection of a request that was sent more than once. A
/// temporary rejection applies to the last attempt only, and an earlier attempt may
/// still take effect, so the outcome is reported as unknown.
pub fn after_resend(rejection: Rejection) -> Rejection {
    let is_temporary = matches!(
        rejection.code,
        RejectionCode::Overloaded | RejectionCode::Unavailable
    );
    if !is_temporary {
        return rejection;
    }
    Rejection {
        code: RejectionCode::TimedOut,
        message: format!(
            "an earlier sending may or may not be taken, send the same again: {}",
            rejection.message
        ),
        ..rejection
    }
}

/// Rejects a request whose key was revoked while it was pending.
pub fn revoked() -> Rejection {
    unauthenticated("the key was revoked while the request waited: it may or may not be taken")
}

/// Rejects a request because too many are pending.
pub fn overloaded(message: &str, retry_after: Milliseconds) -> Rejection {
    reject(RejectionCode::Overloaded, message, Some(retry_after))
}

/// Rejects a request whose deadline has passed.
pub fn timed_out() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "no answer came in time: it may or may not be taken, send the same again",
        Some(TIMED_OUT_RETRY),
    )
}

/// Rejects a request without a known key.
pub fn unauthenticated(message: &str) -> Rejection {
    reject(RejectionCode::Unauthenticated, message, None)
}

/// Rejects a request that the key does not allow.
pub fn forbidden(message: &str) -> Rejection {
    reject(RejectionCode::Forbidden, message, None)
}

fn reject(code: RejectionCode, message: &str, retry_after: Option<Milliseconds>) -> Rejection {
    Rejection {
        code,
        message: message.to_owned(),
        retry_after,
        problems: Vec::new(),
    }
}
