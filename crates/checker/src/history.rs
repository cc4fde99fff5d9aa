//! Histories as JSON lines.

use crate::Observation;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// Why a history could not be read or written. Lines count from 1.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file could not be read.
    #[error("line {line} could not be read: {source}")]
    Read {
        /// The line.
        line: usize,
        /// The cause.
        source: io::Error,
    },
    /// A line is no event.
    #[error("line {line} is no event: {source}")]
    Line {
        /// The line.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A line is dated before the one above it.
    #[error("line {line} is dated before the line above it")]
    Order {
        /// The line.
        line: usize,
    },
    /// The file could not be written.
    #[error("the history could not be written: {0}")]
    Write(#[source] io::Error),
}

/// Reads one event from each line; empty lines are passed over.
///
/// # Errors
///
/// Names the first line that cannot be read or parsed.
pub fn read_history(reader: impl BufRead) -> Result<Vec<Observation>, HistoryError> {
    let mut history: Vec<Observation> = Vec::new();
    for (position, text) in reader.lines().enumerate() {
        let line = position + 1;
        let text = text.map_err(|source| HistoryError::Read { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let observation: Observation =
            serde_json::from_str(&text).map_err(|source| HistoryError::Line { line, source })?;
        if history.last().is_some_and(|last| last.at > observation.at) {
            return Err(HistoryError::Order { line });
        }
        history.push(observation);
    }
    Ok(history)
}

/// Writes one event to each line.
///
/// # Errors
///
/// Fails if the writer fails.
pub fn write_history(mut writer: impl Write, history: &[Observation]) -> Result<(), HistoryError> {
    for observation in history {
        let text = serde_json::to_string(observation)
            .map_err(|source| HistoryError::Write(io::Error::other(source)))?;
        writeln!(writer, "{text}").map_err(HistoryError::Write)?;
    }
    writer.flush().map_err(HistoryError::Write)
}
