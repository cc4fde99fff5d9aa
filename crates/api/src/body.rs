//! Parsing of bodies, with errors that name the field concerned.

use serde::de::DeserializeOwned;
use thiserror::Error;
use transport::{Rejection, RejectionCode};

/// Error of a body that cannot be parsed or converted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{path}: {message}")]
pub struct BodyError {
    /// Path of the invalid field, such as `steps[0].tasks`, or `body` for the
    /// whole body.
    pub path: String,
    /// Description of the error, without the path.
    pub message: String,
}

impl BodyError {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, message: impl ToString) -> Self {
        Self {
            path: path.into(),
            message: message.to_string(),
        }
    }

    fn from_path<E: ToString>(error: serde_path_to_error::Error<E>) -> Self {
        let path = error.path().to_string();
        let path = if path == "." { "body".into() } else { path };
        Self {
            path,
            message: error.inner().to_string().trim_end().to_owned(),
        }
    }
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        Self {
            code: RejectionCode::Invalid,
            message: error.to_string(),
            retry_after: None,
            problems: Vec::new(),
        }
    }
}

/// Parses a JSON body.
///
/// # Errors
///
/// Fails if a field is missing, unknown or of the wrong type, or if other
/// characters than whitespace follow the body.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(BodyError::from_path)?;
    deserializer
        .end()
        .map_err(|error| BodyError::new("body", error))?;
    Ok(value)
}

/// Parses a TOML document into a body.
///
/// # Errors
///
/// Fails if a field is missing, unknown or of the wrong type.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, BodyError> {
    let deserializer =
        toml::Deserializer::parse(text).map_err(|error| BodyError::new("body", error))?;
    serde_path_to_error::deserialize(deserializer).map_err(BodyError::from_path)
}
