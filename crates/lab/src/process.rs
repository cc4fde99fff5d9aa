//! Child process of a daemon, killed by its id on drop.

use crate::LabError;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Program that runs daemons, with the arguments that precede the daemon's own.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable.
    pub path: PathBuf,
    /// Arguments before those of the daemon.
    pub arguments: Vec<String>,
}

impl Program {
    /// Returns the lab's executable at this path, with its hidden subcommand for
    /// daemons.
    pub fn lab(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            arguments: vec![crate::daemon::SUBCOMMAND.to_owned()],
        }
    }

    /// Returns a built `cypressdrum` program; the path may be relative. Its daemons
    /// are killed when the trial ends, but they survive a SIGKILL of the lab: this
    /// program does not watch its standard input.
    ///
    /// # Errors
    ///
    /// Fails if the path does not exist.
    pub fn cypressdrum(path: &Path) -> Result<Self, LabError> {
        let path = path.canonicalize().map_err(LabError::file(path))?;
        Ok(Self {
            path,
            arguments: Vec::new(),
        })
    }

    /// Returns the executable of the current process, as [`Program::lab`].
    ///
    /// # Errors
    ///
    /// Fails if the path of the running program is unknown.
    pub fn current() -> Result<Self, LabError> {
        let path = std::env::current_exe().map_err(LabError::file("the lab's executable"))?;
        Ok(Self::lab(path))
    }
}

/// Running child process. Its standard input is a pipe held by the lab: when the
/// lab exits for any reason, the child reads end of file and exits.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts the program; its standard error is appended to a log file.
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
            // Ctrl-C at the terminal signals only the lab, which stops its children.
            .process_group(0)
            .spawn()
            .map_err(|source| LabError::Spawn {
                program: program.path.clone(),
                source,
            })?;
        Ok(Self { child })
    }

    /// Returns the process id.
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

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Sends SIGKILL and waits until the process has exited.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
