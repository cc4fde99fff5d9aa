//! JSON between runners and their agent: heartbeats and orders.
//!
//! A runner posts [`HeartbeatBody`] to [`HEARTBEAT_ROUTE`] and is answered
//! with [`HeartbeatAnswerBody`]. The agent posts [`OrderBody`] to the
//! `orders_url` of the runner's last heartbeat and is answered with
//! [`OrderAnswerBody`]. Unknown fields are rejected, so that a misspelt one is
//! noticed at once.

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

/// Where runners post heartbeats; `runner` is the runner's name.
pub const HEARTBEAT_ROUTE: &str = "/v1/runners/{runner}/heartbeat";

/// Why a body is rejected.
#[derive(Debug, Error)]
pub enum RunnerBodyError {
    /// It is no JSON, or not of the shape asked for.
    #[error("the body does not have the expected form: {0}")]
    Form(#[from] serde_json::Error),
    /// A name breaks the rules for names.
    #[error("{field}: {message}")]
    Name {
        /// Name of the field.
        field: &'static str,
        /// What is wrong.
        message: InvalidName,
    },
    /// The URL for orders cannot be used.
    #[error("orders_url: {0}")]
    OrdersUrl(#[from] OrdersUrlError),
    /// A number or list is outside its bounds.
    #[error("{field}: {message}")]
    Bounds {
        /// Name of the field.
        field: &'static str,
        /// What is wrong.
        message: &'static str,
    },
    /// A field is missing that the rest of the body asks for, or the reverse.
    #[error("{field} must {must}")]
    Contradiction {
        /// The field.
        field: &'static str,
        /// What it must be.
        must: &'static str,
    },
}

/// Reads a body.
///
/// # Errors
///
/// Fails if the body is not the JSON expected.
pub fn read<T: DeserializeOwned>(body: &[u8]) -> Result<T, RunnerBodyError> {
    Ok(serde_json::from_slice(body)?)
}

/// Names the field in the error of a name.
fn in_field<T>(field: &'static str, name: Result<T, InvalidName>) -> Result<T, RunnerBodyError> {
    name.map_err(|message| RunnerBodyError::Name { field, message })
}
