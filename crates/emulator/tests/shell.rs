//! Server of an emulated runner, against a fake agent and orders sent by the test.

use api::runner::{
    AnswerName, HeartbeatAnswerBody, HeartbeatBody, OrderAnswerBody, OrderBody, OrderName,
    ReasonName, RunText, StartBody,
};
use axum::extract::{Path, State};
use axum::http::HeaderMap;
use axum::routing::post;
use axum::{Json, Router};
use emulator::runner::{Behaviour, RunnerEvent, RunnerOptions};
use emulator::shell::{RunnerHandle, RunnerServer};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use types::{
    Labels, Outcome, PoolName, RackName, Resources, RunId, RunnerId, RunnerIncarnation, Term,
};

/// Timeout that ends a test that hangs. No other result depends on it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG_TIMEOUT, work)
        .await
        .expect("the test hangs")
}

/// Heartbeat as the fake agent received it.
struct ReceivedHeartbeat {
    runner: String,
    /// Value of the `authorization` header.
    key: Option<String>,
    body: HeartbeatBody,
}

/// Agent that confirms every heartbeat and reports every ended run as recorded.
struct FakeAgent {
    url: String,
    received: mpsc::UnboundedReceiver<ReceivedHeartbeat>,
}

impl FakeAgent {
    async fn start() -> Self {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let (sender, received) = mpsc::unbounded_channel();
        let router = Router::new()
            .route(api::runner::HEARTBEAT_ROUTE, post(answer))
            .with_state(sender);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { url, received }
    }

    /// Waits for a heartbeat for which `matches` is true.
    async fn wait_for_heartbeat(
        &mut self,
        matches: impl Fn(&HeartbeatBody) -> bool,
    ) -> ReceivedHeartbeat {
        with_timeout(async {
            loop {
                let received = self.received.recv().await.expect("a heartbeat");
                if matches(&received.body) {
                    return received;
                }
            }
        })
        .await
    }
}

async fn answer(
    State(sender): State<mpsc::UnboundedSender<ReceivedHeartbeat>>,
    Path(runner): Path<String>,
    headers: HeaderMap,
    Json(body): Json<HeartbeatBody>,
) -> Json<HeartbeatAnswerBody> {
    let answer = HeartbeatAnswerBody {
        term: 2,
        confirmed: Some(body.sequence),
        incarnation: body.incarnation,
        lease_ms: 60_000,
        recorded: body.ended.iter().map(|ended| ended.run).collect(),
        stop: Vec::new(),
    };
    let key = headers
        .get("authorization")
        .map(|value| value.to_str().unwrap().to_owned());
    // Sending fails if the test has already dropped the receiver.
    let _ = sender.send(ReceivedHeartbeat { runner, key, body });
    Json(answer)
}

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn options() -> RunnerOptions {
    RunnerOptions {
        runner: RunnerId::new("runner-1").unwrap(),
        incarnation: RunnerIncarnation(4),
        pool: PoolName::new("stills").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        labels: Labels::new(),
        capacity: slots(2),
        behaviour: Behaviour::Healthy,
        mutation: None,
        seed: 3,
    }
}

fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

fn run_id() -> RunId {
    RunId {
        term: Term(2),
        sequence: 1,
    }
}

fn start(based_on: u64, duration_ms: u64) -> OrderBody {
    OrderBody {
        term: 2,
        sequence: 1,
        runner: "runner-1".to_owned(),
        incarnation: 4,
        order: OrderName::Start,
        run: RunText(run_id()),
        start: Some(StartBody {
            attempt: 1,
            checkpoint: None,
            tenant: "tenant".to_owned(),
            job: "job".to_owned(),
            step: "step".to_owned(),
            task: 0,
            resources: slots(1),
            time_limit_ms: 600_000,
            payload: format!(r#"{{"duration_ms": {duration_ms}}}"#),
            based_on,
            lease_ms: 60_000,
        }),
    }
}

async fn post_order(url: &str, order: &OrderBody) -> reqwest::Result<reqwest::Response> {
    let client = reqwest::Client::builder().no_proxy().build()?;
    with_timeout(client.post(url).json(order).send()).await
}

async fn send_order(url: &str, order: &OrderBody) -> OrderAnswerBody {
    let response = post_order(url, order).await.expect("an answer");
    response.json().await.expect("the body of an answer")
}

async fn start_runner() -> (
    FakeAgent,
    RunnerHandle,
    mpsc::UnboundedReceiver<RunnerEvent>,
) {
    let agent = FakeAgent::start().await;
    let key = Some("runner.secret".to_owned());
    let (runner, history) = RunnerServer::start(options(), &agent.url, key, loopback())
        .await
        .unwrap();
    (agent, runner, history)
}

#[tokio::test]
async fn heartbeats_carry_key_and_orders_are_accepted_at_reported_url() {
    let (mut agent, _runner, mut history) = start_runner().await;
    let received = agent.wait_for_heartbeat(|_| true).await;
    assert_eq!(received.runner, "runner-1");
    assert_eq!(received.key.as_deref(), Some("Bearer runner.secret"));
    let url = received.body.orders_url;
    let order = start(received.body.sequence, 10);
    assert_eq!(send_order(&url, &order).await.answer, AnswerName::Started);
    let again = send_order(&url, &order).await;
    assert_eq!(again.reason, Some(ReasonName::KnownRun));

    let ended = agent
        .wait_for_heartbeat(|body| !body.ended.is_empty())
        .await;
    assert_eq!(ended.body.ended[0].run, RunText(run_id()));
    agent.wait_for_heartbeat(|body| body.ended.is_empty()).await;
    let started = with_timeout(history.recv()).await;
    assert!(matches!(started, Some(RunnerEvent::Started(_))));
    let ended = RunnerEvent::Ended {
        run: run_id(),
        outcome: Outcome::Done,
    };
    assert_eq!(with_timeout(history.recv()).await, Some(ended));
}

#[tokio::test]
async fn drain_is_reported_and_starts_are_rejected() {
    let (mut agent, runner, _history) = start_runner().await;
    let received = agent.wait_for_heartbeat(|body| !body.draining).await;
    runner.drain().await;
    let drained = agent.wait_for_heartbeat(|body| body.draining).await;
    let order = start(drained.body.sequence, 10);
    let answer = send_order(&received.body.orders_url, &order).await;
    assert_eq!(answer.reason, Some(ReasonName::Draining));
}

#[tokio::test]
async fn killed_runner_ends_its_runs_and_accepts_no_order() {
    let (mut agent, runner, mut history) = start_runner().await;
    let received = agent.wait_for_heartbeat(|_| true).await;
    let url = received.body.orders_url;
    runner.behave(Behaviour::Stuck).await;
    send_order(&url, &start(received.body.sequence, 10)).await;
    runner.kill().await;
    let started = with_timeout(history.recv()).await;
    assert!(matches!(started, Some(RunnerEvent::Started(_))));
    let stopped = RunnerEvent::Ended {
        run: run_id(),
        outcome: Outcome::Stopped,
    };
    assert_eq!(with_timeout(history.recv()).await, Some(stopped));
    assert_eq!(with_timeout(history.recv()).await, None);
    let rejected = post_order(&url, &start(1, 10)).await;
    assert!(rejected.is_err());
}

#[tokio::test]
async fn start_order_without_start_body_is_rejected() {
    let (mut agent, _runner, _history) = start_runner().await;
    let url = agent.wait_for_heartbeat(|_| true).await.body.orders_url;
    let mut contradictory = start(1, 10);
    contradictory.start = None;
    let response = post_order(&url, &contradictory).await.expect("an answer");
    assert_eq!(response.status(), 400);
}
