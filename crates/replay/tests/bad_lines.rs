//! A bad line is told with its number; neither it nor any after it is applied.

mod common;

use common::{START, events, heartbeat, line, replay, served, submit};
use serde_json::json;

/// Puts a bad line after the third, and gives the error.
fn problem(bad: &str) -> String {
    let mut lines = served();
    lines.push(bad.to_owned());
    lines.push(submit(400, "after", "batch", 1));
    let (result, output) = replay(&lines);
    assert_eq!(events(&output, "accepted").len(), 3, "{bad}");
    assert!(events(&output, "summary").is_empty(), "{bad}");
    assert!(events(&output, "placed").is_empty(), "{bad}");
    result.unwrap_err().to_string()
}

#[test]
fn every_bad_line_is_told_with_its_number_and_place() {
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
        let error = problem(&bad);
        assert!(error.starts_with("line 4: "), "{bad}: {error}");
        assert!(error.contains(expected), "{bad}: {error}");
    }
}

#[test]
fn a_line_without_end_is_not_read_for_ever() {
    let error = problem(&" ".repeat(6 * 1024 * 1024));
    assert_eq!(error, "line 4: the line is longer than 5242880 bytes");
}

#[test]
fn an_empty_input_gives_a_summary_of_nothing() {
    let (result, output) = replay(&[]);
    assert_eq!(result.unwrap(), replay::Summary::default());
    assert_eq!(output.len(), 1);
}
