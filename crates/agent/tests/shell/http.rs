//! Who may send heartbeats, and which are rejected.

use crate::bench::{Leader, RunningAgent, with_keys};
use api::rejection::{Code, RejectionBody};
use api::runner::HeartbeatAnswerBody;
use configuration::ClusterConfiguration;
use serde_json::{Value, json};

fn body() -> Value {
    json!({
        "incarnation": 4, "sequence": 1, "pool": "stills", "rack": "rack-1",
        "capacity": {"slots": 2}, "free": {"slots": 2}, "self_stop": true,
        "orders_url": "http://127.0.0.1:9/orders", "hold": [], "ended": [],
    })
}

async fn post(
    agent: &RunningAgent,
    runner: &str,
    key: Option<&str>,
    body: &Value,
) -> reqwest::Response {
    let url = format!("{}/v1/runners/{runner}/heartbeat", agent.url);
    let mut request = reqwest::Client::new().post(url).json(body);
    if let Some(key) = key {
        request = request.bearer_auth(key);
    }
    request.send().await.expect("an answer")
}

async fn rejected(response: reqwest::Response) -> (u16, RejectionBody) {
    let status = response.status().as_u16();
    (status, response.json().await.expect("a refusal"))
}

#[tokio::test]
async fn without_a_session_it_is_alive_but_takes_no_heartbeats() {
    let leader = Leader::start(with_keys()).await;
    let agent = RunningAgent::start(&leader).await;
    let alive = reqwest::get(format!("{}/livez", agent.url)).await.unwrap();
    assert!(alive.status().is_success());
    assert!(!agent.is_ready().await);
    let response = post(&agent, "runner-1", Some("runner.r"), &body()).await;
    assert!(response.headers().contains_key("retry-after"));
    let (status, rejection) = rejected(response).await;
    assert_eq!((status, rejection.code), (503, Code::Unavailable));
}

#[tokio::test]
async fn a_runners_key_is_needed_once_there_are_keys() {
    let mut leader = Leader::start(with_keys()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.ready(&mut leader).await;
    let cases = [
        (None, 401),
        (Some("runner.wrong"), 401),
        (Some("stranger.r"), 401),
        (Some("caller.c"), 403),
        (Some("runner.r"), 200),
        (Some("operator.o"), 200),
    ];
    for (key, status) in cases {
        let response = post(&agent, "runner-1", key, &body()).await;
        assert_eq!(response.status().as_u16(), status, "{key:?}");
    }
}

#[tokio::test]
async fn a_heartbeat_is_answered_with_the_term() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.ready(&mut leader).await;
    let response = post(&agent, "runner-1", None, &body()).await;
    let answer: HeartbeatAnswerBody = response.json().await.expect("an answer");
    assert_eq!(answer.term, crate::bench::TERM.0);
    assert_eq!(answer.incarnation, 4);
}

#[tokio::test]
async fn wrong_heartbeats_are_refused_with_the_reason() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.ready(&mut leader).await;
    let mut elsewhere = body();
    elsewhere["orders_url"] = json!("http://192.0.2.1:80/orders");
    let mut misspelt = body();
    misspelt["holds"] = json!([]);
    let cases = [
        ("runner-1", elsewhere, "own machine"),
        ("runner-1", misspelt, "holds"),
        ("runner%201", body(), "a name holds only"),
        ("runner-1", json!([1]), "form"),
    ];
    for (runner, body, expected) in cases {
        let (status, rejection) = rejected(post(&agent, runner, None, &body).await).await;
        assert_eq!((status, rejection.code), (400, Code::Invalid));
        assert!(
            rejection.message.contains(expected),
            "{}",
            rejection.message
        );
    }
}
