//! The command `replay`, as processes.

use cypressdrum::Exit;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn example(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/replay");
    folder.join(name)
}

fn scratch(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cypressdrum"));
    command.arg("replay").args(arguments);
    command
}

fn replay(arguments: &[&str]) -> Output {
    command(arguments).output().unwrap()
}

fn ends(output: &Output, exit: Exit) -> bool {
    output.status.code() == Some(i32::from(exit.code()))
}

#[test]
fn two_processes_give_the_fixed_output_of_the_example() {
    let expected = std::fs::read(example("day.output.jsonl")).unwrap();
    let input = example("day.jsonl");
    let input = input.to_str().unwrap();
    let printed = replay(&[input]);
    assert!(ends(&printed, Exit::Done));
    assert!(printed.stdout == expected);

    let file = scratch("day.output.jsonl");
    let written = replay(&[input, "--seed", "0", "--output", file.to_str().unwrap()]);
    assert!(ends(&written, Exit::Done));
    assert!(written.stdout.is_empty());
    assert!(std::fs::read(file).unwrap() == expected);
}

#[test]
fn two_processes_of_another_seed_agree() {
    let input = example("day.jsonl");
    let arguments = [input.to_str().unwrap(), "--seed", "77"];
    let (first, second) = (replay(&arguments), replay(&arguments));
    assert!(ends(&first, Exit::Done));
    assert!(!first.stdout.is_empty());
    assert!(first.stdout == second.stdout);
}

#[test]
fn a_program_drives_it_as_a_stream() {
    let mut child = command(&["-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
    for number in 1..=3 {
        // Each line is answered before the next is sent.
        writeln!(input, "{{\"at_ms\":{number}}}").unwrap();
        let answer = output.next().unwrap().unwrap();
        let accepted = format!("{{\"event\":\"accepted\",\"line\":{number},\"at_ms\":{number}}}");
        assert_eq!(answer, accepted);
    }
    drop(input);
    let summary = output.next().unwrap().unwrap();
    assert!(
        summary.starts_with("{\"event\":\"summary\",\"lines\":3,"),
        "{summary}"
    );
    assert!(child.wait().unwrap().success());
}

#[test]
fn a_bad_line_ends_it_with_code_two_and_its_number() {
    let file = scratch("bad.jsonl");
    std::fs::write(&file, "{\"at_ms\":5}\n{\"at_ms\":4}\n{\"at_ms\":6}\n").unwrap();
    let output = replay(&[file.to_str().unwrap()]);
    assert!(ends(&output, Exit::Usage));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("bad.jsonl: line 2: at_ms: 4 lies before 5"),
        "{error}"
    );
    assert_eq!(output.stdout.split(|byte| *byte == b'\n').count(), 2);

    assert!(ends(&replay(&["no/such/file"]), Exit::Usage));
    let file = file.to_str().unwrap();
    assert!(ends(
        &replay(&[file, "--output", "no/such/folder/file"]),
        Exit::Usage
    ));
}

/// How long the program may take to notice that nobody reads.
const PATIENCE: Duration = Duration::from_secs(20);

#[test]
fn it_ends_quietly_when_its_reader_is_gone() {
    let mut child = command(&["-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let mut input = child.stdin.take().unwrap();
    // Standard input stays open: a write alone must end it. A child that another
    // test forks at this moment holds the reading end until its exec, so the
    // first write may still find a reader; then a later one must not.
    let begun = Instant::now();
    for at_ms in 1_u64.. {
        let written = writeln!(input, "{{\"at_ms\":{at_ms}}}");
        if written.is_err() || child.try_wait().unwrap().is_some() {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "it goes on without a reader");
        std::thread::sleep(Duration::from_millis(20));
    }
    let ended = child.wait_with_output().unwrap();
    drop(input);
    assert!(ends(&ended, Exit::Done));
    assert!(ended.stderr.is_empty());
}
