//! Authorization and validation of heartbeats over HTTP.

use crate::harness::{Leader, RunningAgent, configuration_with_keys};
use api::rejection::{Code, RejectionBody};
use api::runner::HeartbeatAnswerBody;
use configuration::ClusterConfiguration;
use serde_json::{Value, json};

fn heartbeat_body() -> Value {
    json!({
        "incarnation": 4, "sequence": 1, "pool": "stills", "rack": "rack-1",
        "capacity": {"slots": 2}, "free": {"slots": 2}, "self_stop": true,
        "orders_url": "http://127.0.0.1:9/orders", "hold": [], "ended": [],
    })
}

async fn post_heartbeat(
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
    request.send().await.expect("the request failed")
}

async fn read_rejection(response: reqwest::Response) -> (u16, RejectionBody) {
    let status = response.status().as_u16();
    (
        status,
        response
            .json()
            .await
            .expect("the response has no rejection body"),
    )
}

#[tokio::test]
async fn agent_without_session_is_live_but_rejects_heartbeats() {
    let leader = Leader::start(configuration_with_keys()).await;
    let agent = RunningAgent::start(&leader).await;
    let livez = reqwest::get(format!("{}/livez", agent.url)).await.unwrap();
    assert!(livez.status().is_success());
    assert!(!agent.is_ready().await);
    let response = post_heartbeat(&agent, "runner-1", Some("runner.r"), &heartbeat_body()).await;
    assert!(response.headers().contains_key("retry-after"));
    let (status, rejection) = read_rejection(response).await;
    assert_eq!((status, rejection.code), (503, Code::Unavailable));
}

#[tokio::test]
async fn heartbeat_requires_runner_or_operator_key_if_keys_are_configured() {
    let mut leader = Leader::start(configuration_with_keys()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.wait_until_ready(&mut leader).await;
    let cases = [
        (None, 401),
        (Some("runner.wrong"), 401),
        (Some("stranger.r"), 401),
        (Some("caller.c"), 403),
        (Some("runner.r"), 200),
        (Some("operator.o"), 200),
    ];
    for (key, status) in cases {
        let response = post_heartbeat(&agent, "runner-1", key, &heartbeat_body()).await;
        assert_eq!(response.status().as_u16(), status, "{key:?}");
    }
}

#[tokio::test]
async fn heartbeat_answer_contains_term() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.wait_until_ready(&mut leader).await;
    let response = post_heartbeat(&agent, "runner-1", None, &heartbeat_body()).await;
    let answer: HeartbeatAnswerBody = response
        .json()
        .await
        .expect("the response has no answer body");
    assert_eq!(answer.term, crate::harness::TERM.0);
    assert_eq!(answer.incarnation, 4);
}

#[tokio::test]
async fn invalid_heartbeats_are_rejected_with_reason() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.wait_until_ready(&mut leader).await;
    let mut other_host = heartbeat_body();
    other_host["orders_url"] = json!("http://192.0.2.1:80/orders");
    let mut misspelled = heartbeat_body();
    misspelled["holds"] = json!([]);
    let cases = [
        ("runner-1", other_host, "own machine"),
        ("runner-1", misspelled, "holds"),
        ("runner%201", heartbeat_body(), "a name holds only"),
        ("runner-1", json!([1]), "form"),
    ];
    for (runner, body, expected) in cases {
        let (status, rejection) =
            read_rejection(post_heartbeat(&agent, runner, None, &body).await).await;
        assert_eq!((status, rejection.code), (400, Code::Invalid));
        assert!(
            rejection.message.contains(expected),
            "{}",
            rejection.message
        );
    }
}
