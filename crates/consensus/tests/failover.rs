//! How long a cluster is without a leader that holds its lease.

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use rand::Rng;
use types::NodeId;

/// Seeds of each case.
const SEEDS: std::ops::Range<u64> = 0..300;
/// Longest time without a lease after the loss of one leader.
const LONGEST_GAP: u64 = 3_000;

type Loss = fn(&mut Cluster, NodeId);

/// The time from the loss of the leader until another holds the lease, over
/// all seeds, in order.
fn gaps(lose: Loss) -> Result<Vec<u64>, Violation> {
    let mut gaps = Vec::new();
    for seed in SEEDS {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        cluster.wait_for_leader()?;
        let pause = cluster.random.random_range(500..1_500);
        cluster.run(pause)?;
        let leader = cluster.wait_for_leader()?;
        let lost_at = cluster.now;
        lose(&mut cluster, leader);
        let other = |c: &Cluster| c.leader().is_some_and(|id| id != leader);
        cluster.run_until(20_000, other)?;
        gaps.push(cluster.now - lost_at);
    }
    gaps.sort_unstable();
    Ok(gaps)
}

fn assert_short(gaps: &[u64]) {
    let middle = gaps.get(gaps.len() / 2);
    let longest = gaps.last().copied();
    println!("without a lease: median {middle:?} ms, longest {longest:?} ms");
    assert!(longest.is_some_and(|gap| gap <= LONGEST_GAP));
}

#[test]
fn another_leads_soon_after_a_crash() -> Result<(), Violation> {
    assert_short(&gaps(cluster::Cluster::crash)?);
    Ok(())
}

#[test]
fn another_leads_soon_after_a_cut() -> Result<(), Violation> {
    assert_short(&gaps(|cluster, leader| {
        cluster.cut_off(leader, true, true);
    })?);
    Ok(())
}

#[test]
fn another_leads_soon_after_a_one_way_cut() -> Result<(), Violation> {
    assert_short(&gaps(|cluster, leader| {
        cluster.cut_off(leader, false, true);
    })?);
    Ok(())
}

#[test]
fn another_leads_soon_after_a_freeze() -> Result<(), Violation> {
    assert_short(&gaps(|cluster, leader| cluster.freeze(leader, 20_000))?);
    Ok(())
}
