//! Rules on gangs: all tasks run together, the first done end is that of the gang,
//! and the failures of all tasks add up.

mod support;

use checker::ViolationKind::{FalseEnd, GangApart, StartBeforeDependency};
use checker::{Event, ExpectedStep};
use support::*;
use types::{JobState, Outcome};

/// Returns a gang of two tasks without allowed failures, and a step that depends
/// on it.
fn gang_and_next() -> Vec<ExpectedStep> {
    let mut gang = simple_step("gang");
    gang.tasks = 2;
    gang.gang = true;
    let mut next = simple_step("next");
    next.after = vec![step("gang")];
    vec![gang, next]
}

/// Returns the start of run `sequence` of a task of the gang, on a runner of the
/// same number.
fn member_started(sequence: u64, number: u32) -> Event {
    match run_started(sequence, sequence, 1, "gang") {
        Event::RunStarted {
            runner,
            incarnation,
            run,
            job,
            step,
            resources,
            ..
        } => Event::RunStarted {
            runner,
            incarnation,
            run,
            job,
            step,
            task: number,
            resources,
        },
        other => other,
    }
}

/// Returns an acknowledged submit of the gang at 10, followed by further events.
fn with_gang(more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let mut events = vec![
        (0, submit_sent(1, &gang_and_next())),
        (10, submit_acknowledged(1)),
    ];
    events.extend(more);
    events
}

#[test]
fn gang_member_without_others_after_tolerance_is_violation() {
    let later = |at| (at, state_read(1, at, JobState::Running));
    let one_member = with_gang(vec![(20, member_started(1, 0)), later(3_020)]);
    assert_no_violations(one_member.clone());
    let mut too_long = one_member.clone();
    too_long.push(later(3_021));
    assert_violations(too_long, &[GangApart]);
    let together = with_gang(vec![
        (20, member_started(1, 0)),
        (3_019, member_started(2, 1)),
        later(9_000),
    ]);
    assert_no_violations(together);
    let mut stopped = one_member;
    stopped.push((3_020, run_ended(1, 1, Outcome::Stopped)));
    stopped.push(later(9_000));
    assert_no_violations(stopped);
}

#[test]
fn gang_member_without_others_is_allowed_during_fault() {
    let later = |at| (at, state_read(1, at, JobState::Running));
    let during_fault = vec![
        (15, fault_injected()),
        (20, member_started(1, 0)),
        later(9_000),
    ];
    assert_no_violations(with_gang(during_fault.clone()));
    let mut healed = with_gang(during_fault);
    healed.extend([(9_000, Event::Healed), later(12_001)]);
    assert_violations(healed, &[GangApart]);
}

#[test]
fn gang_that_continues_after_failed_member_is_violation() {
    let both_started = with_gang(vec![
        (20, member_started(1, 0)),
        (21, member_started(2, 1)),
        (500, run_ended(1, 1, failed_outcome())),
    ]);
    let later = |at| (at, state_read(1, at, JobState::Running));
    let mut in_time = both_started.clone();
    in_time.extend([(3_500, run_ended(2, 2, Outcome::Stopped)), later(9_000)]);
    assert_no_violations(in_time);
    let mut still_open = both_started;
    still_open.push(later(3_501));
    assert_violations(still_open, &[GangApart]);
}

#[test]
fn run_of_earlier_attempt_does_not_count_as_gang_member() {
    let second_attempt = with_gang(vec![
        (20, member_started(1, 0)),
        (21, member_started(2, 1)),
        (30, run_ended(1, 1, failed_outcome())),
        (31, run_ended(2, 2, Outcome::Stopped)),
        (5_000, member_started(3, 0)),
        (8_001, state_read(1, 8_001, JobState::Running)),
    ]);
    let found = check_events(second_attempt).violations;
    assert!(found.iter().any(|found| found.kind == GangApart));
}

#[test]
fn gang_is_done_after_first_done_member() {
    let next = |sequence, at| (at, run_started(sequence, sequence, 1, "next"));
    let both_started = vec![(20, member_started(1, 0)), (21, member_started(2, 1))];
    let mut early = with_gang(both_started.clone());
    early.push(next(3, 29));
    assert_violations(early, &[StartBeforeDependency]);

    let mut done = with_gang(both_started);
    done.extend([
        (30, run_ended(1, 1, Outcome::Done)),
        next(3, 31),
        (32, run_ended(2, 2, Outcome::Stopped)),
        (40, run_ended(3, 3, Outcome::Done)),
        (50, state_read(1, 45, JobState::Done)),
    ]);
    assert_no_violations(done);
}

#[test]
fn failures_of_different_gang_members_add_up() {
    let mut steps = gang_and_next();
    steps[0].allowed_failures = 1;
    let failures = |count: usize| {
        let mut events = vec![(0, submit_sent(1, &steps)), (10, submit_acknowledged(1))];
        let attempts = [
            (20, member_started(1, 0)),
            (21, member_started(2, 1)),
            (30, run_ended(1, 1, failed_outcome())),
            (31, run_ended(2, 2, Outcome::Stopped)),
            (40, member_started(3, 0)),
            (41, member_started(4, 1)),
            (50, run_ended(4, 4, failed_outcome())),
            (51, run_ended(3, 3, Outcome::Stopped)),
        ];
        events.extend(attempts.into_iter().take(count));
        events.push((60, state_read(1, 55, JobState::Failed)));
        events
    };
    assert_violations(failures(4), &[FalseEnd]);
    assert_no_violations(failures(8));
}
