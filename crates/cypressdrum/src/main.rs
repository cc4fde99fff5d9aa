//! The `cypressdrum` program.

use clap::Parser;
use std::process::ExitCode;

fn main() -> ExitCode {
    cypressdrum::run(cypressdrum::Arguments::parse()).into()
}
