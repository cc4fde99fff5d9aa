//! Settings of the log of a daemon.

use crate::reader::Reader;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Plain text for people.
    Plain,
}

/// Minimum severity of the log lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Also unexpected conditions.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single decisions.
    Debug,
    /// All lines.
    Trace,
}

impl fmt::Display for LogLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        })
    }
}

/// Table `log`: format and minimum severity of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LogSettings {
    /// Format of the lines. Default `json`.
    pub format: LogFormat,
    /// Minimum severity of the lines written; may change at runtime. Default `info`.
    pub level: LogLevel,
}

impl LogSettings {
    pub(crate) fn read(reader: &mut Reader) -> Self {
        Self {
            format: reader.defaulted("log.format", LogFormat::default()),
            level: reader.defaulted("log.level", LogLevel::default()),
        }
    }
}
