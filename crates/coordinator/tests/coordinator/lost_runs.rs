//! Runs that are given up: of unresponsive, restarted and replaced runners.

use crate::runs::with_runner;
use crate::test_cluster::jobs;
use configuration::Timings;
use types::{EndpointName, JobState, Outcome, RunnerId};

/// Returns the milliseconds without a heartbeat after which a leader closes the
/// runs of a runner.
fn expiry_of_runs() -> u64 {
    let timings = Timings::default();
    (timings.run_lease + timings.run_lease_margin).0
}

/// A runner stops its runs when the run lease expires. If the leader closed them
/// earlier, two runs of one task could be active.
#[test]
fn run_of_unresponsive_runner_is_closed_after_lease_and_margin_and_stays_closed() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let old = cluster.agents[0].started[0];
    cluster.agents[0].unresponsive = true;
    cluster.add_agent(2);
    // The runner sent nothing during the second in which the other one was added.
    cluster.run(expiry_of_runs() - 1_500);
    assert!(
        cluster.agents[1].started.is_empty(),
        "the lease and its margin have not expired"
    );
    cluster.run_until(2_000, "the task on another runner", |cluster| {
        cluster.agents[1].started.len() == 1
    });
    // The late end of the old run must neither reopen the run nor complete the
    // task.
    cluster.agents[0].end_all(Outcome::Done);
    cluster.agents[0].unresponsive = false;
    cluster.run(1_000);
    assert_eq!(cluster.job("job").state, JobState::Running);
    assert!(
        cluster.agents[0].ended.is_empty(),
        "the end of a closed run must be confirmed"
    );
    assert!(cluster.state_machine().open_run(old).is_none());
    cluster.agents[1].end_all(Outcome::Done);
    cluster.run(500);
    assert_eq!(cluster.job("job").state, JobState::Done);
}

/// While the leader's lease is expired, the time until runs are closed is extended. It
/// must not start over, or a lease that expires repeatedly would keep runs open
/// forever.
#[test]
fn runs_of_unresponsive_runner_are_closed_despite_expiries_of_the_leader_lease() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    let leader = cluster.leader().unwrap();
    let followers = [(leader + 1) % 3, (leader + 2) % 3];
    let term = cluster.status(leader).unwrap().term;
    let mut expiries = 0;
    let mut expired_for = 0;
    let unresponsive_since = cluster.now;
    while cluster.now - unresponsive_since < expiry_of_runs() + expired_for + 1_000 {
        cluster.run(2_000);
        // The followers receive messages but cannot answer before a sync: the
        // lease expires, but the leader does not change.
        let held_at = cluster.now;
        for follower in followers {
            cluster.servers[follower].disk_held = true;
        }
        cluster.send_request(transport::Operation::Submit(jobs::job(&format!(
            "at-{held_at}"
        ))));
        cluster.run_until(2_000, "the expiry of the lease", |cluster| {
            cluster.leader().is_none()
        });
        for follower in followers {
            cluster.release_disk(follower);
        }
        cluster.run_until(1_000, "a renewed lease", |cluster| {
            cluster.leader().is_some()
        });
        expiries += 1;
        expired_for += cluster.now - held_at;
    }
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.status(leader).unwrap().term, term);
    assert!(expiries > 4, "{expiries}");
    assert_eq!(
        cluster.job("job").steps[0].running,
        0,
        "the run must be closed"
    );
}

/// The runner reports a run as done after the leader closed it as lost, and before the
/// task got a new run. The work must not be repeated.
#[test]
fn late_done_report_of_a_lost_run_completes_its_task() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    cluster.agents[0].end_all(Outcome::Done);
    cluster.run(expiry_of_runs() + 1_000);
    assert!(
        cluster.state_machine().open_runs().is_empty(),
        "the run must be closed"
    );
    assert_eq!(cluster.job("job").state, JobState::Running);
    cluster.agents[0].unresponsive = false;
    cluster.run(2_000);
    assert_eq!(cluster.job("job").state, JobState::Done);
    assert_eq!(
        cluster.agents[0].started.len(),
        1,
        "a completed task must not start again"
    );
    assert!(
        cluster.agents[0].ended.is_empty(),
        "the recorded end must be confirmed"
    );
}

#[test]
fn runner_without_self_stop_keeps_its_runs_until_declared_lost() {
    let mut cluster = with_runner();
    cluster.agents[0].self_stop = false;
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    cluster.run(60_000);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
    let runner = cluster.agents[0].runner.clone();
    let answer = cluster.request(transport::Operation::DeclareRunnerLost { runner });
    assert!(matches!(answer, Ok(transport::OperationReply::RunsLost { runs }) if runs.len() == 1));
    assert!(cluster.state_machine().open_runs().is_empty());
}

#[test]
fn new_leader_keeps_runs_of_unresponsive_runner_without_self_stop() {
    let mut cluster = with_runner();
    cluster.agents[0].self_stop = false;
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    cluster.agents[0].unresponsive = true;
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run(60_000);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
}

/// A runner restarts without its state while its run is open. Its new heartbeats must
/// not keep that run open.
#[test]
fn runs_of_an_earlier_incarnation_are_lost() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    let agent = &mut cluster.agents[0];
    agent.incarnation = 2;
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 2);
    assert!(cluster.each_start_is_sent_once());
}

/// Two runners cannot listen on one endpoint, so a new runner there proves that the
/// previous one has ended.
#[test]
fn new_runner_at_the_same_endpoint_ends_runs_of_the_previous_runner() {
    let mut cluster = with_runner();
    cluster.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    assert_eq!(cluster.agents[0].started.len(), 1);
    let agent = &mut cluster.agents[0];
    agent.runner = RunnerId::new("successor").unwrap();
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 2);
    assert!(cluster.each_start_is_sent_once());
}

#[test]
fn new_runner_at_another_endpoint_ends_no_runs() {
    let mut cluster = with_runner();
    cluster.agents[0].endpoint = EndpointName::new("10.0.0.1:80").ok();
    cluster.run(500);
    cluster.submit("job");
    cluster.run(500);
    let agent = &mut cluster.agents[0];
    agent.runner = RunnerId::new("another").unwrap();
    agent.endpoint = EndpointName::new("10.0.0.2:80").ok();
    agent.active.clear();
    cluster.run(1_000);
    assert_eq!(cluster.agents[0].started.len(), 1);
}

/// A new leader does not know when the runner last got a lease, so it must assume that
/// it was just before the election.
#[test]
fn new_leader_waits_lease_and_margin_for_a_runner_without_heartbeat() {
    let mut cluster = with_runner();
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    let leader = cluster.leader().unwrap();
    cluster.kill(leader);
    cluster.run_until(5_000, "a new leader", |cluster| cluster.leader().is_some());
    cluster.run(expiry_of_runs() - 500);
    assert_eq!(cluster.state_machine().open_runs().len(), 1);
    cluster.run(1_000);
    assert!(cluster.state_machine().open_runs().is_empty());
}
