//! Compares the help of every command with a golden file, and the exit codes with
//! recorded numbers. Guards against a renamed type or field that changes the
//! command line.

mod golden;

use clap::{Command, CommandFactory};
use cypressdrum::{Arguments, Exit};
use golden::assert_text;

/// Subcommand that clap adds to every command.
const HELP_SUBCOMMAND: &str = "help";

/// Hides the values of environment variables, which differ between machines.
fn without_env_values(command: Command) -> Command {
    command
        .mut_args(|argument| argument.hide_env_values(true))
        .mut_subcommands(without_env_values)
}

/// Returns the `--help` text of a command and of all its subcommands.
fn help(command: &mut Command, names: &str) -> String {
    let mut text = format!("=== {names} --help\n{}\n", command.render_long_help());
    for subcommand in command.get_subcommands_mut() {
        let name = subcommand.get_name().to_owned();
        if name != HELP_SUBCOMMAND {
            text += &help(subcommand, &format!("{names} {name}"));
        }
    }
    text
}

#[test]
fn help_of_every_command_matches_golden_file() {
    let mut command = without_env_values(Arguments::command());
    command.build();
    let name = command.get_name().to_owned();
    assert_text("help.txt", &help(&mut command, &name));
}

#[test]
fn every_exit_has_recorded_code() {
    let recorded = |exit: Exit| match exit {
        Exit::Done => 0,
        Exit::Rejected => 1,
        Exit::Usage => 2,
        Exit::Unavailable => 3,
        Exit::PromiseBroken => 4,
    };
    for exit in [
        Exit::Done,
        Exit::Rejected,
        Exit::Usage,
        Exit::Unavailable,
        Exit::PromiseBroken,
    ] {
        assert_eq!(exit.code(), recorded(exit), "{exit:?}");
    }
}
