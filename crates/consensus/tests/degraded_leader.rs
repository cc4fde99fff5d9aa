//! A leader with degraded links transfers leadership, a healthy one keeps it, and
//! leadership does not oscillate.

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use types::{Milliseconds, NodeId};

const VOTERS: u64 = 5;
const SEEDS: std::ops::Range<u64> = 0..8;
/// Virtual time between two proposals: the leader's links carry far more than
/// those of others.
const PROPOSAL_INTERVAL: u64 = 10;
/// How long the cluster is observed under unchanged conditions.
const OBSERVED: u64 = 30_000;

/// A cluster with the timeouts of a deployment whose leader is replaced within half a second.
fn cluster(seed: u64, transfer_when_degraded: bool) -> Result<(Cluster, NodeId), Violation> {
    let mut cluster = Cluster::new(seed, VOTERS, VOTERS, None);
    cluster.options.election_timeout = Milliseconds(250);
    cluster.options.election_spread = Milliseconds(130);
    cluster.options.heartbeat_interval = Milliseconds(50);
    cluster.options.leader_lease = Milliseconds(190);
    cluster.options.transfer_when_degraded = transfer_when_degraded;
    for id in 1..=VOTERS {
        cluster.crash(NodeId(id));
        cluster.start(NodeId(id));
    }
    cluster.wait_for_leader()?;
    work(&mut cluster, 3_000)?;
    let leader = cluster.wait_for_leader()?;
    Ok((cluster, leader))
}

/// Proposes for `length` milliseconds and returns the longest time without a
/// lease.
fn work(cluster: &mut Cluster, length: u64) -> Result<u64, Violation> {
    let end = cluster.now + length;
    let (mut gap, mut longest) = (0, 0);
    while cluster.now < end {
        cluster.propose(cluster.now);
        cluster.run(PROPOSAL_INTERVAL)?;
        gap = match cluster.leader() {
            Some(_) => 0,
            None => gap + PROPOSAL_INTERVAL,
        };
        longest = longest.max(gap);
    }
    Ok(longest)
}

fn degraded_transfers(cluster: &Cluster) -> u32 {
    let machines = cluster.machines.values();
    let statuses = machines.filter_map(|machine| machine.status(cluster.now));
    statuses.map(|status| status.degraded_transfers).sum()
}

/// Time until another node leads than `old`, up to `limit`.
fn until_another_leads(
    cluster: &mut Cluster,
    old: NodeId,
    limit: u64,
) -> Result<Option<u64>, Violation> {
    let begun = cluster.now;
    while cluster.now < begun + limit {
        work(cluster, 20)?;
        if cluster.leader().is_some_and(|leader| leader != old) {
            return Ok(Some(cluster.now - begun));
        }
    }
    Ok(None)
}

#[test]
fn a_leader_with_lossy_links_transfers_leadership_and_its_successor_keeps_it()
-> Result<(), Violation> {
    let mut times = Vec::new();
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        cluster.lossy.insert(old);
        let took = until_another_leads(&mut cluster, old, 5_000)?;
        times.push(took.unwrap_or(u64::MAX));
        let new = cluster.wait_for_leader()?;
        let longest = work(&mut cluster, OBSERVED)?;
        assert_eq!(
            cluster.leader(),
            Some(new),
            "seed {seed}: the successor keeps leadership"
        );
        assert!(longest < 100, "seed {seed}: {longest} ms without a lease");
        assert!(degraded_transfers(&cluster) <= 1, "seed {seed}");
    }
    times.sort_unstable();
    println!("transferred after {times:?} ms");
    assert!(
        times[times.len() / 2] <= 1_500 && times[times.len() - 1] <= 4_000,
        "{times:?}"
    );
    Ok(())
}

#[test]
fn without_the_transfer_a_degraded_leader_keeps_leadership() -> Result<(), Violation> {
    let mut kept = 0;
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, false)?;
        cluster.lossy.insert(old);
        let took = until_another_leads(&mut cluster, old, 1_500)?;
        kept += u32::from(took.is_none());
    }
    assert!(kept >= 4, "{kept} of 8 still lead after 1.5 s");
    Ok(())
}

#[test]
fn a_degraded_follower_causes_no_transfer() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, leader) = cluster(seed, true)?;
        cluster.lossy.insert(NodeId(leader.0 % VOTERS + 1));
        let longest = work(&mut cluster, OBSERVED)?;
        assert_eq!(cluster.leader(), Some(leader), "seed {seed}");
        assert_eq!(
            (longest, degraded_transfers(&cluster)),
            (0, 0),
            "seed {seed}"
        );
    }
    Ok(())
}

#[test]
fn no_leader_transfers_where_all_voters_are_degraded() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, _) = cluster(seed, true)?;
        cluster.lossy.extend((1..=VOTERS).map(NodeId));
        work(&mut cluster, 3_000)?;
        let before = degraded_transfers(&cluster);
        work(&mut cluster, OBSERVED)?;
        let moves = degraded_transfers(&cluster) - before;
        assert!(moves <= 1, "seed {seed}: {moves} transfers");
    }
    Ok(())
}

#[test]
fn flapping_links_cause_one_transfer_at_most() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        for _ in 0..10 {
            cluster.lossy.insert(old);
            work(&mut cluster, 1_500)?;
            cluster.lossy.clear();
            work(&mut cluster, 1_500)?;
        }
        let moves = degraded_transfers(&cluster);
        assert!(moves <= 1, "seed {seed}: {moves} transfers");
    }
    Ok(())
}

#[test]
fn slow_disks_of_one_or_two_voters_cause_one_transfer_at_most() -> Result<(), Violation> {
    for seed in SEEDS {
        for slow in [1, 2] {
            let (mut cluster, leader) = cluster(seed, true)?;
            for number in 0..slow {
                let id = NodeId((leader.0 - 1 + number) % VOTERS + 1);
                cluster.slow_disks.insert(id, 150);
            }
            let longest = work(&mut cluster, OBSERVED)?;
            let moves = degraded_transfers(&cluster);
            assert!(moves <= 1, "seed {seed}, {slow} slow: {moves} transfers");
            assert!(
                longest < 400,
                "seed {seed}, {slow} slow: {longest} ms without a lease"
            );
        }
    }
    Ok(())
}

#[test]
fn a_voter_with_a_slow_disk_is_no_transfer_target() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        let slow = NodeId(old.0 % VOTERS + 1);
        cluster.slow_disks.insert(slow, 400);
        work(&mut cluster, 2_000)?;
        cluster.lossy.insert(old);
        until_another_leads(&mut cluster, old, 5_000)?;
        assert_ne!(cluster.leader(), Some(slow), "seed {seed}");
    }
    Ok(())
}

#[test]
fn a_leader_that_resumes_after_a_freeze_leads_no_more() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        cluster.freeze(old, 3_000);
        let took = until_another_leads(&mut cluster, old, 2_000)?;
        assert!(took.is_some(), "seed {seed}");
        let longest = work(&mut cluster, 10_000)?;
        assert!(longest < 500, "seed {seed}: {longest} ms without a lease");
        assert_eq!(degraded_transfers(&cluster), 0, "seed {seed}");
    }
    Ok(())
}
