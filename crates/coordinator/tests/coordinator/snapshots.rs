//! Schedule of snapshots: members write a large state in turn, and a leader
//! transfers leadership before it writes one.

use crate::test_cluster::{TestCluster, document, jobs};
use coordinator::snapshots::{SnapshotDue, SnapshotSchedule, VoterTurn};
use std::collections::BTreeSet;
use types::{LogIndex, NodeId};

const EVERY: u64 = 100;
const MIB: usize = 1024 * 1024;
const FOLLOWER: bool = false;
const LEADER: bool = true;

fn turn(applied: u64, position: usize) -> VoterTurn {
    VoterTurn {
        applied: LogIndex(applied),
        position: Some(position),
        voters: 5,
    }
}

/// Applies entries of `bytes` bytes until a snapshot is due; returns their number.
fn entries_until_due(
    schedule: &mut SnapshotSchedule,
    bytes: usize,
    is_leader: bool,
    position: usize,
) -> u64 {
    let mut applied = 0;
    while schedule.due(is_leader, turn(applied, position)) == SnapshotDue::No {
        schedule.record_applied(bytes);
        applied += 1;
    }
    applied
}

#[test]
fn snapshot_of_a_small_state_is_due_after_a_fixed_number_of_entries() {
    for is_leader in [FOLLOWER, LEADER] {
        let mut schedule = SnapshotSchedule::new(EVERY, NodeId(30), 0);
        assert_eq!(
            entries_until_due(&mut schedule, 10, is_leader, 3),
            70,
            "starts at an offset of 30 entries"
        );
        schedule.restart(MIB / 2);
        assert_eq!(entries_until_due(&mut schedule, 10, is_leader, 3), 100);
        assert_eq!(schedule.due(is_leader, turn(100, 3)), SnapshotDue::Yes);
    }
}

#[test]
fn snapshot_of_a_large_state_is_due_after_entries_of_its_size() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(10 * MIB);
    assert_eq!(
        entries_until_due(&mut schedule, MIB / 100, FOLLOWER, 0),
        1_001
    );
}

#[test]
fn voters_due_at_the_same_time_write_in_turn() {
    let mut written: Vec<u64> = (0..5)
        .map(|position| {
            let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
            schedule.restart(10 * MIB);
            entries_until_due(&mut schedule, MIB / 100, FOLLOWER, position)
        })
        .collect();
    written.sort_unstable();
    let min_distance = written.windows(2).map(|pair| pair[1] - pair[0]).min();
    assert!(min_distance >= Some(1_000), "{written:?}");
}

#[test]
fn learner_writes_without_waiting_for_a_turn() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(2 * MIB);
    for _ in 0..300 {
        schedule.record_applied(MIB / 100);
    }
    let learner = VoterTurn {
        position: None,
        ..turn(5_000, 0)
    };
    assert_eq!(schedule.due(FOLLOWER, learner), SnapshotDue::Yes);
}

#[test]
fn leader_delays_a_large_snapshot_and_then_transfers_leadership() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(10 * MIB);
    assert_eq!(
        entries_until_due(&mut schedule, MIB / 100, LEADER, 0),
        4_001
    );
    let at = turn(4_001, 1);
    assert_eq!(
        schedule.due(LEADER, at),
        SnapshotDue::AfterLeadershipTransfer
    );
    assert_eq!(
        schedule.due(FOLLOWER, at),
        SnapshotDue::Yes,
        "voter 1 has the turn"
    );
}

/// The entries that the member missed have been compacted from the leader's log.
#[test]
fn offline_member_catches_up_by_snapshot() {
    let mut cluster = TestCluster::new(3);
    cluster.options.snapshot_every = 20;
    cluster.options.consensus.retained_entries = 5;
    (0..3).for_each(|server| cluster.start(server));
    cluster.run(4_000);
    cluster.put_configuration(1, document::document());
    cluster.run(100);
    let offline = (cluster.leader().unwrap() + 1) % 3;
    cluster.kill(offline);
    for number in 0..60 {
        cluster.submit(&format!("job-{number}"));
    }
    cluster.start(offline);
    cluster.run(2_000);
    let state_machine = cluster.core(offline).state_machine().unwrap();
    assert!(state_machine.job(&jobs::key("job-59")).is_some());
    assert_eq!(state_machine, cluster.state_machine());
}

/// If all members wrote their snapshots at the same index, no quorum would sync new
/// entries meanwhile.
#[test]
fn members_write_snapshots_at_different_indexes() {
    let mut cluster = TestCluster::new(3);
    cluster.options.snapshot_every = 20;
    for server in 0..3 {
        cluster.start(server);
    }
    cluster.run(4_000);
    let put = cluster.put_configuration(1, document::document());
    cluster.run(200);
    assert!(cluster.replies[&put].is_ok());
    for number in 0..60 {
        cluster.submit(&format!("job-{number}"));
    }
    cluster.run(200);
    let written = cluster.snapshots.len();
    assert!(written >= 6, "{written}");
    let distinct: BTreeSet<_> = cluster.snapshots.iter().collect();
    assert_eq!(distinct.len(), written, "{:?}", cluster.snapshots);
}
