//! Leadership transfer because of degraded links. A degraded leader must
//! transfer leadership, a healthy one must keep it, and leadership must not
//! oscillate.

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use types::{Milliseconds, NodeId};

const VOTERS: u64 = 5;
const SEEDS: std::ops::Range<u64> = 0..8;
/// Virtual time between two proposals, in milliseconds. At this rate the
/// leader's links carry far more messages than those between followers.
const PROPOSAL_INTERVAL_MS: u64 = 10;
/// Virtual time for which the cluster runs under unchanged conditions, in
/// milliseconds.
const OBSERVATION_MS: u64 = 30_000;

/// Returns a cluster and its leader, with the timeouts of a deployment that
/// replaces a leader within half a second.
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
    propose_for(&mut cluster, 3_000)?;
    let leader = cluster.wait_for_leader()?;
    Ok((cluster, leader))
}

/// Proposes commands for `length` milliseconds and returns the longest time
/// without a lease.
fn propose_for(cluster: &mut Cluster, length: u64) -> Result<u64, Violation> {
    let end = cluster.now + length;
    let (mut gap, mut longest_gap) = (0, 0);
    while cluster.now < end {
        cluster.propose(cluster.now);
        cluster.run(PROPOSAL_INTERVAL_MS)?;
        gap = match cluster.leader() {
            Some(_) => 0,
            None => gap + PROPOSAL_INTERVAL_MS,
        };
        longest_gap = longest_gap.max(gap);
    }
    Ok(longest_gap)
}

fn degraded_transfers(cluster: &Cluster) -> u32 {
    let machines = cluster.machines.values();
    let statuses = machines.filter_map(|machine| machine.status(cluster.now));
    statuses.map(|status| status.degraded_transfers).sum()
}

/// Returns the time until a node other than `old` leads; `None` if that takes
/// longer than `limit`.
fn time_until_new_leader(
    cluster: &mut Cluster,
    old: NodeId,
    limit: u64,
) -> Result<Option<u64>, Violation> {
    let begun = cluster.now;
    while cluster.now < begun + limit {
        propose_for(cluster, 20)?;
        if cluster.leader().is_some_and(|leader| leader != old) {
            return Ok(Some(cluster.now - begun));
        }
    }
    Ok(None)
}

#[test]
fn leader_with_lossy_links_transfers_leadership_and_successor_keeps_it() -> Result<(), Violation> {
    let mut times = Vec::new();
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        cluster.lossy.insert(old);
        let elapsed = time_until_new_leader(&mut cluster, old, 5_000)?;
        times.push(elapsed.unwrap_or(u64::MAX));
        let new = cluster.wait_for_leader()?;
        let longest = propose_for(&mut cluster, OBSERVATION_MS)?;
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
fn degraded_leader_keeps_leadership_if_transfer_is_disabled() -> Result<(), Violation> {
    let mut kept_count = 0;
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, false)?;
        cluster.lossy.insert(old);
        let elapsed = time_until_new_leader(&mut cluster, old, 1_500)?;
        kept_count += u32::from(elapsed.is_none());
    }
    assert!(kept_count >= 4, "{kept_count} of 8 still lead after 1.5 s");
    Ok(())
}

#[test]
fn degraded_follower_causes_no_transfer() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, leader) = cluster(seed, true)?;
        cluster.lossy.insert(NodeId(leader.0 % VOTERS + 1));
        let longest = propose_for(&mut cluster, OBSERVATION_MS)?;
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
fn degraded_links_of_all_voters_cause_one_transfer_at_most() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, _) = cluster(seed, true)?;
        cluster.lossy.extend((1..=VOTERS).map(NodeId));
        propose_for(&mut cluster, 3_000)?;
        let before = degraded_transfers(&cluster);
        propose_for(&mut cluster, OBSERVATION_MS)?;
        let transfers = degraded_transfers(&cluster) - before;
        assert!(transfers <= 1, "seed {seed}: {transfers} transfers");
    }
    Ok(())
}

#[test]
fn repeatedly_degraded_links_cause_one_transfer_at_most() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        for _ in 0..10 {
            cluster.lossy.insert(old);
            propose_for(&mut cluster, 1_500)?;
            cluster.lossy.clear();
            propose_for(&mut cluster, 1_500)?;
        }
        let transfers = degraded_transfers(&cluster);
        assert!(transfers <= 1, "seed {seed}: {transfers} transfers");
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
            let longest = propose_for(&mut cluster, OBSERVATION_MS)?;
            let transfers = degraded_transfers(&cluster);
            assert!(
                transfers <= 1,
                "seed {seed}, {slow} slow: {transfers} transfers"
            );
            assert!(
                longest < 400,
                "seed {seed}, {slow} slow: {longest} ms without a lease"
            );
        }
    }
    Ok(())
}

/// The replies of a voter with a slow disk are late as well, so leadership
/// would soon be transferred again.
#[test]
fn voter_with_slow_disk_is_no_transfer_target() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        let slow = NodeId(old.0 % VOTERS + 1);
        cluster.slow_disks.insert(slow, 400);
        propose_for(&mut cluster, 2_000)?;
        cluster.lossy.insert(old);
        time_until_new_leader(&mut cluster, old, 5_000)?;
        assert_ne!(cluster.leader(), Some(slow), "seed {seed}");
    }
    Ok(())
}

#[test]
fn frozen_leader_is_replaced_without_transfer() -> Result<(), Violation> {
    for seed in SEEDS {
        let (mut cluster, old) = cluster(seed, true)?;
        cluster.freeze(old, 3_000);
        let elapsed = time_until_new_leader(&mut cluster, old, 2_000)?;
        assert!(elapsed.is_some(), "seed {seed}");
        let longest = propose_for(&mut cluster, 10_000)?;
        assert!(longest < 500, "seed {seed}: {longest} ms without a lease");
        assert_eq!(degraded_transfers(&cluster), 0, "seed {seed}");
    }
    Ok(())
}
