//! The hidden subcommand that makes the lab's executable a daemon.

use clap::Args;
use cypressdrum::{Arguments, Command, Exit};
use std::io::Read;

/// Name of the subcommand.
pub const SUBCOMMAND: &str = "daemon";

/// What the `cypressdrum` program would be called with.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// The daemon.
    #[command(subcommand)]
    pub command: Command,
}

/// Runs the daemon as the `cypressdrum` program would. When the lab is gone,
/// the daemon ends as well.
pub fn run(arguments: DaemonArguments) -> Exit {
    std::thread::spawn(end_with_the_lab);
    cypressdrum::run(Arguments {
        command: arguments.command,
    })
}

fn end_with_the_lab() {
    let mut rest = Vec::new();
    // Ends with the pipe's other end; an error says the same.
    let _ = std::io::stdin().read_to_end(&mut rest);
    std::process::exit(i32::from(Exit::Unavailable.code()));
}
