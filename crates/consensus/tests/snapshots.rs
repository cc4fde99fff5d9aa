//! Snapshots: replication of a snapshot to a follower, and restart from one.

mod cluster;

use cluster::checker::Violation;
use cluster::{Cluster, Network};
use types::{LogIndex, NodeId};

/// Commits `count` commands and has all running machines take a snapshot.
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
    cluster.process_output()?;
    cluster.run(100)
}

/// Chunks are lost and duplicated, and the follower restarts before it has
/// received all of them.
#[test]
fn lagging_follower_installs_snapshot_despite_message_loss() -> Result<(), Violation> {
    for seed in 0..30 {
        let mut cluster = Cluster::new(seed, 3, 3, None);
        let leader = cluster.wait_for_leader()?;
        let lagging = NodeId(leader.0 % 3 + 1);
        cluster.crash(lagging);
        commit_and_compact(&mut cluster, 60)?;
        cluster.network = Network {
            loss: 0.2,
            duplicate: 0.1,
            ..Network::RELIABLE
        };
        cluster.start(lagging);
        cluster.run(40)?;
        cluster.crash(lagging);
        cluster.start(lagging);
        let last = cluster.checker.last_committed();
        let caught_up = cluster.run_until(10_000, |c| c.applied(lagging) >= last)?;
        assert!(caught_up, "seed {seed}");
        assert!(
            cluster.checker.installs > 0,
            "seed {seed}: no snapshot was installed"
        );
    }
    Ok(())
}

#[test]
fn follower_with_small_lag_receives_no_snapshot() -> Result<(), Violation> {
    let mut cluster = Cluster::new(1, 3, 3, None);
    let leader = cluster.wait_for_leader()?;
    let lagging = NodeId(leader.0 % 3 + 1);
    commit_and_compact(&mut cluster, 40)?;
    cluster.isolate(lagging, true, true);
    commit_and_compact(&mut cluster, 5)?;
    cluster.heal();
    cluster.run(1_000)?;
    assert_eq!(cluster.applied(lagging), cluster.checker.last_committed());
    assert_eq!(cluster.checker.installs, 0);
    Ok(())
}

#[test]
fn cluster_restarts_from_snapshots() -> Result<(), Violation> {
    let mut cluster = Cluster::new(2, 3, 3, None);
    cluster.wait_for_leader()?;
    commit_and_compact(&mut cluster, 40)?;
    commit_and_compact(&mut cluster, 7)?;
    let last = cluster.checker.last_committed();
    for id in 1..=3 {
        cluster.crash(NodeId(id));
    }
    cluster.heal();
    cluster.check_progress()?;
    assert!(cluster.checker.last_committed() > last);
    let snapshot_index =
        |m: &cluster::machine::Machine| m.disk.snapshot.as_ref().map(|s| s.meta.index);
    assert!(
        cluster
            .machines
            .values()
            .all(|m| snapshot_index(m) > Some(LogIndex(40)))
    );
    Ok(())
}
