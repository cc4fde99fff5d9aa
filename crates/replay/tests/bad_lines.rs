//! A line that is not valid ends the replay with an error that names its number.
//! Neither it nor any later line is applied.

mod common;

use common::{START, configuration_and_runner, events, heartbeat, line, replay, submit};
use serde_json::json;

/// Replays an input whose line 4 is not valid, and returns the error.
fn error_at_line_4(bad: &str) -> String {
    let mut lines = configuration_and_runner();
    lines.push(bad.to_owned());
    lines.push(submit(400, "after", "batch", 1));
    let (result, output) = replay(&lines);
    assert_eq!(events(&output, "accepted").len(), 3, "{bad}");
    assert!(events(&output, "summary").is_empty(), "{bad}");
    assert!(events(&output, "placed").is_empty(), "{bad}");
    result.unwrap_err().to_string()
}

#[test]
fn error_names_number_and_field_of_invalid_line() {
    let cancel_both = json!({"cancel": {"jobs": [], "tenant": "poster"}});
    let two = json!({"cancel": {"tenant": "poster"}, "configuration":
        {"version": 1, "document": {}}});
    let no_reason = json!({"runner": "stills-1", "answer": {"answer": "refused"}});
    let cases = [
        (String::new(), "body: EOF"),
        ("{".to_owned(), "body: EOF"),
        ("[1]".to_owned(), "body: "),
        ("{}".to_owned(), "at_ms"),
        (line(300, json!({})) + " {}", "body: trailing characters"),
        (line(300, json!({"sbumit": {}})), "sbumit: unknown field"),
        (
            line(300, json!({"submit": {"tenant": 1}})),
            "submit.tenant: ",
        ),
        (
            line(300, json!({"submit": {"tenant": "a b"}})),
            "submit.tenant: ",
        ),
        (
            line(300, json!({"configuration": {"version": 2}})),
            "document",
        ),
        (line(300, cancel_both), "cancel.jobs: leave out"),
        (line(300, two), "at most one of"),
        (
            line(300, json!({"runner": "stills-1"})),
            "runner must be given",
        ),
        (
            line(300, json!({"answer": {"answer": "started"}})),
            "runner must be given",
        ),
        (line(300, no_reason), "reason must be there"),
        (heartbeat(300, 2, json!({"pool": "a b"})), "pool: "),
        (heartbeat(300, 2, json!({"free": {"slots": 5}})), "free: "),
        (
            heartbeat(300, 2, json!({"orders_url": "x"})),
            "orders_url: ",
        ),
        (
            heartbeat(300, 2, json!({"hold": [{"run": "x", "age_ms": 1}]})),
            "heartbeat.hold[0].run",
        ),
        (
            line(199, json!({})),
            "at_ms: 1764650000199 lies before 1764650000200",
        ),
        (
            line(604_800_201, json!({})),
            "lies more than 604800000 ms after",
        ),
        (format!("{{\"at_ms\":{}}}", u64::MAX), "lies more than"),
        (format!("{{\"at_ms\":-{START}}}"), "at_ms: "),
    ];
    for (bad, expected) in cases {
        let error = error_at_line_4(&bad);
        assert!(error.starts_with("line 4: "), "{bad}: {error}");
        assert!(error.contains(expected), "{bad}: {error}");
    }
}

#[test]
fn line_over_maximum_length_is_rejected() {
    let error = error_at_line_4(&" ".repeat(6 * 1024 * 1024));
    assert_eq!(error, "line 4: the line is longer than 5242880 bytes");
}

#[test]
fn empty_input_gives_only_a_default_summary() {
    let (result, output) = replay(&[]);
    assert_eq!(result.unwrap(), replay::Summary::default());
    assert_eq!(output.len(), 1);
}
