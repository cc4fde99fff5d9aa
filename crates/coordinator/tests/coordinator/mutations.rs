//! The properties that the other tests assert are broken when a mechanism is
//! switched off: the tests would notice.

use crate::test_cluster::{TestCluster, jobs};
use coordinator::{Effect, Mutation};
use transport::{Operation, PeerMessage};

fn mutated(mutation: Mutation) -> TestCluster {
    let mut cluster = TestCluster::served_with(Some(mutation));
    cluster.add_agent(1);
    cluster
}

#[test]
fn a_start_sent_again_is_seen() {
    let mut cluster = mutated(Mutation::ResendStartInsteadOfRevoke);
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run(5_000);
    assert!(!cluster.each_start_is_sent_once());
}

#[test]
fn a_task_freed_without_a_void_is_seen() {
    let mut cluster = mutated(Mutation::CloseUnansweredStart);
    cluster.agents[0].hold_starts = true;
    cluster.submit("job");
    cluster.run(5_000);
    // Both starts may land: nothing put a tombstone in the first one's way.
    let kept = cluster.agents[0].kept_starts.clone();
    assert!(kept.len() >= 2);
    assert!(cluster.agents[0].tombstones.is_empty());
}

#[test]
fn an_acknowledgement_before_the_commit_is_seen() {
    let mut cluster = mutated(Mutation::AcknowledgeBeforeCommit);
    for server in 0..3 {
        cluster.servers[server].disk_held = true;
    }
    let id = cluster.ask(Operation::Submit(jobs::job("job")));
    cluster.run(10);
    assert!(cluster.replies.contains_key(&id));
}

#[test]
fn acts_of_a_woken_leader_without_its_lease_are_seen() {
    let mut cluster = mutated(Mutation::SkipLeaseCheck);
    let frozen = cluster.leader().unwrap();
    cluster.servers[frozen].frozen = true;
    cluster.run(10_000);
    let effects = cluster.wake(frozen);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Send {
            message: PeerMessage::RunnerUpdate(_) | PeerMessage::Lease(_),
            ..
        }
    )));
}

#[test]
fn runs_given_up_before_their_lease_are_seen() {
    let mut cluster = mutated(Mutation::ExpireRunsEarly);
    cluster.submit("job");
    cluster.run(500);
    cluster.agents[0].silent = true;
    cluster.run(3_000);
    assert!(cluster.state_machine().open_runs().is_empty());
}
