//! `check`: a history against every promise.

use crate::Exit;
use checker::{Limits, Observation, Report};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a history cannot be read.
#[derive(Debug, Error)]
pub enum HistoryError {
    /// The file cannot be read.
    #[error("{path}: {source}", path = path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A line is no observation.
    #[error("{path}:{line}: {source}", path = path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// Its line, from 1.
        line: usize,
        /// Why.
        source: serde_json::Error,
    },
}

/// Reads a history of JSON lines.
pub fn read_history(path: &Path) -> Result<Vec<Observation>, HistoryError> {
    let read = |source| HistoryError::Read {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(read)?;
    let mut history = Vec::new();
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(read)?;
        if line.trim().is_empty() {
            continue;
        }
        let observation = serde_json::from_str(&line).map_err(|source| HistoryError::Line {
            path: path.to_owned(),
            line: index + 1,
            source,
        })?;
        history.push(observation);
    }
    Ok(history)
}

/// Checks the history and prints what was found.
pub fn run(path: &Path) -> Exit {
    let history = match read_history(path) {
        Ok(history) => history,
        Err(error) => {
            eprintln!("{error}");
            return Exit::Usage;
        }
    };
    let report = checker::check(&history, &Limits::default());
    print!("{}", describe(&report));
    match report.violations.is_empty() {
        true => Exit::Done,
        false => Exit::PromiseBroken,
    }
}

/// The report for people.
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
    text.push_str(match report.violations.is_empty() {
        true => "no promise is broken\n",
        false => "",
    });
    text
}
