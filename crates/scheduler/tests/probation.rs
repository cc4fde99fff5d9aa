//! Probation and trial of a runner on which runs of many jobs failed: both end by time,
//! whatever else runs there.

mod support;

use scheduler::{NotPlacedReason, Scheduler};
use support::*;
use types::*;

/// Failures of different jobs that put a runner on probation.
const FAILURES: u64 = 8;
/// Length of a probation under the default options, in milliseconds.
const PROBATION_MS: u64 = 10_000;
/// Longest time for which a run on trial may keep other runs away, in milliseconds.
const TRIAL_MS: u64 = 2_000;
/// Number of the job whose run lasts.
const LASTING_JOB: u64 = 100;

/// Returns a task that runs until its job is cancelled.
fn lasting(job: u64) -> TaskMeta {
    let mut meta = meta(job, "a", 1);
    meta.rules.endless = true;
    meta
}

/// Returns a scheduler with three runners of four slots, of which only `r1` has the label
/// that [`labelled`] tasks require.
fn one_labelled_runner() -> Scheduler {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3"] {
        scheduler.heartbeat(&report_at(name, 1, &[]), at(0));
    }
    scheduler
}

fn label() -> Labels {
    Labels::from([("b".to_owned(), String::new())])
}

fn labelled(mut meta: TaskMeta) -> TaskMeta {
    meta.labels = label();
    meta
}

/// Returns a heartbeat with these active runs, each of one slot.
fn report_at(name: &str, sequence: u64, active: &[RunId]) -> RunnerReport {
    let used = u32::try_from(active.len()).unwrap();
    let mut report = report(name, sequence, 4, 4 - used);
    if name == "r1" {
        report.labels = label();
    }
    report.active = active.iter().copied().map(active_run).collect();
    report
}

fn fail_jobs(scheduler: &mut Scheduler, jobs: std::ops::Range<u64>, milliseconds: u64) {
    for job in jobs {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(milliseconds));
    }
}

/// Publishes a task that requires the label, and returns the run that a placement binds
/// for it, if any.
fn place(scheduler: &mut Scheduler, meta: TaskMeta, milliseconds: u64) -> Option<RunId> {
    scheduler.publish(labelled(meta), at(milliseconds));
    let placed = all_placed(scheduler.place(at(milliseconds), 100));
    placed.first().map(|reservation| reservation.run)
}

/// Guards against a runner that takes no work for as long as a lasting run from before its
/// probation is on it: the trial must not wait for the runner to be empty.
#[test]
fn lasting_run_from_before_the_probation_does_not_put_the_trial_off() {
    let mut scheduler = one_labelled_runner();
    let old = place(&mut scheduler, lasting(LASTING_JOB), 0).unwrap();
    fail_jobs(&mut scheduler, 1..FAILURES + 1, 100);
    let end = 100 + PROBATION_MS;
    scheduler.heartbeat(&report_at("r1", 2, &[old]), at(end - 1));
    assert_eq!(place(&mut scheduler, meta(20, "a", 1), end - 1), None);
    let reason = scheduler.explain(task(20), at(end - 1));
    assert_eq!(reason, Some(NotPlacedReason::RunnerOnProbation));
    let trial = all_placed(scheduler.place(at(end), 100));
    assert_eq!(trial.len(), 1, "the trial starts beside the lasting run");
    assert_eq!(place(&mut scheduler, meta(21, "a", 1), end), None);
    scheduler.remove_run(trial[0].run);
    scheduler.record_outcome(&runner("r1"), task(20), false, at(end + 100));
    let after = all_placed(scheduler.place(at(end + 100), 100));
    assert_eq!(after.len(), 1, "a success ends the trial");
}

/// Guards against the same when the run on trial itself lasts, or is so long that no end
/// comes: it keeps others away for a bounded time only, even if no heartbeat lists it.
#[test]
fn lasting_run_on_trial_keeps_others_away_for_a_bounded_time() {
    let mut scheduler = one_labelled_runner();
    fail_jobs(&mut scheduler, 1..FAILURES + 1, 0);
    scheduler.heartbeat(&report_at("r1", 2, &[]), at(PROBATION_MS));
    place(&mut scheduler, lasting(LASTING_JOB), PROBATION_MS).unwrap();
    let end = PROBATION_MS + TRIAL_MS;
    assert_eq!(place(&mut scheduler, meta(20, "a", 1), end - 1), None);
    scheduler.heartbeat(&report_at("r1", 3, &[]), at(end));
    let after = all_placed(scheduler.place(at(end), 100));
    assert_eq!(after.len(), 1);
}

/// Guards against a trial that no end of a run ever closes: a run that the runner still has
/// after the time of a trial shows that the runner works.
#[test]
fn run_that_outlives_the_trial_ends_it() {
    let mut scheduler = one_labelled_runner();
    fail_jobs(&mut scheduler, 1..FAILURES + 1, 0);
    scheduler.heartbeat(&report_at("r1", 2, &[]), at(PROBATION_MS));
    let lasting = place(&mut scheduler, lasting(LASTING_JOB), PROBATION_MS).unwrap();
    let end = PROBATION_MS + TRIAL_MS;
    scheduler.heartbeat(&report_at("r1", 3, &[lasting]), at(end));
    for job in 20..23 {
        assert!(
            place(&mut scheduler, meta(job, "a", 1), end).is_some(),
            "job {job}"
        );
    }
    fail_jobs(&mut scheduler, 20..21, end);
    assert!(
        !scheduler.runners(at(end))[0].on_probation,
        "failures from before the trial no longer count"
    );
}

/// Guards against a trial that ends by a run which the runner does not have: a heartbeat
/// that does not list the run shows nothing about the runner.
#[test]
fn run_that_no_heartbeat_lists_does_not_end_the_trial() {
    let mut scheduler = one_labelled_runner();
    fail_jobs(&mut scheduler, 1..FAILURES + 1, 0);
    scheduler.heartbeat(&report_at("r1", 2, &[]), at(PROBATION_MS));
    place(&mut scheduler, lasting(LASTING_JOB), PROBATION_MS).unwrap();
    let end = PROBATION_MS + TRIAL_MS;
    scheduler.heartbeat(&report_at("r1", 3, &[]), at(end));
    assert!(place(&mut scheduler, meta(20, "a", 1), end).is_some());
    assert_eq!(place(&mut scheduler, meta(21, "a", 1), end), None);
    fail_jobs(&mut scheduler, 20..21, end);
    assert!(scheduler.runners(at(end))[0].on_probation);
}

/// Guards against lasting tasks that put their runner on probation: they may fail at any
/// time, and a runner with only such tasks has no success that clears their failures.
#[test]
fn late_failures_of_lasting_runs_do_not_count_against_their_runner() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3"] {
        scheduler.heartbeat(&report(name, 1, 16, 16), at(0));
    }
    for job in 1..=FAILURES {
        scheduler.publish(lasting(job), at(0));
        placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    }
    fail_jobs(&mut scheduler, 1..FAILURES + 1, TRIAL_MS);
    assert!(!scheduler.runners(at(TRIAL_MS))[0].on_probation);
}

/// A runner that fails all it starts fails lasting tasks as well.
#[test]
fn early_failures_of_lasting_runs_count_against_their_runner() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3"] {
        scheduler.heartbeat(&report(name, 1, 16, 16), at(0));
    }
    for job in 1..=FAILURES {
        scheduler.publish(lasting(job), at(0));
        placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    }
    fail_jobs(&mut scheduler, 1..FAILURES + 1, TRIAL_MS - 1);
    assert!(scheduler.runners(at(TRIAL_MS))[0].on_probation);
}
