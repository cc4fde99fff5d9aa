//! Parsing of command lines.

use clap::{CommandFactory, Parser};
use cypressdrum::Arguments;

fn parse(line: &str) -> Result<Arguments, clap::Error> {
    Arguments::try_parse_from(line.split_whitespace())
}

#[test]
fn command_definition_passes_clap_assertions() {
    Arguments::command().debug_assert();
}

#[test]
fn documented_commands_parse() {
    for line in [
        "cypressdrum coordinator --settings c.toml --check",
        "cypressdrum coordinator --settings c.toml --data /d --admin-listen 127.0.0.1:1",
        "cypressdrum gateway --settings g.toml --seeds 127.0.0.1:1,127.0.0.2:1,127.0.0.3:1",
        "cypressdrum agent --zone a --listen 127.0.0.1:1 --set timings.order_timeout_ms=500",
        "cypressdrum submit jobs.json --gateway http://127.0.0.1:1,http://127.0.0.2:1",
        "cypressdrum submit -",
        "cypressdrum status poster sheet-1 --output json",
        "cypressdrum jobs --tenant poster --state running --limit 5",
        "cypressdrum cancel poster sheet-1 sheet-2",
        "cypressdrum cancel poster --all --queue hover",
        "cypressdrum queue list --output json",
        "cypressdrum tenant list",
        "cypressdrum runner drain runner-1 --key-file operator.key",
        "cypressdrum runner lost runner-1",
        "cypressdrum config put cluster.toml --version 7",
        "cypressdrum config get --output json",
        "cypressdrum config diff -",
        "cypressdrum config status",
        "cypressdrum decisions --follow --after 12",
        "cypressdrum explain poster sheet-1",
        "cypressdrum members --timeout-ms 500",
        "cypressdrum check history.jsonl",
        "cypressdrum replay day.jsonl --seed 7 --output decisions.jsonl",
        "cypressdrum replay -",
        "cypressdrum key new editors --role caller --tenant editors",
        "cypressdrum completions bash",
    ] {
        if let Err(error) = parse(line) {
            panic!("{line}: {error}");
        }
    }
}

#[test]
fn ambiguous_or_unsafe_commands_are_rejected() {
    for line in [
        "cypressdrum cancel poster",
        "cypressdrum cancel poster sheet-1 --all",
        "cypressdrum cancel poster sheet-1 --queue hover",
        "cypressdrum jobs --state vanished",
        "cypressdrum status poster sheet/1",
        "cypressdrum gateway --cluster-key secret",
        "cypressdrum status poster sheet-1 --key secret",
    ] {
        assert!(parse(line).is_err(), "{line}");
    }
}

#[test]
fn help_lists_exit_codes() {
    let help = Arguments::command().render_help().to_string();
    for code in [
        "0  done",
        "1  refused",
        "2  the command",
        "3  unavail",
        "4  a promise",
    ] {
        assert!(help.contains(code), "{help}");
    }
}
