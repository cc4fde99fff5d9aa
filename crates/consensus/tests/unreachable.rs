//! A leader must not send entries and snapshot chunks repeatedly to a follower
//! that does not reply: all copies would arrive when the link recovers.

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use types::NodeId;

/// Number of commands proposed during the partition, one per
/// [`PROPOSAL_INTERVAL_MS`].
const COMMANDS: u64 = 200;
/// Virtual time between two proposals, in milliseconds.
const PROPOSAL_INTERVAL_MS: u64 = 20;

fn propose_all(cluster: &mut Cluster) -> Result<(), Violation> {
    for command in 0..COMMANDS {
        cluster.propose(command);
        cluster.run(PROPOSAL_INTERVAL_MS)?;
    }
    Ok(())
}

/// Returns a cluster of three nodes, and a follower that is partitioned from
/// the others.
fn partitioned_cluster(seed: u64) -> Result<(Cluster, NodeId), Violation> {
    let mut cluster = Cluster::new(seed, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let isolated = NodeId(leader.0 % 3 + 1);
    cluster.run(1_000)?;
    cluster.isolate(isolated, true, true);
    Ok((cluster, isolated))
}

#[test]
fn entries_are_not_sent_repeatedly_to_partitioned_follower() -> Result<(), Violation> {
    for seed in 0..20 {
        let (mut cluster, isolated) = partitioned_cluster(seed)?;
        propose_all(&mut cluster)?;
        let window = cluster.options.max_appends_in_flight;
        let sent = cluster.sent_over_cuts;
        assert!(sent <= 4 * window, "seed {seed}: {sent} entries");

        cluster.heal();
        let last = cluster.checker.last_committed();
        assert!(cluster.run_until(2_000, |c| c.applied(isolated) >= last)?);
    }
    Ok(())
}

#[test]
fn chunks_are_not_sent_repeatedly_to_partitioned_follower() -> Result<(), Violation> {
    for seed in 0..20 {
        let (mut cluster, isolated) = partitioned_cluster(seed)?;
        propose_all(&mut cluster)?;
        let now = cluster.now;
        for machine in cluster.machines.values_mut() {
            machine.compact(now);
        }
        let sent_before = cluster.sent_over_cuts;
        cluster.run(4_000)?;
        let sent = cluster.sent_over_cuts - sent_before;
        assert!(sent <= 2, "seed {seed}: {sent} chunks");

        cluster.heal();
        let last = cluster.checker.last_committed();
        assert!(cluster.run_until(4_000, |c| c.applied(isolated) >= last)?);
        assert!(cluster.checker.installs > 0, "seed {seed}");
    }
    Ok(())
}
