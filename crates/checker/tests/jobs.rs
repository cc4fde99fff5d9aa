//! Rules on jobs: each planted fault is caught, each near miss passes.

mod support;

use checker::ViolationKind::*;
use checker::{Event, ExpectedStep};
use support::*;
use types::*;

fn one() -> Vec<ExpectedStep> {
    vec![expected("only")]
}

#[test]
fn an_acknowledged_job_that_is_unknown_later_is_lost() {
    let base = vec![(0, sent(1, &one())), (10, acknowledged(1))];
    let mut lost = base.clone();
    lost.push((3_020, unknown(1, 3_010)));
    assert_found(lost, &[LostJob]);
    let mut early = base.clone();
    early.push((3_050, unknown(1, 3_009)));
    assert_clean(early);
    let mut forgotten = base;
    forgotten.push((3_600_020, unknown(1, 3_600_010)));
    assert_clean(forgotten);
    // Without an acknowledgement nothing was promised.
    assert_clean(vec![(0, sent(1, &one())), (9_000, unknown(1, 8_990))]);
}

#[test]
fn an_acknowledged_job_without_an_end_is_lost() {
    let base = vec![
        (0, sent(1, &one())),
        (10, acknowledged(1)),
        (20, started(1, 1, 1, "only")),
        (30, ended(1, 1, Outcome::Done)),
    ];
    let mut lost = base.clone();
    lost.push((60_000, Event::Finished));
    assert_found(lost, &[LostJob]);
    let mut whole = base;
    whole.push((40, read(1, 35, JobState::Done)));
    whole.push((60_000, Event::Finished));
    assert_clean(whole);
}

#[test]
fn a_job_whose_time_has_hardly_come_need_not_have_ended() {
    let later = |not_before| Event::SubmitSent {
        job: job(1),
        steps: one(),
        not_before: Some(Milliseconds(not_before)),
    };
    let base = |not_before| {
        vec![
            (0, later(not_before)),
            (10, acknowledged(1)),
            (60_000, Event::Finished),
        ]
    };
    assert_found(base(48_000), &[LostJob]);
    assert_clean(base(48_001));
}

#[test]
fn a_failed_job_needs_a_task_past_its_allowed_failures() {
    let mut retried = expected("only");
    retried.allowed_failures = 1;
    let base = vec![
        (0, sent(1, &[retried])),
        (10, acknowledged(1)),
        (20, started(1, 1, 1, "only")),
        (30, ended(1, 1, failed())),
        (40, started(2, 1, 1, "only")),
    ];
    let mut early = base.clone();
    early.push((50, read(1, 45, JobState::Failed)));
    assert_found(early, &[FalseEnd]);
    let mut with_cause = base.clone();
    with_cause.push((50, ended(2, 1, failed())));
    with_cause.push((60, read(1, 55, JobState::Failed)));
    assert_clean(with_cause);
    // A lost run is no failure; one that reached its time limit is.
    let mut lost = base.clone();
    lost.push((50, ended(2, 1, Outcome::Stopped)));
    lost.push((60, read(1, 55, JobState::Failed)));
    assert_found(lost, &[FalseEnd]);
    let mut timed_out = base.clone();
    timed_out.push((60_040, ended(2, 1, Outcome::Stopped)));
    timed_out.push((60_050, read(1, 60_045, JobState::Failed)));
    assert_clean(timed_out);
    let mut stands_still = base;
    stands_still.push((60_050, read(1, 60_045, JobState::Failed)));
    assert_clean(stands_still);
}

#[test]
fn a_job_is_cancelled_only_when_asked_and_done_only_when_done() {
    let base = vec![(0, sent(1, &one())), (10, acknowledged(1))];
    let mut cancelled = base.clone();
    cancelled.push((30, read(1, 25, JobState::Cancelled)));
    assert_found(cancelled, &[FalseEnd]);
    let mut asked = base.clone();
    asked.push((20, Event::CancelSent { job: job(1) }));
    asked.push((30, read(1, 25, JobState::Cancelled)));
    assert_clean(asked);
    let mut done = base.clone();
    done.push((20, started(1, 1, 1, "only")));
    done.push((30, read(1, 25, JobState::Done)));
    assert_found(done, &[FalseEnd]);
    let mut really_done = base;
    really_done.push((20, started(1, 1, 1, "only")));
    really_done.push((22, ended(1, 1, Outcome::Done)));
    really_done.push((30, read(1, 25, JobState::Done)));
    assert_clean(really_done);
}

#[test]
fn a_final_state_never_changes() {
    let base = vec![
        (0, sent(1, &one())),
        (10, acknowledged(1)),
        (20, started(1, 1, 1, "only")),
        (30, ended(1, 1, Outcome::Done)),
        (50, read(1, 40, JobState::Done)),
    ];
    let mut reopened = base.clone();
    reopened.push((60, read(1, 50, JobState::Running)));
    assert_found(reopened, &[Reopened]);
    let mut other_end = base.clone();
    other_end.push((60, read(1, 45, JobState::Failed)));
    assert_found(other_end, &[Reopened]);
    // The question was sent before the first answer came.
    let mut crossed = base;
    crossed.push((60, read(1, 49, JobState::Running)));
    crossed.push((70, read(1, 65, JobState::Done)));
    assert_clean(crossed);
}

#[test]
fn counts_are_of_jobs_not_of_answers() {
    let report = report(vec![
        (0, sent(1, &one())),
        (5, acknowledged(1)),
        (6, acknowledged(1)),
        (7, started(1, 1, 1, "only")),
        (8, ended(1, 1, Outcome::Done)),
        (9, read(1, 8, JobState::Done)),
        (10, read(1, 9, JobState::Done)),
    ]);
    assert_eq!(report.violations, []);
    assert_eq!((report.acknowledged_jobs, report.done_jobs), (1, 1));
    assert_eq!((report.failed_jobs, report.cancelled_jobs), (0, 0));
    assert_eq!(report.started_runs, 1);
}
