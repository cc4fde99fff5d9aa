//! Catching up by snapshot, and restarting from one.

mod cluster;

use cluster::checker::Violation;
use cluster::{Cluster, Network};
use types::{LogIndex, NodeId};

/// Commits `count` commands and has all machines but `absent` compact.
fn commit_and_compact(cluster: &mut Cluster, count: u64) -> Result<(), Violation> {
    for command in 0..count {
        cluster.propose(command);
        cluster.run(10)?;
    }
    cluster.run(500)?;
    let now = cluster.now;
    for machine in cluster.machines.values_mut() {
        machine.compact(now);
    }
    cluster.settle()?;
    cluster.run(100)
}

#[test]
fn a_slow_follower_catches_up_by_chunks_under_loss() -> Result<(), Violation> {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        let leader = cluster.wait_for_leader()?;
        let slow = NodeId(leader.0 % 3 + 1);
        cluster.crash(slow);
        commit_and_compact(&mut cluster, 60)?;
        cluster.network = Network {
            loss: 0.2,
            duplicate: 0.1,
            ..Network::GOOD
        };
        cluster.start(slow);
        cluster.run(40)?;
        cluster.crash(slow);
        cluster.start(slow);
        let last = cluster.checker.last_committed();
        let caught_up = cluster.run_until(10_000, |c| c.applied(slow) >= last)?;
        assert!(caught_up, "seed {seed}");
        assert!(
            cluster.checker.installs > 0,
            "seed {seed}: no snapshot came"
        );
    }
    Ok(())
}

#[test]
fn a_follower_with_a_small_lag_needs_no_snapshot() -> Result<(), Violation> {
    let mut cluster = Cluster::new(1, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let slow = NodeId(leader.0 % 3 + 1);
    commit_and_compact(&mut cluster, 40)?;
    cluster.cut_off(slow, true, true);
    commit_and_compact(&mut cluster, 5)?;
    cluster.heal();
    cluster.run(1_000)?;
    assert_eq!(cluster.applied(slow), cluster.checker.last_committed());
    assert_eq!(cluster.checker.installs, 0);
    Ok(())
}

#[test]
fn all_restart_from_their_snapshots() -> Result<(), Violation> {
    let mut cluster = Cluster::new(2, 3, 3, None);
    cluster.wait_for_leader()?;
    commit_and_compact(&mut cluster, 40)?;
    commit_and_compact(&mut cluster, 7)?;
    let last = cluster.checker.last_committed();
    for id in 1..=3 {
        cluster.crash(NodeId(id));
    }
    cluster.heal();
    cluster.must_serve()?;
    assert!(cluster.checker.last_committed() > last);
    let covered = |m: &cluster::machine::Machine| m.disk.snapshot.as_ref().map(|s| s.meta.index);
    assert!(
        cluster
            .machines
            .values()
            .all(|m| covered(m) > Some(LogIndex(40)))
    );
    Ok(())
}
