//! Free capacity, labels, draining, heartbeats, health and incarnations of
//! runners.

mod support;

use scheduler::NotPlacedReason;
use support::*;
use types::*;

#[test]
fn unreported_runs_are_subtracted_from_reported_free_capacity() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 2, 1), at(0));
    for job in 1..=4 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    // One of the two slots is used by something outside the view.
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    let mut next = report("r1", 2, 2, 1);
    next.active.push(active_run(first.run));
    scheduler.heartbeat(&next, at(10));
    assert!(scheduler.reserve(&runner("r1"), at(10)).is_some());
    assert_eq!(scheduler.reserve(&runner("r1"), at(10)), None);
    // Open runs that a heartbeat does not list still use capacity.
    scheduler.heartbeat(&report("r1", 3, 2, 2), at(20));
    assert_eq!(scheduler.reserve(&runner("r1"), at(20)), None);
    // An older heartbeat that arrives late is ignored.
    scheduler.heartbeat(&report("r1", 2, 64, 64), at(30));
    assert_eq!(scheduler.runners(at(30))[0].capacity, slots(2));
}

#[test]
fn ended_run_uses_capacity_until_it_is_closed() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 1, 1), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    let mut with_ended_run = report("r1", 2, 1, 1);
    with_ended_run.ended.push(EndedRun {
        checkpoint: None,
        run: first.run,
        outcome: Outcome::Done,
    });
    scheduler.heartbeat(&with_ended_run, at(10));
    assert_eq!(scheduler.reserve(&runner("r1"), at(10)), None);
    scheduler.remove_run(first.run);
    assert!(scheduler.reserve(&runner("r1"), at(10)).is_some());
}

/// Runs of an earlier incarnation ended with it, so they use no capacity of the
/// runner, but they stay open until they are closed.
#[test]
fn runs_of_old_incarnation_count_for_tenant_but_not_for_runner() {
    let mut scheduler = scheduler(&document(&[("a", 3)]));
    scheduler.heartbeat(&report("r1", 1, 2, 2), at(0));
    for job in 1..=4 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    let mut restarted = report("r1", 1, 2, 2);
    restarted.incarnation = RunnerIncarnation(2);
    scheduler.heartbeat(&restarted, at(10));
    let view = &scheduler.runners(at(10))[0];
    assert_eq!((view.free, view.open_runs), (slots(2), 2));
    let third = placed(scheduler.reserve(&runner("r1"), at(10))).unwrap();
    assert_eq!(third.incarnation, RunnerIncarnation(2));
    assert_eq!(scheduler.reserve(&runner("r1"), at(10)), None);
    assert_eq!(
        scheduler.explain(task(4), at(10)),
        Some(NotPlacedReason::TenantAtLimit)
    );
}

#[test]
fn draining_unresponsive_or_unreported_runner_gets_no_task() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.publish(meta(1, "a", 1), at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerKnown)
    );
    let mut draining_report = report("r1", 1, 2, 2);
    draining_report.draining = true;
    scheduler.heartbeat(&draining_report, at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.heartbeat(&report("r1", 2, 2, 2), at(0));
    scheduler.set_draining(&runner("r1"), true);
    assert!(all_placed(scheduler.place(at(0), 10)).is_empty());
    scheduler.set_draining(&runner("r1"), false);
    assert_eq!(scheduler.reserve(&runner("r1"), at(1_501)), None);
    assert!(scheduler.reserve(&runner("r1"), at(1_500)).is_some());
}

#[test]
fn task_starts_only_on_runner_with_all_its_labels() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    let mut needs_fast_disk = meta(1, "a", 1);
    needs_fast_disk.labels.insert("disk".into(), "fast".into());
    scheduler.publish(needs_fast_disk, at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    let unlabelled = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(unlabelled.task, task(2));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerWithLabels)
    );
    let mut with_fast_disk = report("r2", 1, 4, 4);
    with_fast_disk.labels.insert("disk".into(), "fast".into());
    with_fast_disk.labels.insert("cpu".into(), "any".into());
    scheduler.heartbeat(&with_fast_disk, at(0));
    assert!(scheduler.reserve(&runner("r2"), at(0)).is_some());
}

fn three_runners() -> scheduler::Scheduler {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3"] {
        scheduler.heartbeat(&report(name, 1, 4, 4), at(0));
    }
    scheduler
}

#[test]
fn failures_of_different_jobs_lead_to_probation_then_to_trial_with_one_run() {
    let mut scheduler = three_runners();
    for job in 1..=8 {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(0));
    }
    scheduler.publish(meta(20, "a", 1), at(0));
    scheduler.publish(meta(21, "a", 1), at(0));
    assert!(scheduler.runners(at(0))[0].on_probation);
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.heartbeat(&report("r1", 2, 4, 4), at(10_000));
    let trial = placed(scheduler.reserve(&runner("r1"), at(10_000))).unwrap();
    assert_eq!(scheduler.reserve(&runner("r1"), at(10_000)), None);
    scheduler.remove_run(trial.run);
    scheduler.record_outcome(&runner("r1"), trial.task, false, at(10_000));
    scheduler.publish(meta(22, "a", 1), at(10_000));
    assert!(scheduler.reserve(&runner("r1"), at(10_000)).is_some());
    assert!(scheduler.reserve(&runner("r1"), at(10_000)).is_some());
}

#[test]
fn success_between_failures_resets_failure_count() {
    let mut scheduler = three_runners();
    for job in 1..=7 {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(0));
    }
    scheduler.record_outcome(&runner("r1"), task(8), false, at(0));
    for job in 9..=15 {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(0));
    }
    assert!(!scheduler.runners(at(0))[0].on_probation);
    scheduler.record_outcome(&runner("r1"), task(16), true, at(0));
    assert!(scheduler.runners(at(0))[0].on_probation);
}

#[test]
fn failure_on_trial_restarts_probation() {
    let mut scheduler = three_runners();
    for job in 1..=8 {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(0));
    }
    scheduler.record_outcome(&runner("r1"), task(9), true, at(10_000));
    assert!(scheduler.runners(at(19_999))[0].on_probation);
    assert!(!scheduler.runners(at(20_000))[0].on_probation);
}

#[test]
fn failures_of_one_job_cause_no_probation_and_at_most_a_third_of_runners_are_on_it() {
    let mut scheduler = three_runners();
    for _ in 0..50 {
        scheduler.record_outcome(&runner("r1"), task(1), true, at(0));
    }
    assert!(!scheduler.runners(at(0))[0].on_probation);
    for name in ["r1", "r2", "r3"] {
        for job in 1..=20 {
            scheduler.record_outcome(&runner(name), task(job), true, at(0));
        }
    }
    let views = scheduler.runners(at(0));
    let on_probation = views.iter().filter(|view| view.on_probation).count();
    assert_eq!(on_probation, 1);
}

#[test]
fn task_whose_only_matching_runner_drains_reports_runners_away() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    let mut labelled = report("labelled", 1, 9, 9);
    labelled.labels.insert("kind".to_owned(), "b".to_owned());
    labelled.draining = true;
    scheduler.heartbeat(&labelled, at(0));
    scheduler.heartbeat(&report("other", 1, 9, 9), at(0));
    let mut needs_label = meta(1, "a", 1);
    needs_label.labels.insert("kind".to_owned(), "b".to_owned());
    scheduler.publish(needs_label, at(0));
    scheduler.place(at(0), 10);
    let reason = scheduler.explain(task(1), at(0));
    assert_eq!(reason, Some(NotPlacedReason::RunnersAway));
}
