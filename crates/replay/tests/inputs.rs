//! Each kind of input does what its sender would see.

mod common;

use common::{events, heartbeat, line, replay, replayed, served, submit};
use serde_json::json;

/// Served, with a job of one task that runs: its run and the lines.
fn running() -> (String, Vec<String>) {
    let mut lines = served();
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(line(400, json!({})));
    let output = replayed(&lines);
    let run = events(&output, "ordered")[0]["run"].as_str().unwrap();
    (run.to_owned(), lines)
}

#[test]
fn a_job_is_taken_placed_ordered_and_started() {
    let (run, lines) = running();
    let output = replayed(&lines);
    let accepted = events(&output, "accepted");
    assert_eq!(accepted.len(), 5);
    assert_eq!(accepted[0]["answer"], json!({"version": 1, "known": false}));
    assert_eq!(accepted[1]["answer"]["confirmed"], 1);
    assert_eq!(accepted[3]["answer"], json!({"number": 1, "known": false}));
    let placed = events(&output, "placed");
    assert_eq!(placed[0]["runner"], "stills-1");
    assert_eq!(placed[0]["run"], json!(run));
    let order = events(&output, "order")[0];
    assert_eq!(order["order"]["order"], "start");
    assert_eq!(order["order"]["run"], json!(run));
    assert_eq!(order["answer"], json!({"answer": "started"}));
    let summary = output.last().unwrap();
    assert_eq!(summary["event"], "summary");
    assert_eq!(summary["jobs"], 1);
    assert_eq!(summary["placed"], 1);
    assert_eq!(summary["refused"], 0);
}

#[test]
fn an_ended_run_in_a_heartbeat_ends_the_job() {
    let (run, mut lines) = running();
    let ended = json!({"ended": [{"run": run, "outcome": "done"}]});
    lines.push(heartbeat(500, 2, ended.clone()));
    lines.push(heartbeat(600, 3, ended));
    let output = replayed(&lines);
    assert_eq!(events(&output, "closed")[0]["outcome"], "done");
    assert_eq!(events(&output, "job_ended")[0]["state"], "done");
    let last = events(&output, "accepted").pop().unwrap();
    assert_eq!(last["answer"]["recorded"], json!([run]));
}

#[test]
fn a_failed_run_keeps_the_reason_of_the_runner() {
    let (run, mut lines) = running();
    let failed = json!([{"run": run, "outcome": "failed", "reason": "out of paper"}]);
    lines.push(heartbeat(500, 2, json!({"ended": failed})));
    lines.push(line(600, json!({})));
    let output = replayed(&lines);
    assert_eq!(events(&output, "closed")[0]["message"], "out of paper");
    assert_eq!(events(&output, "job_ended")[0]["state"], "failed");
}

#[test]
fn a_held_run_goes_on_and_a_cancel_stops_it() {
    let (run, mut lines) = running();
    let hold = |age: u64| json!({"free": {"slots": 3}, "hold": [{"run": run, "age_ms": age}]});
    lines.push(heartbeat(500, 2, hold(100)));
    let key = json!({"tenant": "poster", "job": "sheet-1"});
    lines.push(line(600, json!({"cancel": {"jobs": [key]}})));
    lines.push(line(900, json!({})));
    let output = replayed(&lines);
    let accepted = events(&output, "accepted");
    assert_eq!(accepted[6]["answer"]["cancelled"], 1);
    let stop = events(&output, "order").pop().unwrap();
    assert_eq!(stop["order"]["order"], "stop");
    assert_eq!(stop["answer"], json!({"answer": "stopping"}));
    assert_eq!(events(&output, "job_ended")[0]["state"], "cancelled");
}

#[test]
fn a_run_that_a_heartbeat_leaves_out_is_voided_and_starts_anew() {
    let (run, mut lines) = running();
    lines.push(heartbeat(500, 2, json!({})));
    lines.push(heartbeat(1_500, 3, json!({})));
    lines.push(line(2_000, json!({})));
    let output = replayed(&lines);
    let orders = events(&output, "order");
    assert_eq!(orders[1]["order"]["order"], "void");
    assert_eq!(orders[1]["answer"], json!({"answer": "voided"}));
    let closed = events(&output, "closed");
    assert_eq!(closed[0]["run"], json!(run));
    assert_eq!(closed[0]["outcome"], "voided");
    assert!(events(&output, "ordered").len() > 1);
}

#[test]
fn an_answer_in_the_input_takes_the_place_of_the_default() {
    let mut lines = served();
    let rejected = json!({"answer": "refused", "reason": "no_room"});
    let answer = |after| line(after, json!({"runner": "stills-1", "answer": rejected}));
    lines.push(answer(250));
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(heartbeat(1_200, 2, json!({})));
    lines.push(line(2_000, json!({})));
    lines.push(answer(2_100));
    let output = replayed(&lines);
    let orders = events(&output, "order");
    assert_eq!(orders[0]["answer"], rejected);
    assert_eq!(orders[1]["answer"], json!({"answer": "started"}));
    assert_eq!(events(&output, "closed")[0]["outcome"], "refused");
    assert_eq!(output.last().unwrap()["unused_answers"], 1);
}

#[test]
fn a_draining_runner_and_a_ceiling_are_given_as_reasons() {
    let mut lines = served();
    lines.push(submit(300, "sheet-1", "batch", 3));
    lines.push(line(500, json!({})));
    let output = replayed(&lines);
    assert_eq!(events(&output, "placed").len(), 2);
    let reasons = events(&output, "not_placed");
    assert!(
        reasons
            .iter()
            .any(|line| line["reason"] == "tenant_at_ceiling")
    );

    let mut lines = vec![served()[0].clone()];
    lines.push(heartbeat(100, 1, json!({"draining": true})));
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(line(500, json!({})));
    let output = replayed(&lines);
    assert!(events(&output, "placed").is_empty());
    assert!(!events(&output, "not_placed").is_empty());
}

#[test]
fn a_shadow_queue_places_and_orders_nothing() {
    let mut lines = served();
    lines.push(submit(300, "sheet-1", "trial", 1));
    lines.push(line(500, json!({})));
    let output = replayed(&lines);
    let placed = events(&output, "placed");
    assert!(!placed.is_empty() && placed.iter().all(|line| line["shadow"] == true));
    assert!(events(&output, "order").is_empty());
    assert_eq!(output.last().unwrap()["placed"], 0);
}

#[test]
fn refusals_carry_code_and_message_and_the_replay_goes_on() {
    let mut lines = served();
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(submit(310, "sheet-1", "batch", 2));
    lines.push(submit(320, "sheet-2", "nowhere", 1));
    lines.push(common::configuration(330).replace("\"version\":1", "\"version\":7"));
    lines.push(heartbeat(340, 0, json!({})));
    lines.push(submit(350, "sheet-1", "batch", 1));
    let (result, output) = replay(&lines);
    let rejected = events(&output, "refused");
    let codes: Vec<_> = rejected.iter().map(|line| line["code"].as_str()).collect();
    let conflict = Some("conflict");
    assert_eq!(codes, [conflict, Some("invalid"), conflict, conflict]);
    assert!(rejected.iter().all(|line| line["message"] != ""));
    assert_eq!(rejected[0]["line"], 5);
    let resent = events(&output, "accepted").pop().unwrap();
    assert_eq!(resent["answer"], json!({"number": 1, "known": true}));
    let summary = result.unwrap();
    assert_eq!((summary.jobs, summary.rejected), (1, 4));
}

#[test]
fn an_update_changes_named_items_of_the_version_it_builds_on() {
    let update = |at: u64, version: u64, replaces: u64, seats: u32| {
        let upsert = json!({"licences": {"renderer": {"seats": seats}}});
        let changes = json!({"replaces": replaces, "upsert": upsert});
        line(
            at,
            json!({"update": {"version": version, "changes": changes}}),
        )
    };
    let mut lines = served();
    lines.push(update(300, 4, 1, 2));
    lines.push(update(310, 4, 1, 2));
    lines.push(update(320, 5, 1, 3));
    lines.push(update(330, 5, 4, 3));
    let output = replayed(&lines);
    let answers: Vec<_> = events(&output, "accepted")
        .into_iter()
        .filter(|line| line["answer"]["version"].is_u64())
        .map(|line| line["answer"].clone())
        .collect();
    let newest = &answers[answers.len() - 3..];
    assert_eq!(newest[0], json!({"version": 4, "known": false}));
    assert_eq!(newest[1], json!({"version": 4, "known": true}));
    assert_eq!(newest[2], json!({"version": 5, "known": false}));
    let rejected = events(&output, "refused");
    assert_eq!(rejected.len(), 1);
    assert_eq!(rejected[0]["code"], "conflict");
}

#[test]
fn a_long_gap_is_walked_and_a_silent_runner_loses_its_run() {
    let (run, mut lines) = running();
    lines.push(line(60_000, json!({})));
    let output = replayed(&lines);
    let closed = events(&output, "closed");
    assert_eq!(closed[0]["run"], json!(run));
    assert_eq!(closed[0]["outcome"], "lost");
    let at = closed[0]["at_ms"].as_u64().unwrap() - common::START;
    let timings = configuration::Timings::default();
    let given_up = (timings.run_lease + timings.run_lease_margin).0;
    assert!((given_up..given_up + 2_000).contains(&at), "{at}");
}

#[test]
fn a_job_starts_at_its_time_and_no_earlier() {
    let mut lines = served();
    let start = common::START + 1_000;
    let steps = json!([{"name": "cells"}]);
    let job = json!({"tenant": "poster", "job": "late", "queue": "batch",
        "start_at_ms": start, "steps": steps});
    lines.push(line(300, json!({"submit": job})));
    lines.push(heartbeat(900, 2, json!({})));
    lines.push(line(1_500, json!({})));
    let output = replayed(&lines);
    let ordered = events(&output, "ordered");
    assert_eq!(ordered.len(), 1);
    let at = ordered[0]["at_ms"].as_u64().unwrap();
    assert!((start..start + 100).contains(&at), "{at}");
}
