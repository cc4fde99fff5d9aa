//! How a daemon logs.

use crate::reader::Reader;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Shape of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// Text for people.
    Plain,
}

/// The least severe lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need somebody.
    Error,
    /// Also what is odd.
    Warn,
    /// Also what changes.
    #[default]
    Info,
    /// Also each decision.
    Debug,
    /// Everything.
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

/// Table `log`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LogSettings {
    /// Shape of the lines. Default `json`.
    pub format: LogFormat,
    /// Least severe lines written; may change at runtime. Default `info`.
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
