//! HTTP client that sends heartbeats to the agent.

use crate::runner::RunnerInstruction;
use api::runner::{HEARTBEAT_ROUTE, HeartbeatAnswerBody, HeartbeatBody, OrdersUrl, RunText};
use reqwest::{Client, StatusCode};
use std::time::Duration;
use types::{
    HeartbeatSequence, Milliseconds, RunId, RunnerId, RunnerIncarnation, RunnerReport, Term,
};

/// Timeout of a heartbeat request.
const TIMEOUT: Duration = Duration::from_millis(500);

/// Client of one agent for the heartbeats of one runner.
#[derive(Debug, Clone)]
pub struct AgentClient {
    client: Client,
    url: String,
    key: Option<String>,
    orders_url: OrdersUrl,
}

impl AgentClient {
    /// Creates a client of the agent at `agent_url`. `key` is the bearer token, if
    /// keys are in use.
    pub fn new(
        agent_url: &str,
        runner: &RunnerId,
        key: Option<String>,
        orders_url: OrdersUrl,
    ) -> Result<Self, reqwest::Error> {
        let route = HEARTBEAT_ROUTE.replace("{runner}", runner.as_str());
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .timeout(TIMEOUT)
            .build()?;
        Ok(Self {
            client,
            url: format!("{}{route}", agent_url.trim_end_matches('/')),
            key,
            orders_url,
        })
    }

    /// Sends one heartbeat. Returns `None` if the request fails, or if its answer
    /// has another status than 200 or cannot be read.
    pub async fn send(&self, report: RunnerReport) -> Option<RunnerInstruction> {
        let body = HeartbeatBody::from_report(&report, &self.orders_url);
        let mut request = self.client.post(&self.url).json(&body);
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        let response = request.send().await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let bytes = response.bytes().await.ok()?;
        let answer: HeartbeatAnswerBody = api::runner::read(&bytes).ok()?;
        Some(instruction(answer))
    }
}

fn instruction(answer: HeartbeatAnswerBody) -> RunnerInstruction {
    let runs = |texts: Vec<RunText>| -> Vec<RunId> { texts.iter().map(|text| text.0).collect() };
    RunnerInstruction {
        term: Term(answer.term),
        confirmed: answer.confirmed.map(HeartbeatSequence),
        incarnation: RunnerIncarnation(answer.incarnation),
        lease: Milliseconds(answer.lease_ms),
        recorded: runs(answer.recorded),
        stop: runs(answer.stop),
    }
}
