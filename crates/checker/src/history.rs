//! Reads and writes histories as JSON lines.

use crate::Observation;
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// Error while reading or writing a history.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The reader failed, or a line is not UTF-8.
    #[error("line {line} could not be read: {source}")]
    Read {
        /// Number of the unreadable line, from 1.
        line: usize,
        /// Error of the reader.
        source: io::Error,
    },
    /// A line is not the JSON text of an observation.
    #[error("line {line} is not a valid event: {source}")]
    Malformed {
        /// Number of the malformed line, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// An observation is earlier than the previous one.
    #[error("line {line} has an earlier time than the previous event")]
    OutOfOrder {
        /// Number of the earlier observation's line, from 1.
        line: usize,
    },
    /// The writer failed, or an observation could not be serialized.
    #[error("the history could not be written: {0}")]
    Write(#[source] io::Error),
}

/// Reads one observation from each line and skips blank lines.
///
/// # Errors
///
/// Returns the number of the first line that cannot be read, is not an
/// observation, or is earlier than the observation before it.
pub fn read_history(reader: impl BufRead) -> Result<Vec<Observation>, HistoryError> {
    let mut history: Vec<Observation> = Vec::new();
    for (position, text) in reader.lines().enumerate() {
        let line = position + 1;
        let text = text.map_err(|source| HistoryError::Read { line, source })?;
        if text.trim().is_empty() {
            continue;
        }
        let observation: Observation = serde_json::from_str(&text)
            .map_err(|source| HistoryError::Malformed { line, source })?;
        if history.last().is_some_and(|last| last.at > observation.at) {
            return Err(HistoryError::OutOfOrder { line });
        }
        history.push(observation);
    }
    Ok(history)
}

/// Writes one observation per line and flushes the writer.
///
/// # Errors
///
/// Returns an error if an observation cannot be serialized or the writer fails.
pub fn write_history(mut writer: impl Write, history: &[Observation]) -> Result<(), HistoryError> {
    for observation in history {
        let text = serde_json::to_string(observation)
            .map_err(|source| HistoryError::Write(io::Error::other(source)))?;
        writeln!(writer, "{text}").map_err(HistoryError::Write)?;
    }
    writer.flush().map_err(HistoryError::Write)
}
