//! Compares the help of every command of the `lab` program with recorded text.
//!
//! The top-level commands are defined in the binary, not in the library, so the
//! test runs the binary.

mod golden;

use golden::assert_text;
use std::process::Command;

/// Heading of the list of subcommands in a command's help.
const LIST_HEADING: &str = "Commands:\n";
/// Indentation of the entries of the list.
const INDENT: &str = "  ";
/// Subcommand that clap adds to each list.
const CLAP_SUBCOMMAND: &str = "help";
/// Subcommand that is hidden from the lists.
const HIDDEN_SUBCOMMAND: &str = "daemon";

/// Returns the output of the program for these subcommands and `--help`.
fn run_help(subcommands: &[&str]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_lab"));
    // The help shows the values of these variables.
    program.env_remove("CYPRESSDRUM_GATEWAY");
    program.env_remove("CYPRESSDRUM_KEY_FILE");
    let output = program.args(subcommands).arg("--help").output().unwrap();
    assert!(output.status.success(), "{subcommands:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// Returns the subcommands listed in a help text. Continuation lines of a
/// description are indented further and are skipped.
fn listed_subcommands(help: &str) -> Vec<&str> {
    let Some((_, list)) = help.split_once(LIST_HEADING) else {
        return Vec::new();
    };
    let lines = list.lines().take_while(|line| !line.is_empty());
    let entries = lines.filter_map(|line| line.strip_prefix(INDENT));
    let names = entries.filter_map(|entry| entry.split(' ').next());
    names
        .filter(|name| !name.is_empty() && *name != CLAP_SUBCOMMAND)
        .collect()
}

/// Returns the help of a command, followed by that of all its subcommands.
fn help(subcommands: &[&str]) -> String {
    let own = run_help(subcommands);
    let mut text = format!(
        "=== lab {}\n{own}\n",
        [subcommands, &["--help"]].concat().join(" ")
    );
    for name in listed_subcommands(&own) {
        text += &help(&[subcommands, &[name]].concat());
    }
    text
}

#[test]
fn help_of_every_command_matches_recorded_text() {
    let text = help(&[]) + &help(&[HIDDEN_SUBCOMMAND]);
    assert_text("help.txt", &text);
}
