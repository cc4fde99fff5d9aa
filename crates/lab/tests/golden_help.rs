//! The help of every command of the `lab` program, beside recorded text.
//!
//! Its arguments stand in the program alone, so that the program itself is asked.

mod golden;

use golden::assert_text;
use std::process::Command;

/// Begins the list of subcommands in a command's help.
const LIST: &str = "Commands:\n";
/// Stands before each entry of the list.
const INDENT: &str = "  ";
/// The subcommand that the parser adds by itself.
const ADDED_BY_THE_PARSER: &str = "help";
/// A subcommand that no help lists.
const HIDDEN: &str = "daemon";

/// What the program shows when it is called with these words and `--help`.
fn help_of(words: &[&str]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_lab"));
    // The values of these would be shown.
    program.env_remove("CYPRESSDRUM_GATEWAY");
    program.env_remove("CYPRESSDRUM_KEY_FILE");
    let output = program.args(words).arg("--help").output().unwrap();
    assert!(output.status.success(), "{words:?}: {output:?}");
    String::from_utf8(output.stdout).unwrap()
}

/// The subcommands that a help lists. What it says of one may go on in a line
/// that stands further in.
fn listed(help: &str) -> Vec<&str> {
    let Some((_, list)) = help.split_once(LIST) else {
        return Vec::new();
    };
    let lines = list.lines().take_while(|line| !line.is_empty());
    let entries = lines.filter_map(|line| line.strip_prefix(INDENT));
    let names = entries.filter_map(|entry| entry.split(' ').next());
    names
        .filter(|name| !name.is_empty() && *name != ADDED_BY_THE_PARSER)
        .collect()
}

/// What `--help` shows of a command and of every command below it.
fn help(words: &[&str]) -> String {
    let own = help_of(words);
    let mut text = format!(
        "=== lab {}\n{own}\n",
        [words, &["--help"]].concat().join(" ")
    );
    for name in listed(&own) {
        text += &help(&[words, &[name]].concat());
    }
    text
}

#[test]
fn the_help_of_every_command_is_the_recorded_one() {
    let text = help(&[]) + &help(&[HIDDEN]);
    assert_text("help.txt", &text);
}
