//! JSON bodies between runners and their agent: heartbeats and orders.
//!
//! A runner posts [`HeartbeatBody`] to [`HEARTBEAT_ROUTE`]; the response is
//! [`HeartbeatAnswerBody`]. The agent posts [`OrderBody`] to the `orders_url` of
//! the runner's last heartbeat; the response is [`OrderAnswerBody`]. Unknown
//! fields are rejected, so that a misspelt one is detected at once.

mod heartbeat;
mod order;
mod orders_url;
mod run_text;

pub use heartbeat::{ActiveRunBody, EndedBody, HeartbeatAnswerBody, HeartbeatBody, OutcomeName};
pub use order::{AnswerName, OrderAnswerBody, OrderBody, OrderName, ReasonName, StartBody};
pub use orders_url::{OrdersUrl, OrdersUrlError};
pub use run_text::{RunText, RunTextError};

use serde::de::DeserializeOwned;
use thiserror::Error;
use types::InvalidName;

/// Path to which runners post heartbeats; `runner` is the runner's name.
pub const HEARTBEAT_ROUTE: &str = "/v1/runners/{runner}/heartbeat";

/// Error of a body that is rejected.
#[derive(Debug, Error)]
pub enum RunnerBodyError {
    /// The body is not JSON, or does not have the fields expected.
    #[error("the body does not have the expected form: {0}")]
    Form(#[from] serde_json::Error),
    /// A name is not valid.
    #[error("{field}: {message}")]
    Name {
        /// Name of the field.
        field: &'static str,
        /// Rule that the name breaks.
        message: InvalidName,
    },
    /// The URL for orders is not valid.
    #[error("orders_url: {0}")]
    OrdersUrl(#[from] OrdersUrlError),
    /// A number or list exceeds its bounds.
    #[error("{field}: {message}")]
    Bounds {
        /// Name of the field.
        field: &'static str,
        /// Bound that the value exceeds.
        message: &'static str,
    },
    /// A field is absent although the rest of the body requires it, or present
    /// although the rest excludes it.
    #[error("{field} must {must}")]
    Contradiction {
        /// Name of the field.
        field: &'static str,
        /// Requirement on the field, continuing "must".
        must: &'static str,
    },
}

/// Parses a body.
///
/// # Errors
///
/// Fails if the body is not JSON, or if a field is missing, unknown or of the
/// wrong type.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, RunnerBodyError> {
    Ok(serde_json::from_slice(body)?)
}

/// Adds the name of the field to the error of an invalid name.
fn with_field<T>(field: &'static str, name: Result<T, InvalidName>) -> Result<T, RunnerBodyError> {
    name.map_err(|message| RunnerBodyError::Name { field, message })
}
