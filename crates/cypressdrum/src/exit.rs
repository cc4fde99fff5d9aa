//! Exit codes, the same for every command.

use std::process::ExitCode;

/// Table of the exit codes, shown at the end of `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  refused, not found, or different (config diff)
  2  the command line, a settings file or an input file is wrong
  3  unavailable, overloaded or out of time: the same command may be sent again
  4  a promise is broken (check)";

/// Result of a command, as the exit code that it maps to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// The command succeeded.
    Done,
    /// The request was rejected and a retry cannot succeed, the named item does
    /// not exist, or `config diff` printed differences.
    Rejected,
    /// The command line, a settings file or an input file is wrong.
    Usage,
    /// No gateway could serve the request in time; a retry may succeed.
    Unavailable,
    /// The history given to `check` violates a guarantee.
    PromiseBroken,
}

impl Exit {
    /// Returns the exit code of the process, 0 to 4.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Rejected => 1,
            Self::Usage => 2,
            Self::Unavailable => 3,
            Self::PromiseBroken => 4,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
