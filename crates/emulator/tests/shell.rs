//! The emulated runner as a server, between a hand-made agent and orders.

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

/// Ends a test that hangs; no verdict depends on it otherwise.
const HANG_GUARD: Duration = Duration::from_secs(60);

async fn guarded<T>(work: impl Future<Output = T>) -> T {
    tokio::time::timeout(HANG_GUARD, work)
        .await
        .expect("the test hangs")
}

struct Heard {
    runner: String,
    key: Option<String>,
    body: HeartbeatBody,
}

/// An agent that confirms every heartbeat and records every ended run.
struct HandMadeAgent {
    url: String,
    heard: mpsc::UnboundedReceiver<Heard>,
}

impl HandMadeAgent {
    async fn start() -> Self {
        let listener = TcpListener::bind(loopback()).await.unwrap();
        let url = format!("http://{}", listener.local_addr().unwrap());
        let (tell, heard) = mpsc::unbounded_channel();
        let router = Router::new()
            .route(api::runner::HEARTBEAT_ROUTE, post(answer))
            .with_state(tell);
        tokio::spawn(async move { axum::serve(listener, router).await });
        Self { url, heard }
    }

    async fn until(&mut self, wanted: impl Fn(&HeartbeatBody) -> bool) -> Heard {
        guarded(async {
            loop {
                let heard = self.heard.recv().await.expect("a heartbeat");
                if wanted(&heard.body) {
                    return heard;
                }
            }
        })
        .await
    }
}

async fn answer(
    State(tell): State<mpsc::UnboundedSender<Heard>>,
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
    // A test that has seen enough no longer listens.
    let _ = tell.send(Heard { runner, key, body });
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
    guarded(client.post(url).json(order).send()).await
}

async fn answer_to(url: &str, order: &OrderBody) -> OrderAnswerBody {
    let response = post_order(url, order).await.expect("an answer");
    response.json().await.expect("the body of an answer")
}

async fn running() -> (
    HandMadeAgent,
    RunnerHandle,
    mpsc::UnboundedReceiver<RunnerEvent>,
) {
    let agent = HandMadeAgent::start().await;
    let key = Some("runner.secret".to_owned());
    let (runner, history) = RunnerServer::start(options(), &agent.url, key, loopback())
        .await
        .unwrap();
    (agent, runner, history)
}

#[tokio::test]
async fn sends_heartbeats_with_its_key_and_takes_orders_at_its_url() {
    let (mut agent, _runner, mut history) = running().await;
    let heard = agent.until(|_| true).await;
    assert_eq!(heard.runner, "runner-1");
    assert_eq!(heard.key.as_deref(), Some("Bearer runner.secret"));
    let url = heard.body.orders_url;
    let order = start(heard.body.sequence, 10);
    assert_eq!(answer_to(&url, &order).await.answer, AnswerName::Started);
    let again = answer_to(&url, &order).await;
    assert_eq!(again.reason, Some(ReasonName::KnownRun));

    let ended = agent.until(|body| !body.ended.is_empty()).await;
    assert_eq!(ended.body.ended[0].run, RunText(run_id()));
    agent.until(|body| body.ended.is_empty()).await;
    let started = guarded(history.recv()).await;
    assert!(matches!(started, Some(RunnerEvent::Started(_))));
    let ended = RunnerEvent::Ended {
        run: run_id(),
        outcome: Outcome::Done,
    };
    assert_eq!(guarded(history.recv()).await, Some(ended));
}

#[tokio::test]
async fn says_that_it_drains() {
    let (mut agent, runner, _history) = running().await;
    let heard = agent.until(|body| !body.draining).await;
    runner.drain().await;
    let drained = agent.until(|body| body.draining).await;
    let order = start(drained.body.sequence, 10);
    let answer = answer_to(&heard.body.orders_url, &order).await;
    assert_eq!(answer.reason, Some(ReasonName::Draining));
}

#[tokio::test]
async fn a_killed_runner_takes_its_runs_with_it() {
    let (mut agent, runner, mut history) = running().await;
    let heard = agent.until(|_| true).await;
    let url = heard.body.orders_url;
    runner.behave(Behaviour::Stuck).await;
    answer_to(&url, &start(heard.body.sequence, 10)).await;
    runner.kill().await;
    let started = guarded(history.recv()).await;
    assert!(matches!(started, Some(RunnerEvent::Started(_))));
    let stopped = RunnerEvent::Ended {
        run: run_id(),
        outcome: Outcome::Stopped,
    };
    assert_eq!(guarded(history.recv()).await, Some(stopped));
    assert_eq!(guarded(history.recv()).await, None);
    let rejected = post_order(&url, &start(1, 10)).await;
    assert!(rejected.is_err());
}

#[tokio::test]
async fn a_body_that_is_no_order_is_refused() {
    let (mut agent, _runner, _history) = running().await;
    let url = agent.until(|_| true).await.body.orders_url;
    let mut contradictory = start(1, 10);
    contradictory.start = None;
    let response = post_order(&url, &contradictory).await.expect("an answer");
    assert_eq!(response.status(), 400);
}
