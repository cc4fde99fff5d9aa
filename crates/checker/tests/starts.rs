//! Rules on starts: each planted fault is caught, each near miss passes.

mod support;

use checker::ViolationKind::*;
use checker::{Event, ExpectedStep};
use support::*;
use types::*;

fn copies(count: u32) -> Vec<ExpectedStep> {
    let mut step = expected("only");
    step.max_copies = count;
    vec![step]
}

#[test]
fn runs_of_a_task_overlap_only_as_copies() {
    let base = |count| {
        vec![
            (0, sent(1, &copies(count))),
            (20, started(1, 1, 1, "only")),
            (30, started(2, 2, 1, "only")),
        ]
    };
    assert_found(base(1), &[OverlappingRuns]);
    assert_clean(base(2));
    let mut third = base(2);
    third.push((40, started(3, 3, 1, "only")));
    assert_found(third, &[OverlappingRuns]);
    // The first died with its runner.
    let mut in_turn = base(1);
    in_turn.insert(2, (25, Event::RunnerStopped { runner: runner(1) }));
    assert_clean(in_turn);
}

#[test]
fn a_done_task_does_not_start_again() {
    let base = |count| {
        vec![
            (0, sent(1, &copies(count))),
            (20, started(1, 1, 1, "only")),
            (30, ended(1, 1, Outcome::Done)),
        ]
    };
    let again = |at, count| {
        let mut events = base(count);
        events.push((at, started(2, 2, 1, "only")));
        events
    };
    assert_found(again(31, 1), &[RepeatedTask]);
    assert_clean(again(3_030, 2));
    assert_found(again(3_031, 2), &[RepeatedTask]);
    // A fault may keep the first copy's end from the leader.
    let mut cut_off = base(2);
    cut_off.push((40, fault()));
    cut_off.push((9_000, started(2, 2, 1, "only")));
    assert_clean(cut_off.clone());
    cut_off.insert(4, (8_000, Event::Healed));
    assert_clean(cut_off.clone());
    cut_off.push((11_001, started(3, 3, 1, "only")));
    assert_found(cut_off, &[RepeatedTask]);
    // Ended another way, it may.
    assert_clean(vec![
        (0, sent(1, &copies(1))),
        (20, started(1, 1, 1, "only")),
        (30, ended(1, 1, Outcome::Stopped)),
        (31, started(2, 2, 1, "only")),
    ]);
}

#[test]
fn one_run_starts_once() {
    let base = vec![
        (0, sent(1, &copies(1))),
        (20, started(1, 1, 1, "only")),
        (30, ended(1, 1, Outcome::Stopped)),
    ];
    let mut twice = base.clone();
    twice.push((40, started(1, 2, 1, "only")));
    assert_found(twice, &[DoubleStart]);
    let mut another = base;
    another.push((40, started(2, 2, 1, "only")));
    assert_clean(another);
}

#[test]
fn a_step_waits_for_all_tasks_of_the_steps_before_it() {
    let mut first = expected("first");
    first.tasks = 2;
    let mut second = expected("second");
    second.after.push(step("first"));
    let base = vec![
        (0, sent(1, &[first, second])),
        (20, started(1, 1, 1, "first")),
        (30, ended(1, 1, Outcome::Done)),
    ];
    let mut early = base.clone();
    early.push((40, started(2, 1, 1, "second")));
    assert_found(early, &[StartBeforeDependency]);
    let mut other_task = started(3, 1, 1, "first");
    if let Event::RunStarted { task, .. } = &mut other_task {
        *task = 1;
    }
    let mut in_turn = base;
    in_turn.push((40, other_task));
    in_turn.push((50, ended(3, 1, Outcome::Done)));
    in_turn.push((50, started(2, 1, 1, "second")));
    assert_clean(in_turn);
}

#[test]
fn no_start_before_the_jobs_time() {
    let at_time = |not_before| Event::SubmitSent {
        job: job(1),
        steps: copies(1),
        not_before,
    };
    let base = |at| {
        vec![
            (0, at_time(Some(Milliseconds(5_000)))),
            (at, started(1, 1, 1, "only")),
        ]
    };
    assert_found(base(4_899), &[StartBeforeTime]);
    assert_clean(base(4_900));
    // Either of two different submits may have been the one taken.
    assert_clean(vec![
        (0, at_time(Some(Milliseconds(5_000)))),
        (10, at_time(None)),
        (20, started(1, 1, 1, "only")),
    ]);
}

fn resource_limit(slot_count: u32) -> Event {
    Event::ResourceLimitInForce {
        tenant: job(1).tenant,
        resource_limit: slots(slot_count),
    }
}

fn many_starts(at: u64, count: u64) -> Vec<(u64, Event)> {
    let numbers = 1..=count;
    numbers
        .map(|number| (at, started(number, 1, number, "only")))
        .collect()
}

#[test]
fn a_tenant_stays_below_its_ceiling_and_margin() {
    let base = |count| {
        let mut events = vec![(0, resource_limit(40))];
        events.extend(many_starts(10, count));
        events
    };
    assert_clean(base(42));
    assert_found(base(43), &[ResourceLimitExceeded]);
    let mut freed = base(42);
    freed.push((20, ended(1, 1, Outcome::Done)));
    freed.push((30, started(100, 2, 100, "only")));
    assert_clean(freed);
}

#[test]
fn a_lower_ceiling_binds_new_starts_after_its_time_only() {
    let lowered = |at| {
        let mut events = vec![(0, resource_limit(4))];
        events.extend(many_starts(10, 3));
        events.push((1_000, resource_limit(2)));
        events.push((at, started(100, 2, 100, "only")));
        events
    };
    assert_clean(lowered(3_000));
    assert_found(lowered(3_001), &[ResourceLimitExceeded]);
}

#[test]
fn a_higher_ceiling_whose_acknowledgement_was_lost_may_hold() {
    let raised = |is_sent| {
        let mut events = vec![(0, resource_limit(1)), (0, started(1, 1, 1, "only"))];
        if is_sent {
            events.push((
                10,
                Event::ResourceLimitSent {
                    tenant: job(1).tenant,
                    resource_limit: slots(2),
                },
            ));
        }
        events.push((30_000, started(2, 1, 2, "only")));
        events
    };
    assert_found(raised(false), &[ResourceLimitExceeded]);
    assert_clean(raised(true));
    let mut superseded = raised(true);
    superseded.insert(3, (20, resource_limit(1)));
    assert_found(superseded, &[ResourceLimitExceeded]);
}

#[test]
fn a_task_is_not_retried_past_its_allowed_failures() {
    let base = |allowed_failures, count| {
        let mut steps = copies(count);
        steps[0].allowed_failures = allowed_failures;
        vec![
            (0, sent(1, &steps)),
            (20, started(1, 1, 1, "only")),
            (30, ended(1, 1, failed())),
        ]
    };
    let again = |at, allowed_failures, count| {
        let mut events = base(allowed_failures, count);
        events.push((at, started(2, 2, 1, "only")));
        events
    };
    assert_found(again(40, 0, 1), &[RetriedPastAllowed]);
    assert_clean(again(40, 1, 1));
    assert_clean(again(3_030, 0, 2));
    assert_found(again(3_031, 0, 2), &[RetriedPastAllowed]);
}

#[test]
fn an_acknowledged_cancel_stops_starts_in_time() {
    let base = |at| {
        vec![
            (0, sent(1, &copies(1))),
            (10, Event::CancelSent { job: job(1) }),
            (20, Event::CancelAcknowledged { job: job(1) }),
            (at, started(1, 1, 1, "only")),
        ]
    };
    assert_clean(base(3_020));
    assert_found(base(3_021), &[StartAfterCancel]);
    // One whose answer was lost promised nothing.
    let mut unanswered = base(9_000);
    unanswered.remove(2);
    assert_clean(unanswered);
}

#[test]
fn a_leaving_runner_gets_nothing_new() {
    let on = |event, at| vec![(10, event), (at, started(1, 1, 1, "only"))];
    let own = || Event::RunnerDraining { runner: runner(1) };
    let ordered = || Event::RunnerDrainAcknowledged { runner: runner(1) };
    for event in [own, ordered] {
        assert_clean(on(event(), 2_010));
        assert_found(on(event(), 2_011), &[StartOnDrainingRunner]);
    }
    let between = |first, second| {
        let mut events = on(first, 9_000);
        events.insert(1, (20, second));
        events
    };
    let stopped = || Event::RunnerStopped { runner: runner(1) };
    assert_clean(between(own(), stopped()));
    assert_found(between(ordered(), stopped()), &[StartOnDrainingRunner]);
    let lifted = Event::RunnerDrainLifted { runner: runner(1) };
    assert_clean(between(ordered(), lifted));
}

#[test]
fn a_start_reaches_a_runner_once() {
    let delivered = |at, of: u64| {
        let event = Event::StartDelivered {
            runner: runner(1),
            run: run(of),
        };
        (at, event)
    };
    assert_clean(vec![delivered(10, 1), delivered(11, 2)]);
    assert_found(vec![delivered(10, 1), delivered(900, 1)], &[DoubleStart]);
}

#[test]
fn no_more_runs_than_seats_of_a_licence_go_at_once() {
    let licence = LicenceName::new("finishing").unwrap();
    let mut licensed = expected("only");
    licensed.licence = Some(licence.clone());
    let base = |seats| {
        let mut events = vec![(
            0,
            Event::SeatsInForce {
                licence: licence.clone(),
                seats,
            },
        )];
        for number in 1..=2 {
            events.push((5, sent(number, &[licensed.clone()])));
            events.push((10, started(number, number, number, "only")));
        }
        events
    };
    assert_clean(base(2));
    assert_found(base(1), &[SeatsExceeded]);
    let mut frozen = base(2);
    frozen.push((20, Event::RunnerFrozen { runner: runner(1) }));
    frozen.push((25, sent(3, &[licensed.clone()])));
    frozen.push((30, started(3, 3, 3, "only")));
    assert_clean(frozen);
}
