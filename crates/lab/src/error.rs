//! What can go wrong with a trial itself.

use std::path::PathBuf;
use thiserror::Error;

/// What can go wrong with a trial itself, rather than with what it tries out.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file or folder of the trial.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A policy cannot be read.
    #[error("{path}: {message}", path = path.display())]
    Policy {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        message: String,
    },
    /// No free loopback address.
    #[error("no free loopback address: {0}")]
    Address(std::io::Error),
    /// A daemon cannot be started.
    #[error("cannot start {program}: {source}", program = program.display())]
    Spawn {
        /// The program.
        program: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A signal cannot be sent.
    #[error("cannot signal process {process}: {source}")]
    Signal {
        /// Its id.
        process: u32,
        /// Why.
        source: nix::Error,
    },
    /// A daemon is asked for that is not part of the fleet, or not running.
    #[error("{0} is not running")]
    NotRunning(String),
    /// Something did not come about in its time.
    #[error("gave up after {seconds} s waiting for {what}")]
    TimedOut {
        /// What was waited for.
        what: String,
        /// How long.
        seconds: u64,
    },
    /// A daemon ended by itself.
    #[error("{member} ended by itself ({status}); see {log}", log = log.display())]
    Ended {
        /// The daemon.
        member: String,
        /// How.
        status: String,
        /// Its log.
        log: PathBuf,
    },
    /// A command to the fleet failed.
    #[error(transparent)]
    Client(#[from] cypressdrum::client::ClientError),
    /// The HTTP client cannot start.
    #[error("cannot start the HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// An emulated runner cannot listen.
    #[error("cannot start runner {runner}: {message}")]
    Runner {
        /// The runner.
        runner: String,
        /// Why.
        message: String,
    },
    /// A fault plan cannot be read.
    #[error(transparent)]
    Plan(#[from] simulation::PlanError),
    /// A simulated fleet cannot be built.
    #[error("the fleet of the plan cannot be built: {0}")]
    Fleet(#[from] types::InvalidName),
    /// The result cannot be printed.
    #[error("the result cannot be printed: {0}")]
    Output(String),
    /// The history cannot be written.
    #[error(transparent)]
    History(#[from] checker::HistoryError),
}

impl LabError {
    /// An error of a file.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.into();
        move |source| Self::File { path, source }
    }
}
