//! Snapshots of a large record: apart, and not by a leader.

use coordinator::snapshots::{SnapshotDue, SnapshotSchedule, VoterTurn};
use types::{LogIndex, NodeId};

const EVERY: u64 = 100;
const MIB: usize = 1024 * 1024;
const FOLLOWS: bool = false;
const LEADS: bool = true;

fn turn(applied: u64, position: usize) -> VoterTurn {
    VoterTurn {
        applied: LogIndex(applied),
        position: Some(position),
        voters: 5,
    }
}

/// Index at which a snapshot is due, with entries of `bytes` each.
fn due_at(schedule: &mut SnapshotSchedule, bytes: usize, leads: bool, position: usize) -> u64 {
    let mut applied = 0;
    while schedule.due(leads, turn(applied, position)) == SnapshotDue::No {
        schedule.record_applied(bytes);
        applied += 1;
    }
    applied
}

#[test]
fn a_small_record_is_written_each_so_many_entries_by_leaders_too() {
    for leads in [FOLLOWS, LEADS] {
        let mut schedule = SnapshotSchedule::new(EVERY, NodeId(30), 0);
        assert_eq!(due_at(&mut schedule, 10, leads, 3), 70, "it began ahead");
        schedule.restart(MIB / 2);
        assert_eq!(due_at(&mut schedule, 10, leads, 3), 100);
        assert_eq!(schedule.due(leads, turn(100, 3)), SnapshotDue::Yes);
    }
}

#[test]
fn a_large_record_is_written_when_as_much_was_applied_as_it_is_large() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(10 * MIB);
    assert_eq!(due_at(&mut schedule, MIB / 100, FOLLOWS, 0), 1_001);
}

#[test]
fn voters_that_are_due_at_once_write_one_after_the_other() {
    let mut written: Vec<u64> = (0..5)
        .map(|position| {
            let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
            schedule.restart(10 * MIB);
            due_at(&mut schedule, MIB / 100, FOLLOWS, position)
        })
        .collect();
    written.sort_unstable();
    let apart = written.windows(2).map(|pair| pair[1] - pair[0]).min();
    assert!(apart >= Some(1_000), "{written:?}");
}

#[test]
fn a_member_that_is_no_voter_need_not_wait() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(2 * MIB);
    for _ in 0..300 {
        schedule.record_applied(MIB / 100);
    }
    let learner = VoterTurn {
        position: None,
        ..turn(5_000, 0)
    };
    assert_eq!(schedule.due(FOLLOWS, learner), SnapshotDue::Yes);
}

#[test]
fn a_leader_puts_a_large_one_off_and_then_hands_over() {
    let mut schedule = SnapshotSchedule::new(EVERY, NodeId(0), 0);
    schedule.restart(10 * MIB);
    assert_eq!(due_at(&mut schedule, MIB / 100, LEADS, 0), 4_001);
    let at = turn(4_001, 1);
    assert_eq!(schedule.due(LEADS, at), SnapshotDue::AfterHandingOver);
    assert_eq!(
        schedule.due(FOLLOWS, at),
        SnapshotDue::Yes,
        "it is its turn"
    );
}
