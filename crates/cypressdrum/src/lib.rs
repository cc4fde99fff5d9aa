//! The command line: daemons, commands of callers and operators, and tools.
//!
//! This is a library as well as a program, so that the lab can run the same
//! daemons that are deployed.

pub mod check;
pub mod cli;
pub mod client;
pub mod daemon;
pub mod exit;
pub mod key;
pub mod output;
pub mod replay;

pub use cli::{Arguments, Command, run};
pub use exit::Exit;
