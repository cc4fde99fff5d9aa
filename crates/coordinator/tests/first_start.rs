//! First start of a cluster, joining, replacement.

mod common;

use common::World;
use consensus::RaftRole;
use std::collections::BTreeSet;
use types::NodeId;

fn voters(world: &World, server: usize) -> BTreeSet<NodeId> {
    let status = world.status(server);
    status
        .map(|status| status.membership.voters.keys().copied().collect())
        .unwrap_or_default()
}

#[test]
fn a_cluster_forms_only_when_all_initial_coordinators_are_there() {
    let mut world = World::new(3);
    world.start(0);
    world.start(1);
    world.run(10_000);
    assert!((0..2).all(|server| world.status(server).is_none()));
    world.start(2);
    world.run_until(4_000, "a leader", |world| world.leader().is_some());
    let expected = BTreeSet::from([NodeId(1), NodeId(2), NodeId(3)]);
    assert!((0..3).all(|server| voters(&world, server) == expected));
}

#[test]
fn a_lone_empty_coordinator_never_founds_a_cluster() {
    let mut world = World::new(3);
    world.start(0);
    world.run(60_000);
    assert!(world.status(0).is_none());
}

#[test]
fn one_empty_coordinator_too_many_stops_the_first_start() {
    let mut world = World::new(4);
    (0..4).for_each(|server| world.start(server));
    world.run(10_000);
    assert!((0..4).all(|server| world.status(server).is_none()));
    world.kill(3);
    world.run_until(5_000, "a leader", |world| world.leader().is_some());
}

#[test]
fn a_proposal_whose_founder_dies_half_way_is_finished_by_the_others() {
    let mut world = World::new(3);
    for server in 0..3 {
        world.start(server);
    }
    // The founder is the one with the lowest identity.
    world.run_until(4_000, "one that accepted", |world| {
        world.status(1).is_some() || world.status(2).is_some()
    });
    world.kill(0);
    world.run_until(6_000, "a leader of the others", |world| {
        world.leader().is_some()
    });
    world.start(0);
    world.run(2_000);
    let status = world.status(0).expect("the founder came back");
    assert_eq!(status.role, RaftRole::Follower);
}

#[test]
fn an_initial_voter_that_saved_nothing_gets_the_proposal_again() {
    let mut world = World::new(3);
    for server in 0..3 {
        world.start(server);
    }
    world.run_until(4_000, "the founder's save", |world| {
        world.status(0).is_some()
    });
    world.kill(2);
    world.run_until(6_000, "a leader of two", |world| world.leader().is_some());
    world.start(2);
    world.run(3_000);
    let status = world.status(2).expect("the third took the proposal");
    assert_eq!(status.role, RaftRole::Follower);
    assert_eq!(voters(&world, 2).len(), 3);
}

#[test]
fn a_wiped_voter_is_replaced_within_three_seconds() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let lost = (leader + 1) % 3;
    let old = NodeId(world.servers[lost].next_identity);
    world.kill(lost);
    world.wipe(lost);
    let new = NodeId(world.servers[lost].next_identity);
    world.start(lost);
    world.run_until(3_000, "the new voter", |world| {
        let voters = voters(world, leader);
        voters.len() == 3 && voters.contains(&new) && !voters.contains(&old)
    });
    // A second loss is survived.
    world.submit("before");
    world.kill((leader + 2) % 3);
    world.run(3_000);
    world.submit("after");
}

#[test]
fn a_voter_gone_for_good_is_replaced_by_one_at_another_address() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let lost = (leader + 1) % 3;
    world.kill(lost);
    let server = &mut world.servers[lost];
    server.store = None;
    server.port = 8_050;
    server.next_identity = 77;
    world.start(lost);
    world.run_until(8_000, "the new voter", |world| {
        let voters = voters(world, leader);
        voters.len() == 3 && voters.contains(&NodeId(77))
    });
}

#[test]
fn a_replaced_voter_that_comes_back_does_not_disturb() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    let lost = (leader + 1) % 3;
    world.kill(lost);
    let store = world.servers[lost].store.take();
    world.servers[lost].port = 8_050;
    world.servers[lost].next_identity = 77;
    world.start(lost);
    world.run(8_000);
    let term = world.status(leader).unwrap().term;
    world
        .servers
        .push(common::Server::from_disk(8_000 + lost as u16, store));
    world.start(3);
    world.run(5_000);
    let status = world.status(leader).unwrap();
    assert_eq!(status.term, term, "no election");
    assert_eq!(status.membership.voters.len(), 3);
    assert_eq!(world.status(3).unwrap().role, RaftRole::Learner);
}

#[test]
fn a_polite_stop_hands_leadership_over_first() {
    let mut world = World::served();
    let leader = world.leader().unwrap();
    world.input(leader, coordinator::Input::Stop);
    world.run_until(1_000, "the end", |world| world.servers[leader].stopped);
    world.kill(leader);
    world.run_until(500, "a successor", |world| world.leader().is_some());
}

#[test]
fn a_follower_stops_at_once() {
    let mut world = World::served();
    let follower = (world.leader().unwrap() + 1) % 3;
    world.input(follower, coordinator::Input::Stop);
    assert!(world.servers[follower].stopped);
}

#[test]
fn all_coordinators_come_back_from_their_disks_together() {
    let mut world = World::served();
    world.submit("kept");
    for server in 0..3 {
        world.kill(server);
    }
    world.run(5_000);
    for server in 0..3 {
        world.start(server);
    }
    world.run_until(5_000, "a leader", |world| world.leader().is_some());
    world.job("kept");
}
