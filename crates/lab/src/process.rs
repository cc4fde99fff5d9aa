//! One daemon as a child process, ended by its id when it is dropped.

use crate::LabError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// The program that runs daemons, and what goes before its arguments.
#[derive(Debug, Clone)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// First arguments.
    pub arguments: Vec<String>,
}

impl Program {
    /// The lab itself, with its hidden subcommand for daemons.
    pub fn lab(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            arguments: vec![crate::daemon::SUBCOMMAND.to_owned()],
        }
    }

    /// A built `cypressdrum` program; the path may be relative. Its daemons end with
    /// the trial, but not when the lab itself is killed by SIGKILL: that program
    /// does not watch its standard input.
    ///
    /// # Errors
    ///
    /// Fails if there is no such program.
    pub fn cypressdrum(path: &Path) -> Result<Self, LabError> {
        let path = path.canonicalize().map_err(LabError::file(path))?;
        Ok(Self {
            path,
            arguments: Vec::new(),
        })
    }

    /// The executable that is running now.
    ///
    /// # Errors
    ///
    /// Fails if the path of the running program is unknown.
    pub fn current() -> Result<Self, LabError> {
        let path = std::env::current_exe().map_err(LabError::file("the lab's executable"))?;
        Ok(Self::lab(path))
    }
}

/// A running child. Its standard input is a pipe held by the lab: when the lab
/// is gone, however it went, the child sees the pipe end and stops.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program; its logs are added to a file.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be opened or the program cannot be started.
    pub fn start(program: &Program, arguments: &[String], log: &Path) -> Result<Self, LabError> {
        let log_file = File::options()
            .create(true)
            .append(true)
            .open(log)
            .map_err(LabError::file(log))?;
        let child = Command::new(&program.path)
            .args(&program.arguments)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::null())
            .stderr(log_file)
            // A Ctrl-C at the terminal is the lab's to handle, not the child's.
            .process_group(0)
            .spawn()
            .map_err(|source| LabError::Spawn {
                program: program.path.clone(),
                source,
            })?;
        Ok(Self { child })
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be signalled.
    pub fn signal(&self, signal: Signal) -> Result<(), LabError> {
        let process = self.child.id();
        // Linux process ids are far below the largest i32.
        let pid = Pid::from_raw(process.cast_signed());
        kill(pid, signal).map_err(|source| LabError::Signal { process, source })
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it the hard way and waits until it is gone.
    pub fn kill(&mut self) {
        // Both fail only when it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
