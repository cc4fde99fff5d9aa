//! Stops of runs whose task or gang has ended, across changes of the leader.

use crate::runs::with_runner;
use crate::test_cluster::{TestCluster, jobs};
use state_machine::CancelSelector;
use transport::Operation;
use types::{JobState, Outcome};

/// Milliseconds after the last fault within which the runs of an ended task are stopped:
/// an election, the first heartbeats, and a repeated stop.
const STOP_TIMEOUT: u64 = 4_000;

fn cancel(cluster: &mut TestCluster, job: &str) {
    let selector = CancelSelector::Jobs(vec![jobs::key(job)]);
    cluster.request(Operation::Cancel(selector)).unwrap();
}

fn kill_leader(cluster: &mut TestCluster) {
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
}

fn run_until_all_stopped(cluster: &mut TestCluster) {
    cluster.run_until(STOP_TIMEOUT, "the stop of all runs", |cluster| {
        let mut agents = cluster.agents.iter();
        agents.all(|agent| agent.active.is_empty())
    });
    cluster.run(500);
    assert!(cluster.state_machine().open_runs().is_empty());
}

/// Guards against tasks of a cancelled job that run on: the leader acknowledges the
/// cancellation and is killed before it sends the stops.
#[test]
fn new_leader_stops_runs_of_job_cancelled_under_previous_leader() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cancel(&mut cluster, "job");
    assert_eq!(
        cluster.agents[0].active.len(),
        1,
        "the stop is not sent yet"
    );
    kill_leader(&mut cluster);
    run_until_all_stopped(&mut cluster);
}

/// Guards against the same loss when the runner cannot be reached while leaders change.
#[test]
fn stop_reaches_unreachable_runner_after_changes_of_leader() {
    let mut cluster = with_runner();
    cluster.agents[0].self_stop = false;
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    cancel(&mut cluster, "job");
    for _ in 0..2 {
        cluster.run(1_000);
        let leader = cluster.leader().unwrap();
        cluster.kill(leader);
        cluster.run_until(5_000, "another leader", |cluster| {
            cluster.leader().is_some()
        });
        cluster.start(leader);
        cluster.run(3_000);
    }
    cluster.agents[0].unresponsive = false;
    run_until_all_stopped(&mut cluster);
}

/// Guards against members of a gang that run on alone, and with it against a gang that never
/// starts again: the leader is killed after it recorded the end of one member.
#[test]
fn new_leader_stops_rest_of_gang_broken_under_previous_leader() {
    let mut cluster = with_runner();
    let mut gang = jobs::job("gang");
    gang.steps[0].tasks = 3;
    gang.steps[0].rules.gang = true;
    cluster.request(Operation::Submit(gang)).unwrap();
    cluster.run_until(500, "the start of the gang", |cluster| {
        cluster.agents[0].active.len() == 3
    });
    let member = *cluster.agents[0].active.keys().next().unwrap();
    cluster.agents[0].end(member, Outcome::Failed("a fault".to_owned()));
    cluster.run_until(500, "the end of the member", |cluster| {
        cluster.state_machine().open_run(member).is_none()
    });
    assert_eq!(cluster.agents[0].active.len(), 2, "no stop is sent yet");
    kill_leader(&mut cluster);
    cluster.run_until(
        STOP_TIMEOUT + 2_000,
        "another start of the gang",
        |cluster| cluster.agents[0].started.len() == 6,
    );
    assert_eq!(cluster.agents[0].active.len(), 3);
}

/// Guards against copies that run on after their task is done: the leader is killed after it
/// recorded the end of one copy.
#[test]
fn new_leader_stops_copies_of_task_done_under_previous_leader() {
    let mut cluster = with_runner();
    cluster.add_agent(2);
    let mut copied = jobs::job("copied");
    copied.steps[0].max_copies = 2;
    cluster.request(Operation::Submit(copied)).unwrap();
    cluster.run_until(3_000, "two copies", |cluster| cluster.starts().len() == 2);
    cluster.run(100);
    let run = *cluster.agents[0].active.keys().next().unwrap();
    cluster.agents[0].end(run, Outcome::Done);
    cluster.run_until(500, "the end of the task", |cluster| {
        cluster.job("copied").state == JobState::Done
    });
    assert_eq!(
        cluster.state_machine().open_runs().len(),
        1,
        "no stop is sent yet"
    );
    kill_leader(&mut cluster);
    run_until_all_stopped(&mut cluster);
}
