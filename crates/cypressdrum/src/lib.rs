//! The command line: daemons, operator and caller commands, toolbox.
//!
//! A library as well as a program, so that the lab can run the very daemons it
//! tries out.

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
