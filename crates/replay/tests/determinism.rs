//! The same input and seed give the same output; the example's is fixed.

mod common;

use common::replay_bytes;
use serde_json::{Value, json};
use std::path::PathBuf;

fn example(name: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/replay");
    std::fs::read_to_string(folder.join(name)).unwrap()
}

#[test]
fn equal_input_and_seed_give_equal_bytes() {
    let input = example("day.jsonl");
    for seed in [0, 1, u64::MAX] {
        let (result, first) = replay_bytes(&input, seed);
        result.unwrap();
        let (_, second) = replay_bytes(&input, seed);
        assert!(first == second, "seed {seed}");
    }
}

#[test]
fn the_output_of_the_example_is_fixed() {
    let (result, output) = replay_bytes(&example("day.jsonl"), 0);
    result.unwrap();
    let output = String::from_utf8(output).unwrap();
    let expected = example("day.output.jsonl");
    for (number, (line, wanted)) in output.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, wanted, "line {}", number + 1);
    }
    assert_eq!(output, expected);
}

/// What the example is there to show, read from its fixed output.
#[test]
fn the_example_shows_what_it_is_for() {
    let expected = example("day.output.jsonl");
    let lines: Vec<Value> = expected
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let place = |wanted: Value| {
        let holds = |line: &Value| {
            let mut fields = wanted.as_object().unwrap().iter();
            fields.all(|(field, value)| line[field] == *value)
        };
        lines.iter().position(holds)
    };
    let resource_limit =
        json!({"event": "not_placed", "task": "1.0.2", "reason": "tenant_at_ceiling"});
    let released = json!({"event": "closed", "run": "1-1", "outcome": "done"});
    let third = json!({"event": "placed", "task": "1.0.2"});
    assert!(place(resource_limit) < place(released.clone()) && place(released) < place(third));

    let before = json!({"event": "closed", "task": "1.0.2", "outcome": "done"});
    let after = json!({"event": "placed", "task": "1.1.0"});
    assert!(place(before.clone()).is_some() && place(before) < place(after));

    let night = place(json!({"event": "placed", "task": "2.0.0"})).unwrap();
    assert_eq!(lines[night]["at_ms"], common::START + 5_000);

    for wanted in [
        json!({"event": "placed", "queue": "trial", "shadow": true}),
        json!({"event": "job_ended", "state": "cancelled"}),
        json!({"event": "job_ended", "state": "done"}),
        json!({"event": "refused", "code": "conflict"}),
        json!({"event": "refused", "code": "invalid"}),
    ] {
        assert!(place(wanted.clone()).is_some(), "{wanted}");
    }
    let to_the_draining = json!({"event": "placed", "runner": "stills-2"});
    assert_eq!(place(to_the_draining), None);
}
