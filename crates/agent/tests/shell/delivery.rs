//! Orders and heartbeats between a leader, an agent and an emulated runner.

use crate::harness::{
    Leader, RunningAgent, loopback, run_id, runner_id, runner_options, start_order, with_timeout,
};
use configuration::ClusterConfiguration;
use emulator::runner::RunnerEvent;
use emulator::shell::RunnerServer;
use transport::{PeerMessage, RunnerUpdate};
use types::{Milliseconds, OrderAnswer, Outcome};

#[tokio::test]
async fn run_starts_ends_and_is_recorded() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    let started = RunnerServer::start(runner_options(), &agent.url, None, loopback());
    let (_runner, mut events) = started.await.unwrap();

    let (address, report) = leader.next_report().await;
    assert_eq!(report.runner, runner_id());
    leader.send_order(&address, start_order(&report));
    let result = leader.next_result().await;
    assert_eq!(result.answer, OrderAnswer::Started);
    assert_eq!(result.order, start_order(&report));

    let (_, report) = leader
        .next_report_where(|report| !report.ended.is_empty())
        .await;
    assert_eq!(report.ended[0].run, run_id());
    assert_eq!(report.ended[0].outcome, Outcome::Done);
    let update = RunnerUpdate {
        names: Vec::new(),
        term: crate::harness::TERM,
        runner: report.runner.clone(),
        incarnation: report.incarnation,
        confirmed: report.sequence,
        lease: Milliseconds(60_000),
        recorded: vec![run_id()],
        stop: Vec::new(),
    };
    leader.send(address.socket, PeerMessage::RunnerUpdate(update));
    leader
        .next_report_where(|report| report.ended.is_empty())
        .await;

    assert!(matches!(
        with_timeout(events.recv()).await,
        Some(RunnerEvent::Started(_))
    ));
    assert!(matches!(
        with_timeout(events.recv()).await,
        Some(RunnerEvent::Ended { .. })
    ));
}

#[tokio::test]
async fn order_to_killed_runner_is_reported_unknown() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    let started = RunnerServer::start(runner_options(), &agent.url, None, loopback());
    let (runner, _events) = started.await.unwrap();
    let (address, report) = leader.next_report().await;
    leader.serve_while(runner.kill()).await;
    leader.send_order(&address, start_order(&report));
    assert_eq!(leader.next_result().await.answer, OrderAnswer::Unknown);
}

#[tokio::test]
async fn graceful_stop_ends_session_and_returns() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.wait_until_ready(&mut leader).await;
    agent.request_stop();
    leader
        .receive_until(|envelope| match &envelope.body {
            PeerMessage::KeepAlive(keep_alive) if keep_alive.leaving => Some(()),
            _ => None,
        })
        .await;
    agent.wait_for_end().await.expect("the agent failed");
}
