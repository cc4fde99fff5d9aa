//! The decision log over HTTP, including changes of leader.

use crate::fixture::{Fixture, rejected};
use reqwest::Response;
use serde_json::Value;
use std::sync::{Arc, Mutex};
use transport::{DecisionEntry, DecisionEvent, Operation, OperationReply, RejectionCode};
use types::{JobState, Term, WallTime};

type Log = Arc<Mutex<Vec<DecisionEntry>>>;

fn entries(term: u64, numbers: std::ops::RangeInclusive<u64>) -> Vec<DecisionEntry> {
    let entry = |number| DecisionEntry {
        number,
        term: Term(term),
        job: None,
        event: DecisionEvent::JobEnded {
            state: JobState::Done,
            at: WallTime(number),
        },
    };
    numbers.map(entry).collect()
}

/// Starts a gateway whose leader returns the entries of `log`.
async fn start(log: Log) -> Fixture {
    Fixture::start(move |operation| {
        let Operation::Decisions { after, limit } = operation else {
            panic!("{operation:?}");
        };
        let log = log.lock().unwrap();
        let newer = log.iter().filter(|entry| entry.number > *after);
        let page = newer.take(*limit as usize).cloned().collect();
        Some(Ok(OperationReply::Decisions(page)))
    })
    .await
}

/// Returns term and number of each line.
fn numbers(text: &str) -> Vec<(u64, u64)> {
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    lines
        .map(|line: Value| {
            let number = |name: &str| line[name].as_u64().unwrap();
            (number("term"), number("number"))
        })
        .collect()
}

/// Reads until the entry with term and number `last`. Returns all entries that were read.
async fn read_until(response: &mut Response, last: (u64, u64)) -> Vec<(u64, u64)> {
    let mut text = String::new();
    while !text.ends_with('\n') || numbers(&text).last() != Some(&last) {
        let chunk = response
            .chunk()
            .await
            .unwrap()
            .expect("stream ended before the expected entry");
        text.push_str(std::str::from_utf8(&chunk).unwrap());
    }
    numbers(&text)
}

#[tokio::test]
async fn page_has_one_json_line_per_decision() {
    let log = Log::new(Mutex::new(entries(1, 1..=5)));
    let fixture = start(log).await;
    let response = fixture.get("/v1/decisions?after=2&limit=2").await;
    assert_eq!(response.headers()["content-type"], "application/x-ndjson");
    let text = response.text().await.unwrap();
    assert_eq!(numbers(&text), [(1, 3), (1, 4)]);
    assert!(text.contains(r#""event":"job_ended""#), "{text}");
}

/// The log of a new leader starts at 1 and may be shorter or longer than the one that
/// was read, so the numbers do not reveal the change of leader.
#[tokio::test]
async fn followed_log_has_each_entry_once_across_leader_changes() {
    let log = Log::new(Mutex::new(entries(1, 1..=3)));
    let fixture = start(log.clone()).await;
    let mut response = fixture.get("/v1/decisions?follow=true").await;
    assert_eq!(
        read_until(&mut response, (1, 3)).await,
        [(1, 1), (1, 2), (1, 3)]
    );
    log.lock().unwrap().extend(entries(1, 4..=4));
    assert_eq!(read_until(&mut response, (1, 4)).await, [(1, 4)]);
    *log.lock().unwrap() = entries(2, 1..=2);
    assert_eq!(read_until(&mut response, (2, 2)).await, [(2, 1), (2, 2)]);
    *log.lock().unwrap() = entries(3, 1..=4);
    let read = read_until(&mut response, (3, 4)).await;
    assert_eq!(read, [(3, 1), (3, 2), (3, 3), (3, 4)]);
}

#[tokio::test]
async fn read_after_entry_of_earlier_term_starts_at_first_entry_of_new_leader() {
    let log = Log::new(Mutex::new(entries(2, 1..=3)));
    let fixture = start(log).await;
    let page = async |query: &str| {
        let response = fixture.get(&format!("/v1/decisions?{query}")).await;
        numbers(&response.text().await.unwrap())
    };
    assert_eq!(page("after=2").await, [(2, 3)]);
    assert_eq!(page("after=2&term=2").await, [(2, 3)]);
    assert_eq!(page("after=2&term=1").await, [(2, 1), (2, 2), (2, 3)]);
}

#[tokio::test]
async fn followed_log_ends_when_gateway_stops() {
    let fixture = start(Log::new(Mutex::new(entries(1, 1..=1)))).await;
    let mut response = fixture.get("/v1/decisions?follow=true").await;
    read_until(&mut response, (1, 1)).await;
    fixture.stop.send_replace(true);
    assert!(response.chunk().await.unwrap().is_none());
    fixture.gateway.await.unwrap().unwrap();
}

#[tokio::test]
async fn rejected_follow_request_returns_error_status() {
    let fixture = Fixture::start(|_| rejected(RejectionCode::Forbidden, None)).await;
    let response = fixture.get("/v1/decisions?follow=true").await;
    assert_eq!(response.status(), 403);
    assert_eq!(fixture.get("/v1/decisions?limit=0").await.status(), 400);
}
