//! The help of every command, and the exit codes, beside recorded text: a type
//! or field that gets another name in Rust leaves the command line as it is.

mod golden;

use clap::{Command, CommandFactory};
use cypressdrum::{Arguments, Exit};
use golden::assert_text;

/// The subcommand that the parser adds by itself.
const ADDED_BY_THE_PARSER: &str = "help";

/// The command without the values of its environment, which another machine
/// has not.
fn without_values(command: Command) -> Command {
    command
        .mut_args(|argument| argument.hide_env_values(true))
        .mut_subcommands(without_values)
}

/// What `--help` shows of a command and of every command below it.
fn help(command: &mut Command, names: &str) -> String {
    let mut text = format!("=== {names} --help\n{}\n", command.render_long_help());
    for below in command.get_subcommands_mut() {
        let name = below.get_name().to_owned();
        if name != ADDED_BY_THE_PARSER {
            text += &help(below, &format!("{names} {name}"));
        }
    }
    text
}

#[test]
fn the_help_of_every_command_is_the_recorded_one() {
    let mut command = without_values(Arguments::command());
    command.build();
    let name = command.get_name().to_owned();
    assert_text("help.txt", &help(&mut command, &name));
}

#[test]
fn every_end_has_its_recorded_exit_code() {
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
