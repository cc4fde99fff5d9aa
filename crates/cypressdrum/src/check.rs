//! The `check` command: checks a history against every guarantee of the
//! scheduler.

use crate::Exit;
use checker::{HistoryError, Limits, Observation, Report};
use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Error of reading a history.
#[derive(Debug, Error)]
pub enum CheckError {
    /// The file cannot be opened.
    #[error("{path}: {source}", path = path.display())]
    Open {
        /// Path as given on the command line.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The file is not a valid history.
    #[error("{path}: {source}", path = path.display())]
    History {
        /// Path as given on the command line.
        path: PathBuf,
        /// First invalid line.
        source: HistoryError,
    },
}

/// Reads a history of JSON lines.
///
/// # Errors
///
/// Fails if the file cannot be opened or read, or at its first invalid line.
pub fn read_file(path: &Path) -> Result<Vec<Observation>, CheckError> {
    let file = File::open(path).map_err(|source| CheckError::Open {
        path: path.to_owned(),
        source,
    })?;
    checker::read_history(BufReader::new(file)).map_err(|source| CheckError::History {
        path: path.to_owned(),
        source,
    })
}

/// Checks the history in a file and prints a summary and every violation.
pub fn run(path: &Path) -> Exit {
    let history = match read_file(path) {
        Ok(history) => history,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Usage;
        }
    };
    let report = checker::check(&history, &Limits::default());
    print!("{}", describe(&report));
    if report.violations.is_empty() {
        Exit::Done
    } else {
        Exit::PromiseBroken
    }
}

/// Returns the report as text: a summary line, then one line per violation.
pub fn describe(report: &Report) -> String {
    let mut text = format!(
        "{} jobs acknowledged, {} done, {} failed, {} cancelled, {} runs started\n",
        report.acknowledged_jobs,
        report.done_jobs,
        report.failed_jobs,
        report.cancelled_jobs,
        report.started_runs,
    );
    for violation in &report.violations {
        let line = format!(
            "broken at {}: {:?}: {}\n",
            violation.at, violation.kind, violation.detail
        );
        text.push_str(&line);
    }
    text.push_str(if report.violations.is_empty() {
        "no promise is broken\n"
    } else {
        ""
    });
    text
}
