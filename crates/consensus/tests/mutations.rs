//! Each mechanism is needed: with it off some seed breaks a promise, with it
//! on none does.

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

fn assert_needed(scenario: Scenario, mutation: Mutation, promise: Violation) {
    let broken = violations(scenario, Some(mutation));
    assert!(broken.contains(&promise), "off: {broken:?}");
    assert_eq!(violations(scenario, None), [], "on");
}

fn followers(leader: NodeId) -> (NodeId, NodeId) {
    match leader.0 {
        1 => (NodeId(2), NodeId(3)),
        2 => (NodeId(1), NodeId(3)),
        _ => (NodeId(1), NodeId(2)),
    }
}

fn part(cluster: &mut Cluster, left: NodeId, right: NodeId) {
    cluster.cuts.insert((left, right));
    cluster.cuts.insert((right, left));
}

/// One follower loses sight of the leader, the other sees both.
fn follower_loses_leader(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (stray, _) = followers(leader);
    part(cluster, leader, stray);
    cluster.run(5_000)
}

#[test]
fn without_the_promise_to_a_live_leader_a_seed_breaks_the_lease() {
    let mutation = Mutation::VoteDespiteLeader;
    assert_needed(follower_loses_leader, mutation, Violation::TwoLeases);
}

/// As before, and the one that sees both restarts again and again.
fn witness_restarts(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (stray, witness) = followers(leader);
    part(cluster, leader, stray);
    for _ in 0..20 {
        let pause = cluster.random.random_range(50..400);
        cluster.run(pause)?;
        cluster.crash(witness);
        cluster.start(witness);
        cluster.settle()?;
    }
    Ok(())
}

#[test]
fn without_the_wait_after_restart_a_seed_breaks_the_lease() {
    let mutation = Mutation::VoteAfterRestart;
    assert_needed(witness_restarts, mutation, Violation::TwoLeases);
}

/// Answers are long under way when the leader's own messages stop.
fn answers_come_late(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    cluster.network = Network {
        slow: 1.0,
        longest_delay: 900,
        slow_to: Some(leader),
        ..Network::GOOD
    };
    cluster.run(600)?;
    cluster.cut_off(leader, true, false);
    cluster.run(5_000)
}

#[test]
fn without_dating_by_the_round_a_seed_breaks_the_lease() {
    let mutation = Mutation::LeaseFromReply;
    assert_needed(answers_come_late, mutation, Violation::TwoLeases);
}

/// The leader hands over and then hears nothing more.
fn leader_goes_deaf_in_transfer(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let now = cluster.now;
    cluster.machine(leader).transfer(now);
    cluster.settle()?;
    cluster.cut_off(leader, false, true);
    cluster.run(4_000)
}

#[test]
fn without_giving_up_the_lease_in_a_transfer_a_seed_breaks_the_lease() {
    let mutation = Mutation::LeaseDuringTransfer;
    assert_needed(leader_goes_deaf_in_transfer, mutation, Violation::TwoLeases);
}

/// The one follower that acknowledged loses power; the leader is lost.
fn acknowledger_loses_power(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (absent, witness) = followers(leader);
    cluster.cut_off(absent, true, true);
    cluster.propose(1);
    cluster.settle()?;
    let pause = cluster.random.random_range(5..25);
    cluster.run(pause)?;
    cluster.machine(witness).crash(0);
    cluster.start(witness);
    cluster.cuts.clear();
    cluster.cut_off(leader, true, true);
    cluster.run(6_000)
}

#[test]
fn without_sync_before_reply_a_seed_loses_a_committed_entry() {
    let mutation = Mutation::ReplyBeforeSync;
    assert_needed(acknowledger_loses_power, mutation, Violation::Divergence);
}

/// A follower is cut off for a while and returns; the leader should stay.
fn follower_returns(cluster: &mut Cluster, leader: NodeId) -> Result<(), Violation> {
    let (stray, _) = followers(leader);
    let before = cluster.machine(leader).term(0);
    cluster.cut_off(stray, true, true);
    cluster.run(5_000)?;
    cluster.cuts.clear();
    cluster.run(5_000)?;
    if cluster.machine(leader).term(0) == before {
        Ok(())
    } else {
        Err(Violation::Deposed)
    }
}

#[test]
fn without_pre_vote_a_seed_deposes_a_live_leader() {
    let mutation = Mutation::SkipPreVote;
    assert_needed(follower_returns, mutation, Violation::Deposed);
}
