//! The `replay` command: feeds inputs from a file or stream to a coordinator in
//! virtual time.

use crate::Exit;
use ::replay::{ReplayError, run as replay_lines};
use clap::Args;
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// File name that selects standard input.
const STANDARD_INPUT: &str = "-";

/// What to replay.
#[derive(Debug, Args)]
pub struct ReplayArguments {
    /// Lines of input; `-` reads standard input.
    file: PathBuf,
    /// Seed of every draw: the same input and seed give the same output.
    #[arg(long, default_value_t = 0)]
    seed: u64,
    /// Write the output here instead of to standard output.
    #[arg(long, value_name = "FILE")]
    output: Option<PathBuf>,
}

/// Error that ended the command early.
#[derive(Debug, Error)]
enum CommandError {
    /// The input cannot be opened, or the output cannot be created.
    #[error("{path}: {source}", path = path.display())]
    Open { path: PathBuf, source: io::Error },
    /// An input line is invalid, or reading or writing failed.
    #[error("{path}: {source}", path = path.display())]
    Replay { path: PathBuf, source: ReplayError },
}

impl CommandError {
    /// Returns whether the reader of the output has closed the pipe, as `head`
    /// does.
    fn is_broken_pipe(&self) -> bool {
        let Self::Replay { source, .. } = self else {
            return false;
        };
        matches!(source, ReplayError::Write(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }
}

/// Replays the input and writes the coordinator's decisions. A closed output
/// pipe is a success.
pub fn run(arguments: &ReplayArguments) -> Exit {
    match replay(arguments) {
        Ok(()) => Exit::Done,
        Err(error) if error.is_broken_pipe() => Exit::Done,
        Err(error) => {
            eprintln!("{error}");
            Exit::Usage
        }
    }
}

fn replay(arguments: &ReplayArguments) -> Result<(), CommandError> {
    let path = &arguments.file;
    let input = open_input(path)?;
    let output = open_output(arguments.output.as_deref())?;
    match replay_lines(input, output, arguments.seed) {
        Ok(_) => Ok(()),
        Err(source) => Err(CommandError::Replay {
            path: path.clone(),
            source,
        }),
    }
}

fn open_input(path: &Path) -> Result<Box<dyn BufRead>, CommandError> {
    if path == Path::new(STANDARD_INPUT) {
        return Ok(Box::new(io::stdin().lock()));
    }
    let file = File::open(path).map_err(|source| open_error(path, source))?;
    Ok(Box::new(BufReader::new(file)))
}

fn open_output(path: Option<&Path>) -> Result<Box<dyn Write>, CommandError> {
    let Some(path) = path else {
        return Ok(Box::new(BufWriter::new(io::stdout().lock())));
    };
    let file = File::create(path).map_err(|source| open_error(path, source))?;
    Ok(Box::new(BufWriter::new(file)))
}

fn open_error(path: &Path, source: io::Error) -> CommandError {
    CommandError::Open {
        path: path.to_owned(),
        source,
    }
}
