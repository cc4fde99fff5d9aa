//! Problems of settings, with their places.

use std::fmt;
use thiserror::Error;

/// One thing wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {message}")]
pub struct InvalidSetting {
    /// The file or flag it comes from, and the key, if it has one.
    pub location: String,
    /// What is wrong, in one sentence.
    pub message: String,
}

/// Everything wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The problems in the order the keys were read; never empty.
    pub problems: Vec<InvalidSetting>,
}

impl SettingsError {
    /// An error with a single problem.
    pub fn single(location: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            problems: vec![InvalidSetting {
                location: location.into(),
                message: message.into(),
            }],
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} problem(s) in the settings",
            self.problems.len()
        )?;
        for message in &self.problems {
            write!(formatter, "\n  {message}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
