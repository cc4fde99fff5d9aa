//! Problems of settings, with their places.

use std::fmt;
use thiserror::Error;

/// One thing wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{place}: {problem}")]
pub struct SettingsProblem {
    /// Where it stands: the file or flag, and the key, if it has one.
    pub place: String,
    /// What is wrong, in one sentence.
    pub problem: String,
}

/// Everything wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The problems in the order the keys were read; never empty.
    pub problems: Vec<SettingsProblem>,
}

impl SettingsError {
    /// An error with a single problem.
    pub fn single(place: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            problems: vec![SettingsProblem {
                place: place.into(),
                problem: problem.into(),
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
