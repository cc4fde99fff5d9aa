//! Readiness, metrics, callers that go away, the polite stop.

use crate::fixture::{Fixture, Setup, read};
use reqwest::Method;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;
use transport::{Operation, OperationReply};
use types::Milliseconds;

#[tokio::test]
async fn livez_and_metrics_are_served_beside_the_interface() {
    let fixture = Fixture::start(|_| None).await;
    assert_eq!(fixture.get("/livez").await.status(), 200);
    assert_eq!(fixture.get("/metrics").await.status(), 200);
}

#[tokio::test]
async fn a_caller_that_goes_away_frees_its_place() {
    let answering = Arc::new(AtomicBool::new(false));
    let answers = answering.clone();
    let (seen, mut requests) = mpsc::unbounded_channel();
    let script = Box::new(move |_: &Operation| {
        seen.send(()).unwrap();
        let answer = answers.load(Ordering::Relaxed);
        answer.then(|| Ok(OperationReply::Queues(Vec::new())))
    });
    let setup = Setup {
        places: 1,
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let request = request.send();
    let waiting = tokio::spawn(request);
    requests.recv().await.unwrap();
    let (status, body) = read(fixture.get("/v1/queues").await).await;
    assert_eq!((status, body["code"].as_str()), (429, Some("overloaded")));
    answering.store(true, Ordering::Relaxed);
    waiting.abort();
    // The one place is free again as soon as the connection's end is seen.
    while fixture.get("/v1/queues").await.status() != 200 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_stop_finishes_what_waits_and_then_ends_the_process() {
    let (seen, mut requests) = mpsc::unbounded_channel();
    let open = Arc::new(AtomicBool::new(false));
    let answers = open.clone();
    let script = Box::new(move |_: &Operation| {
        seen.send(()).unwrap();
        let answer = answers.load(Ordering::Relaxed);
        answer.then(|| Ok(OperationReply::Queues(Vec::new())))
    });
    let setup = Setup {
        resend_after: Milliseconds(50),
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let waiting = tokio::spawn(request.send());
    requests.recv().await.unwrap();
    fixture.stop.send_replace(true);
    fixture.wait_for_readiness(503).await;
    let rejected = fixture.get("/v1/queues").await;
    assert!(rejected.headers().contains_key("retry-after"));
    let (status, body) = read(rejected).await;
    assert_eq!((status, body["code"].as_str()), (503, Some("unavailable")));
    open.store(true, Ordering::Relaxed);
    assert_eq!(waiting.await.unwrap().unwrap().status(), 200);
    fixture.gateway.await.unwrap().unwrap();
}

#[tokio::test]
async fn what_still_waits_when_the_grace_time_is_over_is_refused() {
    let (seen, mut requests) = mpsc::unbounded_channel();
    let script = Box::new(move |_: &Operation| {
        seen.send(()).unwrap();
        None
    });
    let setup = Setup {
        grace: Milliseconds(200),
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let waiting = tokio::spawn(request.send());
    requests.recv().await.unwrap();
    fixture.stop.send_replace(true);
    let (status, body) = read(waiting.await.unwrap().unwrap()).await;
    // Whether the leader took it is not known here, so it is no rejection.
    assert_eq!((status, body["code"].as_str()), (504, Some("timed_out")));
    fixture.gateway.await.unwrap().unwrap();
}
