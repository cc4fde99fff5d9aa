//! The `lab` program.

use clap::{Parser, Subcommand};
use lab::capacity::{self, CapacityArguments};
use lab::daemon::{self, DaemonArguments};
use lab::demo::{self, DemoArguments};
use lab::losses::{self, LossesArguments};
use lab::rolling_change::{self, RollingChangeArguments};
use lab::scenario::{self, ScenarioArguments};
use lab::simulate::{self, SimulateArguments};
use std::process::ExitCode;

/// Trials of cypressdrum on one machine.
#[derive(Debug, Parser)]
#[command(name = "lab", version, after_help = cypressdrum::exit::HELP)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Run a fleet of today's size under load, and kill its leader once.
    Demo(DemoArguments),
    /// Measure what a fleet costs, with hollow workers.
    Capacity(CapacityArguments),
    /// Run a fleet of today's size under load while parts of it fail.
    Trial(ScenarioArguments),
    /// Replace one program by another in a fleet under load, daemon by daemon, and
    /// go back.
    RollingChange(RollingChangeArguments),
    /// Run whole fleets in one process under random or given faults.
    Simulate(SimulateArguments),
    /// Account for what jobs lose, under one policy or two side by side.
    Losses(LossesArguments),
    /// Run one daemon; the lab starts its own children with it.
    #[command(hide = true)]
    Daemon(DaemonArguments),
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Demo(arguments) => demo::run(arguments).into(),
        Command::Capacity(arguments) => capacity::run(arguments).into(),
        Command::Trial(arguments) => scenario::run(arguments).into(),
        Command::RollingChange(arguments) => rolling_change::run(arguments).into(),
        Command::Simulate(arguments) => simulate::run(arguments).into(),
        Command::Losses(arguments) => losses::run(arguments).into(),
        Command::Daemon(arguments) => daemon::run(arguments).into(),
    }
}
