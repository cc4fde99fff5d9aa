//! Replay of a whole input from a reader to a writer.

use crate::Replay;
use crate::input::{InputLine, LineError};
use crate::output::{EventLine, OutputLine, Summary};
use std::io::{self, BufRead, Read, Write};
use thiserror::Error;

/// Maximum length of a line. It leaves room for the largest body of the HTTP
/// interface and the fields around it.
const MAX_LINE_BYTES: u64 = 5 * 1024 * 1024;

/// Error that ends a replay early.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line cannot be applied. Neither it nor any later line is.
    #[error("line {line}: {problem}")]
    Line {
        /// Number of the line, from 1.
        line: u64,
        /// Reason that the line cannot be applied.
        problem: LineError,
    },
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Read(io::Error),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(io::Error),
}

/// Replays the input line by line. The output of each line is written and flushed
/// before the next line is read, so that a program can drive the replay as a
/// stream.
///
/// # Errors
///
/// Fails if a line cannot be applied, and names its number, or if reading or
/// writing fails.
pub fn run(
    mut input: impl BufRead,
    mut output: impl Write,
    seed: u64,
) -> Result<Summary, ReplayError> {
    let mut replay = Replay::new(seed);
    let mut number = 0;
    loop {
        number += 1;
        let line_error = |problem| ReplayError::Line {
            line: number,
            problem,
        };
        let Some(bytes) = read_line(&mut input)? else {
            break;
        };
        if byte_count(&bytes) > MAX_LINE_BYTES {
            let max = MAX_LINE_BYTES;
            return Err(line_error(LineError::TooLong { max }));
        }
        let line = InputLine::parse(&bytes).map_err(line_error)?;
        let mut lines = Vec::new();
        replay.apply(line, &mut lines).map_err(line_error)?;
        write_lines(&mut output, &lines)?;
    }
    let summary = replay.finish();
    write_lines(&mut output, &[EventLine::Summary(summary).into()])?;
    Ok(summary)
}

/// Reads the next line without its line break, and at most one byte more than
/// [`MAX_LINE_BYTES`]. Returns `None` at the end of the input.
fn read_line(input: &mut impl BufRead) -> Result<Option<Vec<u8>>, ReplayError> {
    let mut bytes = Vec::new();
    let mut bounded = input.by_ref().take(MAX_LINE_BYTES + 1);
    let read = bounded
        .read_until(b'\n', &mut bytes)
        .map_err(ReplayError::Read)?;
    if read == 0 {
        return Ok(None);
    }
    if bytes.last() == Some(&b'\n') {
        bytes.pop();
    }
    Ok(Some(bytes))
}

fn write_lines(output: &mut impl Write, lines: &[OutputLine]) -> Result<(), ReplayError> {
    for line in lines {
        let text = serde_json::to_string(line).map_err(|error| ReplayError::Write(error.into()))?;
        writeln!(output, "{text}").map_err(ReplayError::Write)?;
    }
    output.flush().map_err(ReplayError::Write)
}

fn byte_count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
