//! Equal input and seed give equal output, and the output of the example is fixed.

mod common;

use common::replay_bytes;
use serde_json::{Value, json};
use std::path::PathBuf;

/// Reads a file of the replay example.
fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/replay");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

#[test]
fn equal_input_and_seed_give_equal_output() {
    let input = example("day.jsonl");
    for seed in [0, 1, u64::MAX] {
        let (result, first) = replay_bytes(&input, seed);
        result.unwrap();
        let (_, second) = replay_bytes(&input, seed);
        assert!(first == second, "seed {seed}");
    }
}

#[test]
fn example_output_matches_the_stored_file() {
    let (result, output) = replay_bytes(&example("day.jsonl"), 0);
    result.unwrap();
    let output = String::from_utf8(output).unwrap();
    let expected = example("day.output.jsonl");
    for (number, (line, wanted)) in output.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, wanted, "line {}", number + 1);
    }
    assert_eq!(output, expected);
}

/// Guards against an example that no longer demonstrates its cases: a resource
/// limit, dependent steps, a start time, a shadow queue, a cancel, rejections and a
/// draining runner.
#[test]
fn example_output_covers_its_intended_cases() {
    let expected = example("day.output.jsonl");
    let lines: Vec<Value> = expected
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let position_of = |wanted: Value| {
        let has_fields = |line: &Value| {
            let mut fields = wanted.as_object().unwrap().iter();
            fields.all(|(field, value)| line[field] == *value)
        };
        lines.iter().position(has_fields)
    };
    let resource_limit =
        json!({"event": "not_placed", "task": "1.0.2", "reason": "tenant_at_ceiling"});
    let released = json!({"event": "closed", "run": "1-1", "outcome": "done"});
    let third = json!({"event": "placed", "task": "1.0.2"});
    assert!(
        position_of(resource_limit) < position_of(released.clone())
            && position_of(released) < position_of(third)
    );

    let before = json!({"event": "closed", "task": "1.0.2", "outcome": "done"});
    let after = json!({"event": "placed", "task": "1.1.0"});
    assert!(position_of(before.clone()).is_some() && position_of(before) < position_of(after));

    let delayed_start = position_of(json!({"event": "placed", "task": "2.0.0"})).unwrap();
    assert_eq!(lines[delayed_start]["at_ms"], common::START + 5_000);

    for wanted in [
        json!({"event": "placed", "queue": "trial", "shadow": true}),
        json!({"event": "job_ended", "state": "cancelled"}),
        json!({"event": "job_ended", "state": "done"}),
        json!({"event": "refused", "code": "conflict"}),
        json!({"event": "refused", "code": "invalid"}),
    ] {
        assert!(position_of(wanted.clone()).is_some(), "{wanted}");
    }
    let on_draining_runner = json!({"event": "placed", "runner": "stills-2"});
    assert_eq!(position_of(on_draining_runner), None);
}
