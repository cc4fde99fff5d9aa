//! Rules on starts. Each test checks that a violation is reported and that
//! histories just within the limits are accepted.

mod support;

use checker::ViolationKind::*;
use checker::{Event, ExpectedStep};
use support::*;
use types::*;

fn step_with_copies(count: u32) -> Vec<ExpectedStep> {
    let mut step = simple_step("only");
    step.max_copies = count;
    vec![step]
}

#[test]
fn more_open_runs_than_copies_are_violation() {
    let events_for = |count| {
        vec![
            (0, submit_sent(1, &step_with_copies(count))),
            (20, run_started(1, 1, 1, "only")),
            (30, run_started(2, 2, 1, "only")),
        ]
    };
    assert_violations(events_for(1), &[OverlappingRuns]);
    assert_no_violations(events_for(2));
    let mut third = events_for(2);
    third.push((40, run_started(3, 3, 1, "only")));
    assert_violations(third, &[OverlappingRuns]);
    // The first run ended with its runner's process.
    let mut in_turn = events_for(1);
    in_turn.insert(2, (25, Event::RunnerStopped { runner: runner(1) }));
    assert_no_violations(in_turn);
}

#[test]
fn start_of_done_task_is_violation() {
    let events_for = |count| {
        vec![
            (0, submit_sent(1, &step_with_copies(count))),
            (20, run_started(1, 1, 1, "only")),
            (30, run_ended(1, 1, Outcome::Done)),
        ]
    };
    let restarted = |at, count| {
        let mut events = events_for(count);
        events.push((at, run_started(2, 2, 1, "only")));
        events
    };
    assert_violations(restarted(31, 1), &[RepeatedTask]);
    assert_no_violations(restarted(3_030, 2));
    assert_violations(restarted(3_031, 2), &[RepeatedTask]);
    // A fault may delay the report of the first copy's end to the leader.
    let mut delayed_report = events_for(2);
    delayed_report.push((40, fault_injected()));
    delayed_report.push((9_000, run_started(2, 2, 1, "only")));
    assert_no_violations(delayed_report.clone());
    delayed_report.insert(4, (8_000, Event::Healed));
    assert_no_violations(delayed_report.clone());
    delayed_report.push((11_001, run_started(3, 3, 1, "only")));
    assert_violations(delayed_report, &[RepeatedTask]);
    // A task whose run was stopped may start again.
    assert_no_violations(vec![
        (0, submit_sent(1, &step_with_copies(1))),
        (20, run_started(1, 1, 1, "only")),
        (30, run_ended(1, 1, Outcome::Stopped)),
        (31, run_started(2, 2, 1, "only")),
    ]);
}

#[test]
fn second_start_of_run_is_violation() {
    let base = vec![
        (0, submit_sent(1, &step_with_copies(1))),
        (20, run_started(1, 1, 1, "only")),
        (30, run_ended(1, 1, Outcome::Stopped)),
    ];
    let mut twice = base.clone();
    twice.push((40, run_started(1, 2, 1, "only")));
    assert_violations(twice, &[DoubleStart]);
    let mut another = base;
    another.push((40, run_started(2, 2, 1, "only")));
    assert_no_violations(another);
}

#[test]
fn start_before_dependency_is_done_is_violation() {
    let mut first = simple_step("first");
    first.tasks = 2;
    let mut second = simple_step("second");
    second.after.push(step("first"));
    let base = vec![
        (0, submit_sent(1, &[first, second])),
        (20, run_started(1, 1, 1, "first")),
        (30, run_ended(1, 1, Outcome::Done)),
    ];
    let mut early = base.clone();
    early.push((40, run_started(2, 1, 1, "second")));
    assert_violations(early, &[StartBeforeDependency]);
    let mut other_task = run_started(3, 1, 1, "first");
    if let Event::RunStarted { task, .. } = &mut other_task {
        *task = 1;
    }
    let mut in_turn = base;
    in_turn.push((40, other_task));
    in_turn.push((50, run_ended(3, 1, Outcome::Done)));
    in_turn.push((50, run_started(2, 1, 1, "second")));
    assert_no_violations(in_turn);
}

#[test]
fn start_before_earliest_start_is_violation() {
    let submit_with_earliest_start = |not_before| Event::SubmitSent {
        job: job(1),
        steps: step_with_copies(1),
        not_before,
    };
    let events_for = |at| {
        vec![
            (0, submit_with_earliest_start(Some(Milliseconds(5_000)))),
            (at, run_started(1, 1, 1, "only")),
        ]
    };
    assert_violations(events_for(4_899), &[StartBeforeTime]);
    assert_no_violations(events_for(4_900));
    // Either of two different submits may have created the job.
    assert_no_violations(vec![
        (0, submit_with_earliest_start(Some(Milliseconds(5_000)))),
        (10, submit_with_earliest_start(None)),
        (20, run_started(1, 1, 1, "only")),
    ]);
}

fn resource_limit_acknowledged(slot_count: u32) -> Event {
    Event::ResourceLimitInForce {
        tenant: job(1).tenant,
        resource_limit: slots(slot_count),
    }
}

/// Returns starts of runs of different jobs, all at the same time.
fn run_starts(at: u64, count: u64) -> Vec<(u64, Event)> {
    let numbers = 1..=count;
    numbers
        .map(|number| (at, run_started(number, 1, number, "only")))
        .collect()
}

#[test]
fn usage_above_resource_limit_and_margin_is_violation() {
    let events_for = |count| {
        let mut events = vec![(0, resource_limit_acknowledged(40))];
        events.extend(run_starts(10, count));
        events
    };
    assert_no_violations(events_for(42));
    assert_violations(events_for(43), &[ResourceLimitExceeded]);
    let mut freed = events_for(42);
    freed.push((20, run_ended(1, 1, Outcome::Done)));
    freed.push((30, run_started(100, 2, 100, "only")));
    assert_no_violations(freed);
}

#[test]
fn lowered_resource_limit_applies_only_to_later_starts() {
    let lowered = |at| {
        let mut events = vec![(0, resource_limit_acknowledged(4))];
        events.extend(run_starts(10, 3));
        events.push((1_000, resource_limit_acknowledged(2)));
        events.push((at, run_started(100, 2, 100, "only")));
        events
    };
    assert_no_violations(lowered(3_000));
    assert_violations(lowered(3_001), &[ResourceLimitExceeded]);
}

#[test]
fn unacknowledged_higher_resource_limit_may_apply() {
    let raised = |is_sent| {
        let mut events = vec![
            (0, resource_limit_acknowledged(1)),
            (0, run_started(1, 1, 1, "only")),
        ];
        if is_sent {
            events.push((
                10,
                Event::ResourceLimitSent {
                    tenant: job(1).tenant,
                    resource_limit: slots(2),
                },
            ));
        }
        events.push((30_000, run_started(2, 1, 2, "only")));
        events
    };
    assert_violations(raised(false), &[ResourceLimitExceeded]);
    assert_no_violations(raised(true));
    let mut superseded = raised(true);
    superseded.insert(3, (20, resource_limit_acknowledged(1)));
    assert_violations(superseded, &[ResourceLimitExceeded]);
}

#[test]
fn start_after_allowed_failures_is_violation() {
    let events_for = |allowed_failures, count| {
        let mut steps = step_with_copies(count);
        steps[0].allowed_failures = allowed_failures;
        vec![
            (0, submit_sent(1, &steps)),
            (20, run_started(1, 1, 1, "only")),
            (30, run_ended(1, 1, failed_outcome())),
        ]
    };
    let restarted = |at, allowed_failures, count| {
        let mut events = events_for(allowed_failures, count);
        events.push((at, run_started(2, 2, 1, "only")));
        events
    };
    assert_violations(restarted(40, 0, 1), &[RetriedPastAllowed]);
    assert_no_violations(restarted(40, 1, 1));
    assert_no_violations(restarted(3_030, 0, 2));
    assert_violations(restarted(3_031, 0, 2), &[RetriedPastAllowed]);
}

#[test]
fn start_after_acknowledged_cancel_is_violation() {
    let events_for = |at| {
        vec![
            (0, submit_sent(1, &step_with_copies(1))),
            (10, Event::CancelSent { job: job(1) }),
            (20, Event::CancelAcknowledged { job: job(1) }),
            (at, run_started(1, 1, 1, "only")),
        ]
    };
    assert_no_violations(events_for(3_020));
    assert_violations(events_for(3_021), &[StartAfterCancel]);
    // A cancel without acknowledgement does not prevent starts.
    let mut unanswered = events_for(9_000);
    unanswered.remove(2);
    assert_no_violations(unanswered);
}

#[test]
fn start_on_draining_runner_is_violation() {
    let start_after = |event, at| vec![(10, event), (at, run_started(1, 1, 1, "only"))];
    let reported_by_runner = || Event::RunnerDraining { runner: runner(1) };
    let ordered_by_operator = || Event::RunnerDrainAcknowledged { runner: runner(1) };
    for event in [reported_by_runner, ordered_by_operator] {
        assert_no_violations(start_after(event(), 2_010));
        assert_violations(start_after(event(), 2_011), &[StartOnDrainingRunner]);
    }
    let with_event_between = |first, second| {
        let mut events = start_after(first, 9_000);
        events.insert(1, (20, second));
        events
    };
    let stopped = || Event::RunnerStopped { runner: runner(1) };
    assert_no_violations(with_event_between(reported_by_runner(), stopped()));
    assert_violations(
        with_event_between(ordered_by_operator(), stopped()),
        &[StartOnDrainingRunner],
    );
    let lifted = Event::RunnerDrainLifted { runner: runner(1) };
    assert_no_violations(with_event_between(ordered_by_operator(), lifted));
}

#[test]
fn second_delivery_of_start_is_violation() {
    let delivered = |at, of: u64| {
        let event = Event::StartDelivered {
            runner: runner(1),
            run: run(of),
        };
        (at, event)
    };
    assert_no_violations(vec![delivered(10, 1), delivered(11, 2)]);
    assert_violations(vec![delivered(10, 1), delivered(900, 1)], &[DoubleStart]);
}

#[test]
fn more_open_runs_than_licence_seats_are_violation() {
    let licence = LicenceName::new("finishing").unwrap();
    let mut licensed = simple_step("only");
    licensed.licence = Some(licence.clone());
    let events_for = |seats| {
        let mut events = vec![(
            0,
            Event::SeatsInForce {
                licence: licence.clone(),
                seats,
            },
        )];
        for number in 1..=2 {
            events.push((5, submit_sent(number, &[licensed.clone()])));
            events.push((10, run_started(number, number, number, "only")));
        }
        events
    };
    assert_no_violations(events_for(2));
    assert_violations(events_for(1), &[SeatsExceeded]);
    let mut frozen = events_for(2);
    frozen.push((20, Event::RunnerFrozen { runner: runner(1) }));
    frozen.push((25, submit_sent(3, &[licensed.clone()])));
    frozen.push((30, run_started(3, 3, 3, "only")));
    assert_no_violations(frozen);
}
