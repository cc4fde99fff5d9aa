//! Errors of the lab itself.

use std::path::PathBuf;
use thiserror::Error;

/// Failure to set up or run a trial. Violations by the tested fleet are reported
/// separately, by the checker.
#[derive(Debug, Error)]
pub enum LabError {
    /// A file operation failed.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file or folder; a description where there is no path.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A policy cannot be read.
    #[error("{path}: {message}", path = path.display())]
    Policy {
        /// Path of the settings file.
        path: PathBuf,
        /// Message of the TOML parser.
        message: String,
    },
    /// No free loopback address.
    #[error("no free loopback address: {0}")]
    Address(std::io::Error),
    /// The process of a daemon cannot be started.
    #[error("cannot start {program}: {source}", program = program.display())]
    Spawn {
        /// Path of the executable.
        program: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A signal cannot be sent.
    #[error("cannot signal process {process}: {source}")]
    Signal {
        /// Process id.
        process: u32,
        /// Error of the system call.
        source: nix::Error,
    },
    /// The daemon is not part of the fleet, or has no process.
    #[error("{0} is not running")]
    NotRunning(String),
    /// A condition was not met before its timeout.
    #[error("timed out after {seconds} s waiting for {what}")]
    TimedOut {
        /// Awaited condition, as in "coordinator-1 to be ready".
        what: String,
        /// Timeout in seconds.
        seconds: u64,
    },
    /// A daemon exited although the lab did not stop it.
    #[error("{member} exited unexpectedly ({status}); see {log}", log = log.display())]
    Ended {
        /// Id of the daemon, such as `gateway-2`.
        member: String,
        /// Exit status of the process.
        status: String,
        /// Path of the daemon's log file.
        log: PathBuf,
    },
    /// A command to the fleet failed.
    #[error(transparent)]
    Client(#[from] cypressdrum::client::ClientError),
    /// The HTTP client cannot be built.
    #[error("cannot start the HTTP client: {0}")]
    Http(#[from] reqwest::Error),
    /// An emulated runner cannot be started.
    #[error("cannot start runner {runner}: {message}")]
    Runner {
        /// Name of the runner.
        runner: String,
        /// Reason as text.
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
    /// Returns a function that wraps an I/O error with the path that it concerns.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(std::io::Error) -> Self {
        let path = path.into();
        move |source| Self::File { path, source }
    }
}
