//! Top-level subcommands and their dispatch.

use crate::client::{self, ClientArguments};
use crate::daemon::{self, AgentFlags, CoordinatorFlags, GatewayFlags};
use crate::replay::ReplayArguments;
use crate::{Exit, check, exit, key, replay};
use clap::{CommandFactory, Parser, Subcommand};
use std::path::PathBuf;

/// A scheduler for jobs over pools of runners.
#[derive(Debug, Parser)]
#[command(name = "cypressdrum", version, after_help = exit::HELP)]
pub struct Arguments {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a coordinator: keeps the record; its leader decides placements.
    Coordinator(CoordinatorFlags),
    /// Run a gateway: serves callers and operators over HTTP.
    Gateway(GatewayFlags),
    /// Run an agent: carries heartbeats and orders of the runner beside it.
    Agent(AgentFlags),
    /// Ask a running cluster, through a gateway.
    #[command(flatten)]
    Client(ClientArguments),
    /// Check a history of JSON lines against every promise.
    Check {
        /// The history.
        file: PathBuf,
    },
    /// Drive a coordinator through a stream of inputs in virtual time.
    Replay(ReplayArguments),
    /// Make bearer keys.
    Key {
        /// What to do.
        #[command(subcommand)]
        command: key::KeyCommand,
    },
    /// Print the completions of a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Runs one command and returns its exit code.
pub fn run(arguments: Arguments) -> Exit {
    match arguments.command {
        Command::Coordinator(flags) => daemon::run(&flags),
        Command::Gateway(flags) => daemon::run(&flags),
        Command::Agent(flags) => daemon::run(&flags),
        Command::Client(arguments) => client::run(arguments),
        Command::Check { file } => check::run(&file),
        Command::Replay(arguments) => replay::run(&arguments),
        Command::Key { command } => key::run(command),
        Command::Completions { shell } => print_completions(shell),
    }
}

fn print_completions(shell: clap_complete::Shell) -> Exit {
    let mut command = Arguments::command();
    let name = command.get_name().to_owned();
    clap_complete::generate(shell, &mut command, name, &mut std::io::stdout());
    Exit::Done
}
