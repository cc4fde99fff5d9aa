//! Exit codes, the same for every command.

use std::process::ExitCode;

/// Shown below `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  refused, not found, or different (config diff)
  2  the command line, a settings file or an input file is wrong
  3  unavailable, overloaded or out of time: the same command may be sent again
  4  a promise is broken (check)";

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Exit {
    /// Done.
    Done,
    /// Rejected for good, not found, or different.
    Rejected,
    /// The command line, a settings file or an input file is wrong.
    Usage,
    /// Nobody could answer in time; asking again may help.
    Unavailable,
    /// The checker found a broken promise.
    PromiseBroken,
}

impl Exit {
    /// The number the shell sees.
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
