//! Orders and heartbeats from end to end.

use crate::bench::{
    Leader, RunningAgent, guarded, loopback, run_id, runner_id, runner_options, start,
};
use configuration::ClusterConfiguration;
use emulator::runner::RunnerEvent;
use emulator::shell::RunnerServer;
use transport::{PeerMessage, RunnerUpdate};
use types::{Milliseconds, OrderAnswer, Outcome};

#[tokio::test]
async fn a_run_starts_ends_and_is_recorded() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    let started = RunnerServer::start(runner_options(), &agent.url, None, loopback());
    let (_runner, mut history) = started.await.unwrap();

    let (address, report) = leader.report().await;
    assert_eq!(report.runner, runner_id());
    leader.order(&address, start(&report));
    let result = leader.result().await;
    assert_eq!(result.answer, OrderAnswer::Started);
    assert_eq!(result.order, start(&report));

    let (_, report) = leader.report_with(|report| !report.ended.is_empty()).await;
    assert_eq!(report.ended[0].run, run_id());
    assert_eq!(report.ended[0].outcome, Outcome::Done);
    let update = RunnerUpdate {
        names: Vec::new(),
        term: crate::bench::TERM,
        runner: report.runner.clone(),
        incarnation: report.incarnation,
        confirmed: report.sequence,
        lease: Milliseconds(60_000),
        recorded: vec![run_id()],
        stop: Vec::new(),
    };
    leader.send(address.socket, PeerMessage::RunnerUpdate(update));
    leader.report_with(|report| report.ended.is_empty()).await;

    assert!(matches!(
        guarded(history.recv()).await,
        Some(RunnerEvent::Started(_))
    ));
    assert!(matches!(
        guarded(history.recv()).await,
        Some(RunnerEvent::Ended { .. })
    ));
}

#[tokio::test]
async fn a_dead_runner_leaves_the_order_unknown() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    let started = RunnerServer::start(runner_options(), &agent.url, None, loopback());
    let (runner, _history) = started.await.unwrap();
    let (address, report) = leader.report().await;
    leader.during(runner.kill()).await;
    leader.order(&address, start(&report));
    assert_eq!(leader.result().await.answer, OrderAnswer::Unknown);
}

#[tokio::test]
async fn a_polite_stop_says_goodbye_and_ends() {
    let mut leader = Leader::start(ClusterConfiguration::default()).await;
    let agent = RunningAgent::start(&leader).await;
    agent.ready(&mut leader).await;
    agent.ask_to_stop();
    leader
        .until(|envelope| match &envelope.body {
            PeerMessage::KeepAlive(keep_alive) if keep_alive.leaving => Some(()),
            _ => None,
        })
        .await;
    agent.ended().await.expect("a clean end");
}
