//! Checks of the test harness: with a safety mechanism disabled by a mutation,
//! the property that the other tests assert must be violated.

use crate::test_cluster::{TestCluster, jobs};
use coordinator::{Effect, Mutation};
use transport::{Operation, PeerMessage};

fn mutated(mutation: Mutation) -> TestCluster {
    let mut cluster = TestCluster::ready_with(Some(mutation));
    cluster.add_agent(1);
    cluster
}

#[test]
fn resent_start_is_detected() {
    let mut cluster = mutated(Mutation::ResendStartInsteadOfRevoke);
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run(5_000);
    assert!(!cluster.each_start_is_sent_once());
}

#[test]
fn unanswered_start_closed_without_revocation_is_detected() {
    let mut cluster = mutated(Mutation::CloseUnansweredStart);
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run(5_000);
    // Without a revocation there is no tombstone for the first run, so its runner
    // would accept both starts.
    let held = cluster.agents[0].held_starts.clone();
    assert!(held.len() >= 2);
    assert!(cluster.agents[0].tombstones.is_empty());
}

#[test]
fn acknowledgement_before_commit_is_detected() {
    let mut cluster = mutated(Mutation::AcknowledgeBeforeCommit);
    for server in 0..3 {
        cluster.servers[server].disk_held = true;
    }
    let id = cluster.send_request(Operation::Submit(jobs::job("job")));
    cluster.run(10);
    assert!(cluster.replies.contains_key(&id));
}

#[test]
fn messages_of_a_resumed_leader_without_lease_are_detected() {
    let mut cluster = mutated(Mutation::SkipLeaseCheck);
    let frozen = cluster.leader().unwrap();
    cluster.servers[frozen].frozen = true;
    cluster.run(10_000);
    let effects = cluster.resume(frozen);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Send {
            message: PeerMessage::RunnerUpdate(_) | PeerMessage::Lease(_),
            ..
        }
    )));
}

#[test]
fn runs_closed_before_their_lease_expires_are_detected() {
    let mut cluster = mutated(Mutation::ExpireRunsEarly);
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].unresponsive = true;
    cluster.run(3_000);
    assert!(cluster.state_machine().open_runs().is_empty());
}
