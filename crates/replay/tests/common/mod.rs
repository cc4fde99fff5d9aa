//! Lines of input, and replays of them.
#![allow(dead_code)] // Each test file uses its own part.

use replay::{ReplayError, Summary};
use serde_json::{Value, json};

/// Time of the first line.
pub const START: u64 = 1_764_650_000_000;

/// A line this long after the start.
pub fn line(after: u64, fields: Value) -> String {
    let mut line = fields;
    line["at_ms"] = json!(START + after);
    line.to_string()
}

pub fn configuration(after: u64) -> String {
    let document = json!({
        "pools": {"stills": {"largest_runner": {"slots": 4, "cpu_milli": 0, "memory_mib": 0}}},
        "queues": {"batch": {"pool": "stills"}, "trial": {"pool": "stills", "mode": "shadow"}},
        "tenants": {"poster": {"share_percent": 100, "most": {"slots": 2}}},
    });
    line(
        after,
        json!({"configuration": {"version": 1, "document": document}}),
    )
}

pub fn submit(after: u64, job: &str, queue: &str, tasks: u32) -> String {
    let steps = json!([{"name": "cells", "tasks": tasks}]);
    let job = json!({"tenant": "poster", "job": job, "queue": queue, "steps": steps});
    line(after, json!({"submit": job}))
}

/// A heartbeat of `stills-1`, changed by some fields.
pub fn heartbeat(after: u64, sequence: u64, changed: Value) -> String {
    let mut heartbeat = json!({
        "incarnation": 1, "sequence": sequence, "pool": "stills", "rack": "rack-1",
        "capacity": {"slots": 4}, "free": {"slots": 4}, "self_stop": true,
        "orders_url": "http://127.0.0.1:7500/orders", "hold": [], "ended": [],
    });
    for (field, value) in changed.as_object().unwrap() {
        heartbeat[field] = value.clone();
    }
    line(after, json!({"runner": "stills-1", "heartbeat": heartbeat}))
}

/// Configuration and a runner: three lines.
pub fn served() -> Vec<String> {
    let beat = heartbeat(100, 1, json!({}));
    vec![configuration(0), beat, line(200, json!({}))]
}

pub fn replay_bytes(input: &str, seed: u64) -> (Result<Summary, ReplayError>, Vec<u8>) {
    let mut output = Vec::new();
    let result = replay::run(input.as_bytes(), &mut output, seed);
    (result, output)
}

/// The lines of output, and the summary or error.
pub fn replay(lines: &[String]) -> (Result<Summary, ReplayError>, Vec<Value>) {
    let (result, output) = replay_bytes(&lines.join("\n"), 0);
    let text = String::from_utf8(output).unwrap();
    let values = text.lines().map(|line| serde_json::from_str(line).unwrap());
    (result, values.collect())
}

/// The lines of output of a good input.
pub fn replayed(lines: &[String]) -> Vec<Value> {
    let (result, output) = replay(lines);
    result.unwrap();
    output
}

pub fn events<'a>(output: &'a [Value], event: &str) -> Vec<&'a Value> {
    let found = output.iter().filter(|line| line["event"] == event);
    found.collect()
}
