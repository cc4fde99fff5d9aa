//! Health and metrics routes, closed connections and graceful shutdown.

use crate::fixture::{Fixture, Setup, read};
use reqwest::Method;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::mpsc;
use transport::{Operation, OperationReply};
use types::Milliseconds;

#[tokio::test]
async fn livez_and_metrics_are_served_on_http_listener() {
    let fixture = Fixture::start(|_| None).await;
    assert_eq!(fixture.get("/livez").await.status(), 200);
    assert_eq!(fixture.get("/metrics").await.status(), 200);
}

#[tokio::test]
async fn closed_connection_frees_capacity() {
    let replying = Arc::new(AtomicBool::new(false));
    let leader_replying = replying.clone();
    let (received, mut requests) = mpsc::unbounded_channel();
    let script = Box::new(move |_: &Operation| {
        received.send(()).unwrap();
        let replies = leader_replying.load(Ordering::Relaxed);
        replies.then(|| Ok(OperationReply::Queues(Vec::new())))
    });
    let setup = Setup {
        max_waiting_requests: 1,
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let request = request.send();
    let pending = tokio::spawn(request);
    requests.recv().await.unwrap();
    let (status, body) = read(fixture.get("/v1/queues").await).await;
    assert_eq!((status, body["code"].as_str()), (429, Some("overloaded")));
    replying.store(true, Ordering::Relaxed);
    pending.abort();
    // The capacity is free as soon as the gateway detects the closed connection.
    while fixture.get("/v1/queues").await.status() != 200 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn stop_waits_for_pending_requests_and_ends_gateway() {
    let (received, mut requests) = mpsc::unbounded_channel();
    let replying = Arc::new(AtomicBool::new(false));
    let leader_replying = replying.clone();
    let script = Box::new(move |_: &Operation| {
        received.send(()).unwrap();
        let replies = leader_replying.load(Ordering::Relaxed);
        replies.then(|| Ok(OperationReply::Queues(Vec::new())))
    });
    let setup = Setup {
        resend_after: Milliseconds(50),
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let pending = tokio::spawn(request.send());
    requests.recv().await.unwrap();
    fixture.stop.send_replace(true);
    fixture.wait_for_readiness(503).await;
    let rejected = fixture.get("/v1/queues").await;
    assert!(rejected.headers().contains_key("retry-after"));
    let (status, body) = read(rejected).await;
    assert_eq!((status, body["code"].as_str()), (503, Some("unavailable")));
    replying.store(true, Ordering::Relaxed);
    assert_eq!(pending.await.unwrap().unwrap().status(), 200);
    fixture.gateway.await.unwrap().unwrap();
}

#[tokio::test]
async fn request_pending_at_end_of_grace_time_is_rejected() {
    let (received, mut requests) = mpsc::unbounded_channel();
    let script = Box::new(move |_: &Operation| {
        received.send(()).unwrap();
        None
    });
    let setup = Setup {
        grace: Milliseconds(200),
        ..Setup::default()
    };
    let fixture = Fixture::start_with(setup, script).await;
    let request = fixture.request(Method::GET, "/v1/queues");
    let pending = tokio::spawn(request.send());
    requests.recv().await.unwrap();
    fixture.stop.send_replace(true);
    let (status, body) = read(pending.await.unwrap().unwrap()).await;
    // The leader may have carried out the request, so its outcome is unknown.
    assert_eq!((status, body["code"].as_str()), (504, Some("timed_out")));
    fixture.gateway.await.unwrap().unwrap();
}
