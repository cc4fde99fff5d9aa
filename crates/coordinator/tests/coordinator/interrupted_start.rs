//! Kills during the first start under [`BootstrapRule::At`]. The options grant the right
//! to bootstrap at the first start only, as a platform does that sets it once.

use crate::test_cluster::TestCluster;
use coordinator::BootstrapRule;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use transport::{Bootstrap, PeerMessage};
use types::{ClusterId, NodeId};

const SERVERS: usize = 3;
/// Milliseconds within which the cluster forms without a fault.
const FIRST_START: u64 = 4_000;
/// Milliseconds for which a killed process is down.
const DOWN_TIME: u64 = 500;
/// Milliseconds after the last restart within which the cluster forms.
const FORMATION_TIMEOUT: u64 = 6_000;

/// Every set of processes that is killed at once.
const VICTIMS: [&[usize]; 7] = [&[0], &[1], &[2], &[0, 1], &[0, 2], &[1, 2], &[0, 1, 2]];

fn first_seed() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 8_000))
}

/// Starts all coordinators for the first time. Those that start later have no right to
/// bootstrap.
fn first_start() -> TestCluster {
    let mut cluster = TestCluster::new(3);
    assert_eq!(cluster.options.seeds[0], first_seed());
    cluster.options.bootstrap_rule = BootstrapRule::At(first_seed());
    for server in 0..SERVERS {
        cluster.start(server);
    }
    cluster.options.bootstrap_rule = BootstrapRule::Never;
    cluster
}

/// Returns the times, in milliseconds after the first start, at which messages were sent
/// until the cluster has formed. Each lies between two steps of the first start.
fn moments() -> Vec<u64> {
    let mut cluster = first_start();
    let mut moments = Vec::new();
    let mut sent = 0;
    for moment in 1..=FIRST_START {
        cluster.run(1);
        if cluster.sent.len() != sent {
            moments.push(moment);
            sent = cluster.sent.len();
        }
        if cluster.leader().is_some() {
            return moments;
        }
    }
    panic!("no leader {FIRST_START} ms after the first start");
}

fn voters(cluster: &TestCluster, server: usize) -> BTreeSet<NodeId> {
    let status = cluster.status(server);
    status
        .map(|status| status.membership.voters.keys().copied().collect())
        .unwrap_or_default()
}

/// Returns the clusters that any process has proposed so far.
fn proposed_clusters(cluster: &TestCluster) -> BTreeSet<ClusterId> {
    let messages = cluster.sent.iter().map(|(_, message)| message);
    messages
        .filter_map(|message| match message {
            PeerMessage::Bootstrap(Bootstrap::Propose { cluster, .. }) => Some(*cluster),
            _ => None,
        })
        .collect()
}

/// Kills the processes, restarts them after a while, and checks that one cluster forms and
/// that all processes belong to it.
fn check_formation(mut cluster: TestCluster, victims: &[usize], wiped: Option<usize>) {
    for server in victims {
        cluster.kill(*server);
    }
    if let Some(server) = wiped {
        cluster.wipe(server);
    }
    cluster.run(DOWN_TIME);
    for server in victims {
        cluster.start(*server);
    }
    cluster.run_until(FORMATION_TIMEOUT, "a cluster of all voters", |cluster| {
        let leader = cluster.leader();
        leader.is_some_and(|leader| {
            let expected = voters(cluster, leader);
            expected.len() == SERVERS
                && (0..SERVERS).all(|server| voters(cluster, server) == expected)
        })
    });
}

/// Guards against a system that never forms because the process that may bootstrap it was
/// killed before it did (review, more/first-start.toml).
#[test]
fn cluster_forms_whatever_is_killed_between_two_messages_of_first_start() {
    for moment in moments() {
        for victims in VICTIMS {
            let mut cluster = first_start();
            cluster.run(moment);
            check_formation(cluster, victims, None);
        }
    }
}

/// A process that loses its disk has a new identity, and no right to bootstrap. No second
/// cluster may form beside the one that knows its former identity.
#[test]
fn no_second_cluster_forms_if_a_disk_is_lost_during_first_start() {
    for moment in moments() {
        for victim in 0..SERVERS {
            let mut cluster = first_start();
            cluster.run(moment);
            cluster.kill(victim);
            cluster.wipe(victim);
            cluster.run(DOWN_TIME);
            cluster.start(victim);
            cluster.run(FORMATION_TIMEOUT);
            let clusters = proposed_clusters(&cluster);
            assert!(
                clusters.len() <= 1,
                "killed {victim} after {moment} ms: {clusters:?}"
            );
        }
    }
}

/// The right to bootstrap is not saved yet when the first seed is killed.
#[test]
fn cluster_forms_if_first_seed_is_killed_before_its_first_write() {
    let cluster = first_start();
    check_formation(cluster, &[0], Some(0));
}

/// The right to bootstrap is lost with the disk of the first seed.
#[test]
fn cluster_forms_if_first_seed_loses_its_disk_before_it_proposes() {
    let mut cluster = first_start();
    cluster.run(moments()[0]);
    check_formation(cluster, &[0], Some(0));
}
