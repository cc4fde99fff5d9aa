//! Each mechanism is needed: if it is disabled, some seed violates an
//! invariant; if it is enabled, none does.

mod cluster;

use cluster::checker::Violation;
use cluster::{Cluster, Network};
use consensus::Mutation;
use rand::Rng;
use types::NodeId;

const SEEDS: std::ops::Range<u64> = 0..100;

type Scenario = fn(&mut Cluster, NodeId) -> Result<(), Violation>;

fn violations(scenario: Scenario, mutation: Option<Mutation>) -> Vec<Violation> {
    let run = |seed| {
        let mut cluster = Cluster::new(seed, 3, 3, mutation);
        let leader = cluster.wait_for_leader()?;
        let pause = cluster.random.random_range(500..1_500);
        cluster.run(pause)?;
        if cluster.leader() == Some(leader) {
            scenario(&mut cluster, leader)
        } else {
            Ok(())
        }
    };
    SEEDS.filter_map(|seed| run(seed).err()).collect()
}

fn assert_needed(scenario: Scenario, mutation: Mutation, expected: Violation) {
    let found = violations(scenario, Some(mutation));
    assert!(found.contains(&expected), "disabled: {found:?}");
    assert_eq!(violations(scenario, None), [], "enabled");
}

fn followers(leader: NodeId) -> (NodeId, NodeId) {
    match leader.0 {
        1 => (NodeId(2), NodeId(3)),
        2 => (NodeId(1), NodeId(3)),
        _ => (NodeId(1), NodeId(2)),
    }
}

fn cut_link(cluster: &mut Cluster, first: NodeId, second: NodeId) {
    cluster.cuts.insert((first, second));
    cluster.cuts.insert((second, first));
}

/// Cuts the links between the leader and one follower. The other follower
/// remains connected to both, and must not vote for the disconnected one while
/// the leader's lease lasts.
fn leader_link_of_follower_fails(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (disconnected, _) = followers(leader);
    cut_link(cluster, leader, disconnected);
    cluster.run(5_000)
}

#[test]
fn vote_despite_live_leader_allows_two_leases() {
    let mutation = Mutation::VoteDespiteLeader;
    assert_needed(
        leader_link_of_follower_fails,
        mutation,
        Violation::TwoLeases,
    );
}

/// Cuts the same links, and restarts the connected follower repeatedly, so that
/// it loses its vote restriction.
fn connected_follower_restarts(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (disconnected, connected) = followers(leader);
    cut_link(cluster, leader, disconnected);
    for _ in 0..20 {
        let pause = cluster.random.random_range(50..400);
        cluster.run(pause)?;
        cluster.crash(connected);
        cluster.start(connected);
        cluster.process_output()?;
    }
    Ok(())
}

#[test]
fn vote_without_wait_after_restart_allows_two_leases() {
    let mutation = Mutation::VoteAfterRestart;
    assert_needed(connected_follower_restarts, mutation, Violation::TwoLeases);
}

/// Delays the replies to the leader, and then cuts its links to the followers.
/// A lease that begins at the arrival of a late reply outlasts the followers'
/// vote restriction.
fn replies_to_leader_are_delayed(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    cluster.network = Network {
        slow: 1.0,
        max_delay: 900,
        slow_to: Some(leader),
        ..Network::RELIABLE
    };
    cluster.run(600)?;
    cluster.isolate(leader, true, false);
    cluster.run(5_000)
}

#[test]
fn lease_from_arrival_of_reply_allows_two_leases() {
    let mutation = Mutation::LeaseFromReply;
    assert_needed(
        replies_to_leader_are_delayed,
        mutation,
        Violation::TwoLeases,
    );
}

/// Begins a leadership transfer, and then cuts the links to the leader, so that
/// it does not receive the new term.
fn leader_receives_nothing_after_transfer(
    cluster: &mut Cluster,
    leader: NodeId,
) -> Result<(), Violation> {
    let now = cluster.now;
    cluster.machine(leader).transfer(now);
    cluster.process_output()?;
    cluster.isolate(leader, false, true);
    cluster.run(4_000)
}

#[test]
fn lease_kept_during_transfer_allows_two_leases() {
    let mutation = Mutation::LeaseDuringTransfer;
    assert_needed(
        leader_receives_nothing_after_transfer,
        mutation,
        Violation::TwoLeases,
    );
}

/// Crashes the one follower that acknowledged an entry, without its unsynced
/// writes, and then isolates the leader. If the reply was sent before the sync,
/// a committed entry is lost.
fn acknowledging_follower_loses_power(
    cluster: &mut Cluster,
    leader: NodeId,
) -> Result<(), Violation> {
    let (isolated, connected) = followers(leader);
    cluster.isolate(isolated, true, true);
    cluster.propose(1);
    cluster.process_output()?;
    let pause = cluster.random.random_range(5..25);
    cluster.run(pause)?;
    cluster.machine(connected).crash(0);
    cluster.start(connected);
    cluster.cuts.clear();
    cluster.isolate(leader, true, true);
    cluster.run(6_000)
}

#[test]
fn reply_before_sync_loses_committed_entry() {
    let mutation = Mutation::ReplyBeforeSync;
    assert_needed(
        acknowledging_follower_loses_power,
        mutation,
        Violation::Divergence,
    );
}

/// Isolates a follower for a while. The leader must keep its term when the
/// follower is connected again.
fn isolated_follower_reconnects(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (isolated, _) = followers(leader);
    let term_before = cluster.machine(leader).term(0);
    cluster.isolate(isolated, true, true);
    cluster.run(5_000)?;
    cluster.cuts.clear();
    cluster.run(5_000)?;
    if cluster.machine(leader).term(0) == term_before {
        Ok(())
    } else {
        Err(Violation::Deposed)
    }
}

#[test]
fn election_without_pre_vote_deposes_live_leader() {
    let mutation = Mutation::SkipPreVote;
    assert_needed(isolated_follower_reconnects, mutation, Violation::Deposed);
}
