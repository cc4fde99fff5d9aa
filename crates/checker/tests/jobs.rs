//! Rules on jobs. Each test checks that a violation is reported and that histories
//! just within the limits are accepted.

mod support;

use checker::ViolationKind::*;
use checker::{Event, ExpectedStep};
use support::*;
use types::*;

fn one_step() -> Vec<ExpectedStep> {
    vec![simple_step("only")]
}

#[test]
fn acknowledged_job_unknown_within_retention_is_violation() {
    let base = vec![
        (0, submit_sent(1, &one_step())),
        (10, submit_acknowledged(1)),
    ];
    let mut lost = base.clone();
    lost.push((3_020, unknown_read(1, 3_010)));
    assert_violations(lost, &[LostJob]);
    let mut early = base.clone();
    early.push((3_050, unknown_read(1, 3_009)));
    assert_no_violations(early);
    let mut forgotten = base;
    forgotten.push((3_600_020, unknown_read(1, 3_600_010)));
    assert_no_violations(forgotten);
    // The submit was not acknowledged, so the job may be unknown.
    assert_no_violations(vec![
        (0, submit_sent(1, &one_step())),
        (9_000, unknown_read(1, 8_990)),
    ]);
}

#[test]
fn acknowledged_job_without_final_state_is_violation() {
    let base = vec![
        (0, submit_sent(1, &one_step())),
        (10, submit_acknowledged(1)),
        (20, run_started(1, 1, 1, "only")),
        (30, run_ended(1, 1, Outcome::Done)),
    ];
    let mut lost = base.clone();
    lost.push((60_000, Event::Finished));
    assert_violations(lost, &[LostJob]);
    let mut finished = base;
    finished.push((40, state_read(1, 35, JobState::Done)));
    finished.push((60_000, Event::Finished));
    assert_no_violations(finished);
}

#[test]
fn job_with_late_earliest_start_may_be_unfinished() {
    let submit_with_earliest_start = |not_before| Event::SubmitSent {
        job: job(1),
        steps: one_step(),
        not_before: Some(Milliseconds(not_before)),
    };
    let events_for = |not_before| {
        vec![
            (0, submit_with_earliest_start(not_before)),
            (10, submit_acknowledged(1)),
            (60_000, Event::Finished),
        ]
    };
    assert_violations(events_for(48_000), &[LostJob]);
    assert_no_violations(events_for(48_001));
}

#[test]
fn failed_job_without_excess_failures_is_violation() {
    let mut retried = simple_step("only");
    retried.allowed_failures = 1;
    let base = vec![
        (0, submit_sent(1, &[retried])),
        (10, submit_acknowledged(1)),
        (20, run_started(1, 1, 1, "only")),
        (30, run_ended(1, 1, failed_outcome())),
        (40, run_started(2, 1, 1, "only")),
    ];
    let mut early = base.clone();
    early.push((50, state_read(1, 45, JobState::Failed)));
    assert_violations(early, &[FalseEnd]);
    let mut with_cause = base.clone();
    with_cause.push((50, run_ended(2, 1, failed_outcome())));
    with_cause.push((60, state_read(1, 55, JobState::Failed)));
    assert_no_violations(with_cause);
    // A stopped run counts as failed only if it reached its time limit.
    let mut lost = base.clone();
    lost.push((50, run_ended(2, 1, Outcome::Stopped)));
    lost.push((60, state_read(1, 55, JobState::Failed)));
    assert_violations(lost, &[FalseEnd]);
    let mut timed_out = base.clone();
    timed_out.push((60_040, run_ended(2, 1, Outcome::Stopped)));
    timed_out.push((60_050, state_read(1, 60_045, JobState::Failed)));
    assert_no_violations(timed_out);
    let mut still_open = base;
    still_open.push((60_050, state_read(1, 60_045, JobState::Failed)));
    assert_no_violations(still_open);
}

#[test]
fn cancelled_or_done_job_without_cause_is_violation() {
    let base = vec![
        (0, submit_sent(1, &one_step())),
        (10, submit_acknowledged(1)),
    ];
    let mut cancelled = base.clone();
    cancelled.push((30, state_read(1, 25, JobState::Cancelled)));
    assert_violations(cancelled, &[FalseEnd]);
    let mut cancel_requested = base.clone();
    cancel_requested.push((20, Event::CancelSent { job: job(1) }));
    cancel_requested.push((30, state_read(1, 25, JobState::Cancelled)));
    assert_no_violations(cancel_requested);
    let mut done = base.clone();
    done.push((20, run_started(1, 1, 1, "only")));
    done.push((30, state_read(1, 25, JobState::Done)));
    assert_violations(done, &[FalseEnd]);
    let mut done_with_cause = base;
    done_with_cause.push((20, run_started(1, 1, 1, "only")));
    done_with_cause.push((22, run_ended(1, 1, Outcome::Done)));
    done_with_cause.push((30, state_read(1, 25, JobState::Done)));
    assert_no_violations(done_with_cause);
}

#[test]
fn changed_final_state_is_violation() {
    let base = vec![
        (0, submit_sent(1, &one_step())),
        (10, submit_acknowledged(1)),
        (20, run_started(1, 1, 1, "only")),
        (30, run_ended(1, 1, Outcome::Done)),
        (50, state_read(1, 40, JobState::Done)),
    ];
    let mut reopened = base.clone();
    reopened.push((60, state_read(1, 50, JobState::Running)));
    assert_violations(reopened, &[Reopened]);
    let mut other_end = base.clone();
    other_end.push((60, state_read(1, 45, JobState::Failed)));
    assert_violations(other_end, &[Reopened]);
    // The request was sent before the first reply arrived.
    let mut late_reply = base;
    late_reply.push((60, state_read(1, 49, JobState::Running)));
    late_reply.push((70, state_read(1, 65, JobState::Done)));
    assert_no_violations(late_reply);
}

#[test]
fn report_counts_each_job_once() {
    let report = check_events(vec![
        (0, submit_sent(1, &one_step())),
        (5, submit_acknowledged(1)),
        (6, submit_acknowledged(1)),
        (7, run_started(1, 1, 1, "only")),
        (8, run_ended(1, 1, Outcome::Done)),
        (9, state_read(1, 8, JobState::Done)),
        (10, state_read(1, 9, JobState::Done)),
    ]);
    assert_eq!(report.violations, []);
    assert_eq!((report.acknowledged_jobs, report.done_jobs), (1, 1));
    assert_eq!((report.failed_jobs, report.cancelled_jobs), (0, 0));
    assert_eq!(report.started_runs, 1);
}
