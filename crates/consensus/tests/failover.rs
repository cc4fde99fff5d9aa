//! Failover after the loss of the leader: another node must hold the lease
//! within [`MAX_GAP_MS`].

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use rand::Rng;
use types::NodeId;

/// Seeds of each test.
const SEEDS: std::ops::Range<u64> = 0..300;
/// Longest time without a lease after the loss of one leader, in milliseconds.
const MAX_GAP_MS: u64 = 3_000;

type LeaderFault = fn(&mut Cluster, NodeId);

/// Returns the times from the loss of the leader until another node holds the
/// lease, over all seeds, in ascending order.
fn measure_gaps(fault: LeaderFault) -> Result<Vec<u64>, Violation> {
    let mut gaps = Vec::new();
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.wait_for_leader()?;
        let pause = cluster.random.random_range(500..1_500);
        cluster.run(pause)?;
        let leader = cluster.wait_for_leader()?;
        let lost_at = cluster.now;
        fault(&mut cluster, leader);
        let has_new_leader = |c: &Cluster| c.leader().is_some_and(|id| id != leader);
        cluster.run_until(20_000, has_new_leader)?;
        gaps.push(cluster.now - lost_at);
    }
    gaps.sort_unstable();
    Ok(gaps)
}

fn assert_within_limit(gaps: &[u64]) {
    let median = gaps.get(gaps.len() / 2);
    let longest = gaps.last().copied();
    println!("without a lease: median {median:?} ms, longest {longest:?} ms");
    assert!(longest.is_some_and(|gap| gap <= MAX_GAP_MS));
}

#[test]
fn new_leader_holds_lease_within_limit_after_crash() -> Result<(), Violation> {
    assert_within_limit(&measure_gaps(cluster::Cluster::crash)?);
    Ok(())
}

#[test]
fn new_leader_holds_lease_within_limit_after_partition() -> Result<(), Violation> {
    assert_within_limit(&measure_gaps(|cluster, leader| {
        cluster.isolate(leader, true, true);
    })?);
    Ok(())
}

#[test]
fn new_leader_holds_lease_within_limit_after_one_way_partition() -> Result<(), Violation> {
    assert_within_limit(&measure_gaps(|cluster, leader| {
        cluster.isolate(leader, false, true);
    })?);
    Ok(())
}

#[test]
fn new_leader_holds_lease_within_limit_after_freeze() -> Result<(), Violation> {
    assert_within_limit(&measure_gaps(|cluster, leader| {
        cluster.freeze(leader, 20_000);
    })?);
    Ok(())
}
