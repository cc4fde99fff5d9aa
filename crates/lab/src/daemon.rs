//! Hidden subcommand that runs a daemon inside the lab's executable.

use clap::Args;
use cypressdrum::{Arguments, Command, Exit};
use std::io::Read;

/// Name of the hidden subcommand on the command line.
pub const SUBCOMMAND: &str = "daemon";

/// Arguments of the `cypressdrum` program.
#[derive(Debug, Args)]
pub struct DaemonArguments {
    /// The daemon.
    #[command(subcommand)]
    pub command: Command,
}

/// Runs the daemon as the `cypressdrum` program would. The daemon exits when the
/// lab process exits.
pub fn run(arguments: DaemonArguments) -> Exit {
    std::thread::spawn(exit_when_lab_exits);
    cypressdrum::run(Arguments {
        command: arguments.command,
    })
}

fn exit_when_lab_exits() {
    let mut input = Vec::new();
    // End of file or an error: in both cases the lab has closed the pipe.
    let _ = std::io::stdin().read_to_end(&mut input);
    std::process::exit(i32::from(Exit::Unavailable.code()));
}
