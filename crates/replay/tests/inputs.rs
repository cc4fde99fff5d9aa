//! Each kind of input has the effect that it has on a real coordinator.

mod common;

use common::{configuration_and_runner, events, heartbeat, line, replay, replay_valid, submit};
use serde_json::json;

/// Returns the run of a started job of one task, and the lines that lead to it.
fn with_active_run() -> (String, Vec<String>) {
    let mut lines = configuration_and_runner();
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(line(400, json!({})));
    let output = replay_valid(&lines);
    let run = events(&output, "ordered")[0]["run"].as_str().unwrap();
    (run.to_owned(), lines)
}

#[test]
fn submitted_job_is_placed_and_started() {
    let (run, lines) = with_active_run();
    let output = replay_valid(&lines);
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
fn ended_run_in_heartbeat_ends_job() {
    let (run, mut lines) = with_active_run();
    let ended = json!({"ended": [{"run": run, "outcome": "done"}]});
    lines.push(heartbeat(500, 2, ended.clone()));
    lines.push(heartbeat(600, 3, ended));
    let output = replay_valid(&lines);
    assert_eq!(events(&output, "closed")[0]["outcome"], "done");
    assert_eq!(events(&output, "job_ended")[0]["state"], "done");
    let last = events(&output, "accepted").pop().unwrap();
    assert_eq!(last["answer"]["recorded"], json!([run]));
}

#[test]
fn failed_run_keeps_reason_given_by_runner() {
    let (run, mut lines) = with_active_run();
    let failed = json!([{"run": run, "outcome": "failed", "reason": "out of paper"}]);
    lines.push(heartbeat(500, 2, json!({"ended": failed})));
    lines.push(line(600, json!({})));
    let output = replay_valid(&lines);
    assert_eq!(events(&output, "closed")[0]["message"], "out of paper");
    assert_eq!(events(&output, "job_ended")[0]["state"], "failed");
}

#[test]
fn active_run_in_heartbeat_continues_until_cancel_stops_it() {
    let (run, mut lines) = with_active_run();
    let hold = |age: u64| json!({"free": {"slots": 3}, "hold": [{"run": run, "age_ms": age}]});
    lines.push(heartbeat(500, 2, hold(100)));
    let key = json!({"tenant": "poster", "job": "sheet-1"});
    lines.push(line(600, json!({"cancel": {"jobs": [key]}})));
    lines.push(line(900, json!({})));
    let output = replay_valid(&lines);
    let accepted = events(&output, "accepted");
    assert_eq!(accepted[6]["answer"]["cancelled"], 1);
    let stop = events(&output, "order").pop().unwrap();
    assert_eq!(stop["order"]["order"], "stop");
    assert_eq!(stop["answer"], json!({"answer": "stopping"}));
    assert_eq!(events(&output, "job_ended")[0]["state"], "cancelled");
}

#[test]
fn run_missing_from_heartbeat_is_revoked_and_its_task_starts_again() {
    let (run, mut lines) = with_active_run();
    lines.push(heartbeat(500, 2, json!({})));
    lines.push(heartbeat(1_500, 3, json!({})));
    lines.push(line(2_000, json!({})));
    let output = replay_valid(&lines);
    let orders = events(&output, "order");
    assert_eq!(orders[1]["order"]["order"], "void");
    assert_eq!(orders[1]["answer"], json!({"answer": "voided"}));
    let closed = events(&output, "closed");
    assert_eq!(closed[0]["run"], json!(run));
    assert_eq!(closed[0]["outcome"], "voided");
    assert!(events(&output, "ordered").len() > 1);
}

#[test]
fn answer_in_input_replaces_default_answer() {
    let mut lines = configuration_and_runner();
    let rejected = json!({"answer": "refused", "reason": "no_room"});
    let answer = |after| line(after, json!({"runner": "stills-1", "answer": rejected}));
    lines.push(answer(250));
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(heartbeat(1_200, 2, json!({})));
    lines.push(line(2_000, json!({})));
    lines.push(answer(2_100));
    let output = replay_valid(&lines);
    let orders = events(&output, "order");
    assert_eq!(orders[0]["answer"], rejected);
    assert_eq!(orders[1]["answer"], json!({"answer": "started"}));
    assert_eq!(events(&output, "closed")[0]["outcome"], "refused");
    assert_eq!(output.last().unwrap()["unused_answers"], 1);
}

#[test]
fn resource_limit_or_draining_runner_prevents_placement() {
    let mut lines = configuration_and_runner();
    lines.push(submit(300, "sheet-1", "batch", 3));
    lines.push(line(500, json!({})));
    let output = replay_valid(&lines);
    assert_eq!(events(&output, "placed").len(), 2);
    let reasons = events(&output, "not_placed");
    assert!(
        reasons
            .iter()
            .any(|line| line["reason"] == "tenant_at_ceiling")
    );

    let mut lines = vec![configuration_and_runner()[0].clone()];
    lines.push(heartbeat(100, 1, json!({"draining": true})));
    lines.push(submit(300, "sheet-1", "batch", 1));
    lines.push(line(500, json!({})));
    let output = replay_valid(&lines);
    assert!(events(&output, "placed").is_empty());
    assert!(!events(&output, "not_placed").is_empty());
}

#[test]
fn shadow_queue_reports_placements_and_sends_no_orders() {
    let mut lines = configuration_and_runner();
    lines.push(submit(300, "sheet-1", "trial", 1));
    lines.push(line(500, json!({})));
    let output = replay_valid(&lines);
    let placed = events(&output, "placed");
    assert!(!placed.is_empty() && placed.iter().all(|line| line["shadow"] == true));
    assert!(events(&output, "order").is_empty());
    assert_eq!(output.last().unwrap()["placed"], 0);
}

#[test]
fn rejections_have_code_and_message_and_replay_continues() {
    let mut lines = configuration_and_runner();
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
fn update_changes_named_items_of_the_version_it_replaces() {
    let update = |at: u64, version: u64, replaces: u64, seats: u32| {
        let upsert = json!({"licences": {"renderer": {"seats": seats}}});
        let changes = json!({"replaces": replaces, "upsert": upsert});
        line(
            at,
            json!({"update": {"version": version, "changes": changes}}),
        )
    };
    let mut lines = configuration_and_runner();
    lines.push(update(300, 4, 1, 2));
    lines.push(update(310, 4, 1, 2));
    lines.push(update(320, 5, 1, 3));
    lines.push(update(330, 5, 4, 3));
    let output = replay_valid(&lines);
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
fn run_of_unresponsive_runner_is_lost_during_long_gap() {
    let (run, mut lines) = with_active_run();
    lines.push(line(60_000, json!({})));
    let output = replay_valid(&lines);
    let closed = events(&output, "closed");
    assert_eq!(closed[0]["run"], json!(run));
    assert_eq!(closed[0]["outcome"], "lost");
    let at = closed[0]["at_ms"].as_u64().unwrap() - common::START;
    let timings = configuration::Timings::default();
    let lost_after = (timings.run_lease + timings.run_lease_margin).0;
    assert!((lost_after..lost_after + 2_000).contains(&at), "{at}");
}

#[test]
fn job_starts_at_its_start_time_and_not_before() {
    let mut lines = configuration_and_runner();
    let start = common::START + 1_000;
    let steps = json!([{"name": "cells"}]);
    let job = json!({"tenant": "poster", "job": "late", "queue": "batch",
        "start_at_ms": start, "steps": steps});
    lines.push(line(300, json!({"submit": job})));
    lines.push(heartbeat(900, 2, json!({})));
    lines.push(line(1_500, json!({})));
    let output = replay_valid(&lines);
    let ordered = events(&output, "ordered");
    assert_eq!(ordered.len(), 1);
    let at = ordered[0]["at_ms"].as_u64().unwrap();
    assert!((start..start + 100).contains(&at), "{at}");
}
