//! A leader sends no entries and chunks repeatedly to a follower that does not
//! reply: all repetitions would arrive when the link recovers.

mod cluster;

use cluster::Cluster;
use cluster::checker::Violation;
use types::NodeId;

/// Commands proposed during the partition, one each [`PROPOSAL_INTERVAL`].
const COMMANDS: u64 = 200;
const PROPOSAL_INTERVAL: u64 = 20;

fn propose_all(cluster: &mut Cluster) -> Result<(), Violation> {
    for command in 0..COMMANDS {
        cluster.propose(command);
        cluster.run(PROPOSAL_INTERVAL)?;
    }
    Ok(())
}

/// A cluster of three, and a follower that is partitioned from the others.
fn with_cut_follower(seed: u64) -> Result<(Cluster, NodeId), Violation> {
    let mut cluster = Cluster::new(seed, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let cut = NodeId(leader.0 % 3 + 1);
    cluster.run(1_000)?;
    cluster.cut_off(cut, true, true);
    Ok((cluster, cut))
}

#[test]
fn entries_are_not_sent_repeatedly_into_a_partition() -> Result<(), Violation> {
    for seed in 0..20 {
        let (mut cluster, cut) = with_cut_follower(seed)?;
        propose_all(&mut cluster)?;
        let window = cluster.options.max_appends_in_flight;
        let sent = cluster.sent_into_cuts;
        assert!(sent <= 4 * window, "seed {seed}: {sent} entries");

        cluster.heal();
        let last = cluster.checker.last_committed();
        assert!(cluster.run_until(2_000, |c| c.applied(cut) >= last)?);
    }
    Ok(())
}

#[test]
fn chunks_are_not_sent_repeatedly_into_a_partition() -> Result<(), Violation> {
    for seed in 0..20 {
        let (mut cluster, cut) = with_cut_follower(seed)?;
        propose_all(&mut cluster)?;
        let now = cluster.now;
        for machine in cluster.machines.values_mut() {
            machine.compact(now);
        }
        let before = cluster.sent_into_cuts;
        cluster.run(4_000)?;
        let sent = cluster.sent_into_cuts - before;
        assert!(sent <= 2, "seed {seed}: {sent} chunks");

        cluster.heal();
        let last = cluster.checker.last_committed();
        assert!(cluster.run_until(4_000, |c| c.applied(cut) >= last)?);
        assert!(cluster.checker.installs > 0, "seed {seed}");
    }
    Ok(())
}
