//! Bootstrap of a cluster, replacement of voters, graceful shutdown and restart.

use crate::test_cluster::TestCluster;
use consensus::RaftRole;
use std::collections::BTreeSet;
use types::NodeId;

fn voters(cluster: &TestCluster, server: usize) -> BTreeSet<NodeId> {
    let status = cluster.status(server);
    status
        .map(|status| status.membership.voters.keys().copied().collect())
        .unwrap_or_default()
}

#[test]
fn bootstrap_waits_for_all_initial_coordinators() {
    let mut cluster = TestCluster::new(3);
    cluster.start(0);
    cluster.start(1);
    cluster.run(10_000);
    assert!((0..2).all(|server| cluster.status(server).is_none()));
    cluster.start(2);
    cluster.run_until(4_000, "a leader", |cluster| cluster.leader().is_some());
    let expected = BTreeSet::from([NodeId(1), NodeId(2), NodeId(3)]);
    assert!((0..3).all(|server| voters(&cluster, server) == expected));
}

#[test]
fn single_empty_coordinator_never_bootstraps_a_cluster() {
    let mut cluster = TestCluster::new(3);
    cluster.start(0);
    cluster.run(60_000);
    assert!(cluster.status(0).is_none());
}

/// With more empty coordinators than expected, two proposals could each be accepted by
/// a majority of their voters. No coordinator may propose until the extra one is gone.
#[test]
fn extra_empty_coordinator_blocks_bootstrap() {
    let mut cluster = TestCluster::new(4);
    (0..4).for_each(|server| cluster.start(server));
    cluster.run(10_000);
    assert!((0..4).all(|server| cluster.status(server).is_none()));
    cluster.kill(3);
    cluster.run_until(5_000, "a leader", |cluster| cluster.leader().is_some());
}

/// The proposer crashes when only one other voter has saved its proposal. That voter
/// must resend the proposal.
#[test]
fn bootstrap_completes_after_a_crash_of_the_proposer() {
    let mut cluster = TestCluster::new(3);
    for server in 0..3 {
        cluster.start(server);
    }
    // The coordinator with the lowest identity proposes.
    cluster.run_until(4_000, "an accepted proposal", |cluster| {
        cluster.status(1).is_some() || cluster.status(2).is_some()
    });
    cluster.kill(0);
    cluster.run_until(6_000, "a leader among the others", |cluster| {
        cluster.leader().is_some()
    });
    cluster.start(0);
    cluster.run(2_000);
    let status = cluster
        .status(0)
        .expect("the proposer must rejoin the cluster");
    assert_eq!(status.role, RaftRole::Follower);
}

/// A voter crashes before it receives the proposal and restarts without a cluster.
#[test]
fn initial_voter_without_a_saved_proposal_gets_it_again() {
    let mut cluster = TestCluster::new(3);
    for server in 0..3 {
        cluster.start(server);
    }
    cluster.run_until(4_000, "the saved proposal", |cluster| {
        cluster.status(0).is_some()
    });
    cluster.kill(2);
    cluster.run_until(6_000, "a leader of two voters", |cluster| {
        cluster.leader().is_some()
    });
    cluster.start(2);
    cluster.run(3_000);
    let status = cluster
        .status(2)
        .expect("the third voter must accept the proposal");
    assert_eq!(status.role, RaftRole::Follower);
    assert_eq!(voters(&cluster, 2).len(), 3);
}

#[test]
fn wiped_voter_is_replaced_within_three_seconds() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let lost = (leader + 1) % 3;
    let old = NodeId(cluster.servers[lost].next_identity);
    cluster.kill(lost);
    cluster.wipe(lost);
    let new = NodeId(cluster.servers[lost].next_identity);
    cluster.start(lost);
    cluster.run_until(3_000, "the new voter", |cluster| {
        let voters = voters(cluster, leader);
        voters.len() == 3 && voters.contains(&new) && !voters.contains(&old)
    });
    // The cluster must tolerate the loss of another voter.
    cluster.submit("before");
    cluster.kill((leader + 2) % 3);
    cluster.run(3_000);
    cluster.submit("after");
}

#[test]
fn lost_voter_is_replaced_by_one_at_another_address() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let lost = (leader + 1) % 3;
    cluster.kill(lost);
    let server = &mut cluster.servers[lost];
    server.store = None;
    server.port = 8_050;
    server.next_identity = 77;
    cluster.start(lost);
    cluster.run_until(8_000, "the new voter", |cluster| {
        let voters = voters(cluster, leader);
        voters.len() == 3 && voters.contains(&NodeId(77))
    });
}

/// A voter that was replaced while offline still considers itself a member. It must not
/// depose the leader, and must rejoin as a learner.
#[test]
fn replaced_voter_that_restarts_causes_no_election() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    let lost = (leader + 1) % 3;
    cluster.kill(lost);
    let store = cluster.servers[lost].store.take();
    cluster.servers[lost].port = 8_050;
    cluster.servers[lost].next_identity = 77;
    cluster.start(lost);
    cluster.run(8_000);
    let term = cluster.status(leader).unwrap().term;
    cluster.servers.push(crate::test_cluster::Server::from_disk(
        8_000 + u16::try_from(lost).unwrap(),
        store,
    ));
    cluster.start(3);
    cluster.run(5_000);
    let status = cluster.status(leader).unwrap();
    assert_eq!(status.term, term, "the restarted voter caused an election");
    assert_eq!(status.membership.voters.len(), 3);
    assert_eq!(cluster.status(3).unwrap().role, RaftRole::Learner);
}

#[test]
fn graceful_shutdown_transfers_leadership_first() {
    let mut cluster = TestCluster::ready();
    let leader = cluster.leader().unwrap();
    cluster.input(leader, coordinator::Input::Stop);
    cluster.run_until(1_000, "the end of the shutdown", |cluster| {
        cluster.servers[leader].stopped
    });
    cluster.kill(leader);
    cluster.run_until(500, "a successor", |cluster| cluster.leader().is_some());
}

#[test]
fn follower_shuts_down_immediately() {
    let mut cluster = TestCluster::ready();
    let follower = (cluster.leader().unwrap() + 1) % 3;
    cluster.input(follower, coordinator::Input::Stop);
    assert!(cluster.servers[follower].stopped);
}

#[test]
fn cluster_recovers_after_a_restart_of_all_coordinators() {
    let mut cluster = TestCluster::ready();
    cluster.submit("kept");
    for server in 0..3 {
        cluster.kill(server);
    }
    cluster.run(5_000);
    for server in 0..3 {
        cluster.start(server);
    }
    cluster.run_until(5_000, "a leader", |cluster| cluster.leader().is_some());
    cluster.job("kept");
}
