//! The `replay` command, run as a process.

use cypressdrum::Exit;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

fn example(name: &str) -> PathBuf {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/replay");
    folder.join(name)
}

fn temporary_file(name: &str) -> PathBuf {
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

fn exited_with(output: &Output, exit: Exit) -> bool {
    output.status.code() == Some(i32::from(exit.code()))
}

#[test]
fn example_replay_matches_recorded_output() {
    let expected = std::fs::read(example("day.output.jsonl")).unwrap();
    let input = example("day.jsonl");
    let input = input.to_str().unwrap();
    let printed = replay(&[input]);
    assert!(exited_with(&printed, Exit::Done));
    assert!(printed.stdout == expected);

    let file = temporary_file("day.output.jsonl");
    let written = replay(&[input, "--seed", "0", "--output", file.to_str().unwrap()]);
    assert!(exited_with(&written, Exit::Done));
    assert!(written.stdout.is_empty());
    assert!(std::fs::read(file).unwrap() == expected);
}

#[test]
fn two_processes_with_same_seed_give_same_output() {
    let input = example("day.jsonl");
    let arguments = [input.to_str().unwrap(), "--seed", "77"];
    let (first, second) = (replay(&arguments), replay(&arguments));
    assert!(exited_with(&first, Exit::Done));
    assert!(!first.stdout.is_empty());
    assert!(first.stdout == second.stdout);
}

#[test]
fn streamed_input_is_answered_line_by_line() {
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
fn invalid_line_exits_with_code_two_and_line_number() {
    let file = temporary_file("bad.jsonl");
    std::fs::write(&file, "{\"at_ms\":5}\n{\"at_ms\":4}\n{\"at_ms\":6}\n").unwrap();
    let output = replay(&[file.to_str().unwrap()]);
    assert!(exited_with(&output, Exit::Usage));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(
        error.contains("bad.jsonl: line 2: at_ms: 4 lies before 5"),
        "{error}"
    );
    assert_eq!(output.stdout.split(|byte| *byte == b'\n').count(), 2);

    assert!(exited_with(&replay(&["no/such/file"]), Exit::Usage));
    let file = file.to_str().unwrap();
    assert!(exited_with(
        &replay(&[file, "--output", "no/such/folder/file"]),
        Exit::Usage
    ));
}

/// Time within which the program must notice that its output pipe is closed.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn replay_exits_quietly_when_output_pipe_closes() {
    let mut child = command(&["-"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    drop(child.stdout.take());
    let mut input = child.stdin.take().unwrap();
    // Standard input stays open, so only a failed write can end the program. A
    // child process that another test forks at this moment holds the read end of
    // the pipe until its exec, so the first write may succeed; a later one fails.
    let started = Instant::now();
    for at_ms in 1_u64.. {
        let written = writeln!(input, "{{\"at_ms\":{at_ms}}}");
        if written.is_err() || child.try_wait().unwrap().is_some() {
            break;
        }
        assert!(
            started.elapsed() < EXIT_TIMEOUT,
            "replay continues after its output pipe closed"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let output = child.wait_with_output().unwrap();
    drop(input);
    assert!(exited_with(&output, Exit::Done));
    assert!(output.stderr.is_empty());
}
