//! Reading of bodies: every error names the field it is about.

use peer::{Refusal, RefusalCode};
use serde::de::DeserializeOwned;
use thiserror::Error;

/// A body that cannot be taken, with the place of the fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {problem}")]
pub struct BodyError {
    /// Path of the field, such as `steps[0].tasks`; `body` for the whole.
    pub place: String,
    /// What is wrong, in one sentence.
    pub problem: String,
}

impl BodyError {
    /// A fault at a place.
    pub fn new(place: impl Into<String>, problem: impl ToString) -> Self {
        Self {
            place: place.into(),
            problem: problem.to_string(),
        }
    }

    fn from_path<E: ToString>(error: serde_path_to_error::Error<E>) -> Self {
        let path = error.path().to_string();
        let place = if path == "." { "body".into() } else { path };
        Self {
            place,
            problem: error.inner().to_string().trim_end().to_owned(),
        }
    }
}

impl From<BodyError> for Refusal {
    fn from(error: BodyError) -> Self {
        Self {
            code: RefusalCode::Invalid,
            message: error.to_string(),
            retry_after: None,
            problems: Vec::new(),
        }
    }
}

/// Reads a JSON body; nothing may follow it.
pub fn parse_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, BodyError> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let value =
        serde_path_to_error::deserialize(&mut deserializer).map_err(BodyError::from_path)?;
    deserializer
        .end()
        .map_err(|error| BodyError::new("body", error))?;
    Ok(value)
}

/// Reads a TOML document into the same bodies.
pub fn parse_toml<T: DeserializeOwned>(text: &str) -> Result<T, BodyError> {
    let deserializer =
        toml::Deserializer::parse(text).map_err(|error| BodyError::new("body", error))?;
    serde_path_to_error::deserialize(deserializer).map_err(BodyError::from_path)
}
