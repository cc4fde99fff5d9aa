//! Test support: lines of input, and replays of them.
#![allow(dead_code)] // Each test file uses only some of these items.

use replay::{ReplayError, Summary};
use serde_json::{Value, json};

/// Wall time of the first line, in milliseconds.
pub const START: u64 = 1_764_650_000_000;

/// Returns a line with these fields, `after` milliseconds after [`START`].
pub fn line(after: u64, fields: Value) -> String {
    let mut line = fields;
    line["at_ms"] = json!(START + after);
    line.to_string()
}

/// Returns a line with configuration 1: pool `stills`, queue `batch`, shadow queue
/// `trial`, and tenant `poster` with a limit of 2 slots.
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

/// Returns a line that submits a job of one step for tenant `poster`.
pub fn submit(after: u64, job: &str, queue: &str, tasks: u32) -> String {
    let steps = json!([{"name": "cells", "tasks": tasks}]);
    let job = json!({"tenant": "poster", "job": job, "queue": queue, "steps": steps});
    line(after, json!({"submit": job}))
}

/// Returns a line with a heartbeat of runner `stills-1`, which has 4 free slots. The
/// fields in `changed` replace the default ones.
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

/// Returns three lines: a configuration, a heartbeat of a runner, and one that only
/// advances the clock.
pub fn configuration_and_runner() -> Vec<String> {
    let heartbeat = heartbeat(100, 1, json!({}));
    vec![configuration(0), heartbeat, line(200, json!({}))]
}

/// Replays an input. Returns the summary or error, and the output as bytes.
pub fn replay_bytes(input: &str, seed: u64) -> (Result<Summary, ReplayError>, Vec<u8>) {
    let mut output = Vec::new();
    let result = replay::run(input.as_bytes(), &mut output, seed);
    (result, output)
}

/// Replays lines with seed 0. Returns the summary or error, and the lines of output.
pub fn replay(lines: &[String]) -> (Result<Summary, ReplayError>, Vec<Value>) {
    let (result, output) = replay_bytes(&lines.join("\n"), 0);
    let text = String::from_utf8(output).unwrap();
    let values = text.lines().map(|line| serde_json::from_str(line).unwrap());
    (result, values.collect())
}

/// Replays lines that must be valid, and returns the lines of output.
pub fn replay_valid(lines: &[String]) -> Vec<Value> {
    let (result, output) = replay(lines);
    result.unwrap();
    output
}

/// Returns the lines of output of one event.
pub fn events<'a>(output: &'a [Value], event: &str) -> Vec<&'a Value> {
    let found = output.iter().filter(|line| line["event"] == event);
    found.collect()
}
