//! The rejections a gateway gives by itself.

use transport::{Rejection, RejectionCode};
use types::Milliseconds;

/// When to come back while no leader is known or this process stops.
pub const UNAVAILABLE_RETRY: Milliseconds = Milliseconds(500);
/// When to send the same again after no answer came in time.
pub const TIMED_OUT_RETRY: Milliseconds = Milliseconds(500);
/// Shortest time to come back when every place is taken.
pub const OVERLOADED_RETRY: Milliseconds = Milliseconds(500);

/// No leader can be reached.
pub fn unavailable(message: &str) -> Rejection {
    reject(RejectionCode::Unavailable, message, Some(UNAVAILABLE_RETRY))
}

/// The leader went away before it answered.
pub fn leader_lost() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "the leader was lost before it answered: it may or may not be taken, send the same again",
        Some(UNAVAILABLE_RETRY),
    )
}

/// A leader's rejection of a request that had been sent before: it speaks for
/// the last sending only, an earlier one may still be taken.
pub fn after_resend(rejection: Rejection) -> Rejection {
    let is_momentary = matches!(
        rejection.code,
        RejectionCode::Overloaded | RejectionCode::Unavailable
    );
    if !is_momentary {
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

/// The key went out of force while the request waited.
pub fn revoked() -> Rejection {
    unauthenticated("the key was revoked while the request waited: it may or may not be taken")
}

/// Every place that the asker may take is taken.
pub fn overloaded(message: &str, retry_after: Milliseconds) -> Rejection {
    reject(RejectionCode::Overloaded, message, Some(retry_after))
}

/// The caller's time ran out before the leader answered.
pub fn timed_out() -> Rejection {
    reject(
        RejectionCode::TimedOut,
        "no answer came in time: it may or may not be taken, send the same again",
        Some(TIMED_OUT_RETRY),
    )
}

/// No key, or none that is known.
pub fn unauthenticated(message: &str) -> Rejection {
    reject(RejectionCode::Unauthenticated, message, None)
}

/// The key may not do this.
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
