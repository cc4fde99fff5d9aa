//! Gangs: started whole, done by one end, failed by any member.

mod support;

use checker::ViolationKind::{FalseEnd, GangApart, StartBeforeDependency};
use checker::{Event, ExpectedStep};
use support::*;
use types::{JobState, Outcome};

/// A gang of two without allowed failures, and a step after it.
fn gang_and_next() -> Vec<ExpectedStep> {
    let mut gang = expected("gang");
    gang.tasks = 2;
    gang.gang = true;
    let mut next = expected("next");
    next.after = vec![step("gang")];
    vec![gang, next]
}

fn member(sequence: u64, number: u32) -> Event {
    match started(sequence, sequence, 1, "gang") {
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

fn with_gang(more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let mut events = vec![(0, sent(1, &gang_and_next())), (10, acknowledged(1))];
    events.extend(more);
    events
}

#[test]
fn a_member_does_not_go_on_alone() {
    let later = |at| (at, read(1, at, JobState::Running));
    let alone = with_gang(vec![(20, member(1, 0)), later(3_020)]);
    assert_clean(alone.clone());
    let mut too_long = alone.clone();
    too_long.push(later(3_021));
    assert_found(too_long, &[GangApart]);
    let together = with_gang(vec![
        (20, member(1, 0)),
        (3_019, member(2, 1)),
        later(9_000),
    ]);
    assert_clean(together);
    let mut given_up = alone;
    given_up.push((3_020, ended(1, 1, Outcome::Stopped)));
    given_up.push(later(9_000));
    assert_clean(given_up);
}

#[test]
fn a_member_may_be_alone_while_a_fault_delays_the_others() {
    let later = |at| (at, read(1, at, JobState::Running));
    let cut = vec![(15, fault()), (20, member(1, 0)), later(9_000)];
    assert_clean(with_gang(cut.clone()));
    let mut healed = with_gang(cut);
    healed.extend([(9_000, Event::Healed), later(12_001)]);
    assert_found(healed, &[GangApart]);
}

#[test]
fn the_rest_does_not_outlive_a_member_that_failed() {
    let going = with_gang(vec![
        (20, member(1, 0)),
        (21, member(2, 1)),
        (500, ended(1, 1, failed())),
    ]);
    let later = |at| (at, read(1, at, JobState::Running));
    let mut in_time = going.clone();
    in_time.extend([(3_500, ended(2, 2, Outcome::Stopped)), later(9_000)]);
    assert_clean(in_time);
    let mut goes_on = going;
    goes_on.push(later(3_501));
    assert_found(goes_on, &[GangApart]);
}

#[test]
fn a_member_of_an_earlier_try_is_not_of_this_gang() {
    let again = with_gang(vec![
        (20, member(1, 0)),
        (21, member(2, 1)),
        (30, ended(1, 1, failed())),
        (31, ended(2, 2, Outcome::Stopped)),
        (5_000, member(3, 0)),
        (8_001, read(1, 8_001, JobState::Running)),
    ]);
    let found = report(again).violations;
    assert!(found.iter().any(|found| found.kind == GangApart));
}

#[test]
fn one_done_end_is_the_end_of_all() {
    let next = |sequence, at| (at, started(sequence, sequence, 1, "next"));
    let going = vec![(20, member(1, 0)), (21, member(2, 1))];
    let mut early = with_gang(going.clone());
    early.push(next(3, 29));
    assert_found(early, &[StartBeforeDependency]);

    let mut done = with_gang(going);
    done.extend([
        (30, ended(1, 1, Outcome::Done)),
        next(3, 31),
        (32, ended(2, 2, Outcome::Stopped)),
        (40, ended(3, 3, Outcome::Done)),
        (50, read(1, 45, JobState::Done)),
    ]);
    assert_clean(done);
}

#[test]
fn failures_of_different_members_add_up() {
    let mut steps = gang_and_next();
    steps[0].allowed_failures = 1;
    let failures = |count: usize| {
        let mut events = vec![(0, sent(1, &steps)), (10, acknowledged(1))];
        let tries = [
            (20, member(1, 0)),
            (21, member(2, 1)),
            (30, ended(1, 1, failed())),
            (31, ended(2, 2, Outcome::Stopped)),
            (40, member(3, 0)),
            (41, member(4, 1)),
            (50, ended(4, 4, failed())),
            (51, ended(3, 3, Outcome::Stopped)),
        ];
        events.extend(tries.into_iter().take(count));
        events.push((60, read(1, 55, JobState::Failed)));
        events
    };
    assert_found(failures(4), &[FalseEnd]);
    assert_clean(failures(8));
}
