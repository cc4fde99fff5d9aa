//! First start of a cluster, joining, replacement.

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
fn a_cluster_forms_only_when_all_initial_coordinators_are_there() {
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
fn a_lone_empty_coordinator_never_founds_a_cluster() {
    let mut cluster = TestCluster::new(3);
    cluster.start(0);
    cluster.run(60_000);
    assert!(cluster.status(0).is_none());
}

#[test]
fn one_empty_coordinator_too_many_stops_the_first_start() {
    let mut cluster = TestCluster::new(4);
    (0..4).for_each(|server| cluster.start(server));
    cluster.run(10_000);
    assert!((0..4).all(|server| cluster.status(server).is_none()));
    cluster.kill(3);
    cluster.run_until(5_000, "a leader", |cluster| cluster.leader().is_some());
}

#[test]
fn a_proposal_whose_founder_dies_half_way_is_finished_by_the_others() {
    let mut cluster = TestCluster::new(3);
    for server in 0..3 {
        cluster.start(server);
    }
    // The founder is the one with the lowest identity.
    cluster.run_until(4_000, "one that accepted", |cluster| {
        cluster.status(1).is_some() || cluster.status(2).is_some()
    });
    cluster.kill(0);
    cluster.run_until(6_000, "a leader of the others", |cluster| {
        cluster.leader().is_some()
    });
    cluster.start(0);
    cluster.run(2_000);
    let status = cluster.status(0).expect("the founder came back");
    assert_eq!(status.role, RaftRole::Follower);
}

#[test]
fn an_initial_voter_that_saved_nothing_gets_the_proposal_again() {
    let mut cluster = TestCluster::new(3);
    for server in 0..3 {
        cluster.start(server);
    }
    cluster.run_until(4_000, "the founder's save", |cluster| {
        cluster.status(0).is_some()
    });
    cluster.kill(2);
    cluster.run_until(6_000, "a leader of two", |cluster| {
        cluster.leader().is_some()
    });
    cluster.start(2);
    cluster.run(3_000);
    let status = cluster.status(2).expect("the third took the proposal");
    assert_eq!(status.role, RaftRole::Follower);
    assert_eq!(voters(&cluster, 2).len(), 3);
}

#[test]
fn a_wiped_voter_is_replaced_within_three_seconds() {
    let mut cluster = TestCluster::served();
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
    // A second loss is survived.
    cluster.submit("before");
    cluster.kill((leader + 2) % 3);
    cluster.run(3_000);
    cluster.submit("after");
}

#[test]
fn a_voter_gone_for_good_is_replaced_by_one_at_another_address() {
    let mut cluster = TestCluster::served();
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

#[test]
fn a_replaced_voter_that_comes_back_does_not_disturb() {
    let mut cluster = TestCluster::served();
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
    assert_eq!(status.term, term, "no election");
    assert_eq!(status.membership.voters.len(), 3);
    assert_eq!(cluster.status(3).unwrap().role, RaftRole::Learner);
}

#[test]
fn a_polite_stop_hands_leadership_over_first() {
    let mut cluster = TestCluster::served();
    let leader = cluster.leader().unwrap();
    cluster.input(leader, coordinator::Input::Stop);
    cluster.run_until(1_000, "the end", |cluster| cluster.servers[leader].stopped);
    cluster.kill(leader);
    cluster.run_until(500, "a successor", |cluster| cluster.leader().is_some());
}

#[test]
fn a_follower_stops_at_once() {
    let mut cluster = TestCluster::served();
    let follower = (cluster.leader().unwrap() + 1) % 3;
    cluster.input(follower, coordinator::Input::Stop);
    assert!(cluster.servers[follower].stopped);
}

#[test]
fn all_coordinators_come_back_from_their_disks_together() {
    let mut cluster = TestCluster::served();
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
