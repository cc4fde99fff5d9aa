//! Cases of the review that are played with the project's daemons as processes and with
//! stand-ins for clients, runners, operator and platform.
//!
//! `standin-2 CASE RECORD FOLDER` plays a case, with the daemons' files in FOLDER, and writes
//! what was sent, answered and run to the file RECORD. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
//! could not run. With TROUBLE=0 the disruption is left out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod runner;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path), Some(folder)) =
        (arguments.next(), arguments.next(), arguments.next())
    else {
        eprintln!("usage: standin-2 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let Ok(record) = Record::create(Path::new(&path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(2);
    };
    match cases::play(&case, trouble, Path::new(&folder), record.clone()) {
        Ok(false) => {
            record.write("verdict: the rule held");
            ExitCode::SUCCESS
        }
        Ok(true) => {
            record.write("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.write(&format!("verdict: the case could not run: {error}"));
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
