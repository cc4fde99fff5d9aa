//! Errors of settings, with their locations.

use std::fmt;
use thiserror::Error;

/// Problem of one setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{location}: {message}")]
pub struct InvalidSetting {
    /// File or flag that the setting comes from, followed by the key, if it has one.
    pub location: String,
    /// Description of the problem in one sentence.
    pub message: String,
}

/// All problems of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Problems in the order in which the keys were read; never empty.
    pub problems: Vec<InvalidSetting>,
}

impl SettingsError {
    /// Creates an error with a single problem.
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
        for problem in &self.problems {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
