//! A whole replay over a reader and a writer.

use crate::Replay;
use crate::input::{InputLine, LineError};
use crate::output::{EventLine, OutputLine, Summary};
use std::io::{self, BufRead, Read, Write};
use thiserror::Error;

/// Maximum length of a line: a body of the interface and its envelope.
const MAX_LINE_BYTES: u64 = 5 * 1024 * 1024;

/// Why a replay ended early.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// A line cannot be taken; neither it nor any after it is applied.
    #[error("line {line}: {problem}")]
    Line {
        /// Its number, from 1.
        line: u64,
        /// What is wrong.
        problem: LineError,
    },
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Read(io::Error),
    /// The output cannot be written.
    #[error("cannot write the output: {0}")]
    Write(io::Error),
}

/// Replays the input line by line: what a line leads to is written and flushed
/// before the next is read, so that a program may drive it as a stream.
///
/// # Errors
///
/// Names the line that cannot be applied, or fails if reading or writing fails.
pub fn run(
    mut input: impl BufRead,
    mut output: impl Write,
    seed: u64,
) -> Result<Summary, ReplayError> {
    let mut replay = Replay::new(seed);
    let mut number = 0;
    loop {
        number += 1;
        let wrong = |problem| ReplayError::Line {
            line: number,
            problem,
        };
        let Some(bytes) = read_line(&mut input)? else {
            break;
        };
        if count(&bytes) > MAX_LINE_BYTES {
            let max = MAX_LINE_BYTES;
            return Err(wrong(LineError::TooLong { max }));
        }
        let line = InputLine::parse(&bytes).map_err(wrong)?;
        let mut lines = Vec::new();
        replay.apply(line, &mut lines).map_err(wrong)?;
        write_lines(&mut output, &lines)?;
    }
    let summary = replay.finish();
    write_lines(&mut output, &[EventLine::Summary(summary).into()])?;
    Ok(summary)
}

/// The next line without its end; none at the end of the input.
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

fn count(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
