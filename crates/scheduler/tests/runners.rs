//! Free capacity, labels, draining, heartbeats, health and incarnations of runners.

mod support;

use scheduler::NotPlacedReason;
use support::*;
use types::*;

#[test]
fn free_capacity_counts_unreported_runs_and_heartbeats_free_it() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 2, 1), at(0));
    for job in 1..=4 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    // Something that the view does not know uses one of the two slots.
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    let mut next = report("r1", 2, 2, 1);
    next.active.push(usage(first.run));
    scheduler.heartbeat(&next, at(10));
    assert!(scheduler.reserve(&runner("r1"), at(10)).is_some());
    assert_eq!(scheduler.reserve(&runner("r1"), at(10)), None);
    // A heartbeat of free capacity does not outweigh open runs.
    scheduler.heartbeat(&report("r1", 3, 2, 2), at(20));
    assert_eq!(scheduler.reserve(&runner("r1"), at(20)), None);
    // An older heartbeat that comes late changes nothing.
    scheduler.heartbeat(&report("r1", 2, 64, 64), at(30));
    assert_eq!(scheduler.runners(at(30))[0].capacity, slots(2));
}

#[test]
fn an_ended_run_uses_capacity_until_it_is_closed() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.heartbeat(&report("r1", 1, 1, 1), at(0));
    scheduler.publish(meta(1, "a", 1), at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    let first = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    let mut over = report("r1", 2, 1, 1);
    over.ended.push(EndedRun {
        checkpoint: None,
        run: first.run,
        outcome: Outcome::Done,
    });
    scheduler.heartbeat(&over, at(10));
    assert_eq!(scheduler.reserve(&runner("r1"), at(10)), None);
    scheduler.remove_run(first.run);
    assert!(scheduler.reserve(&runner("r1"), at(10)).is_some());
}

#[test]
fn a_new_incarnation_has_its_own_capacity_while_old_runs_still_count_for_the_tenant() {
    let mut scheduler = scheduler(&document(&[("a", 3)]));
    scheduler.heartbeat(&report("r1", 1, 2, 2), at(0));
    for job in 1..=4 {
        scheduler.publish(meta(job, "a", 1), at(0));
    }
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    scheduler.reserve(&runner("r1"), at(0)).unwrap();
    let mut reborn = report("r1", 1, 2, 2);
    reborn.incarnation = RunnerIncarnation(2);
    scheduler.heartbeat(&reborn, at(10));
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
fn no_pull_for_a_draining_unresponsive_or_unseen_runner() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    scheduler.publish(meta(1, "a", 1), at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerKnown)
    );
    let mut leaving = report("r1", 1, 2, 2);
    leaving.draining = true;
    scheduler.heartbeat(&leaving, at(0));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    scheduler.heartbeat(&report("r1", 2, 2, 2), at(0));
    scheduler.set_draining(&runner("r1"), true);
    assert!(all_placed(scheduler.place(at(0), 10)).is_empty());
    scheduler.set_draining(&runner("r1"), false);
    assert_eq!(scheduler.reserve(&runner("r1"), at(1_501)), None);
    assert!(scheduler.reserve(&runner("r1"), at(1_500)).is_some());
}

#[test]
fn labels_must_all_match() {
    let mut scheduler = scheduler(&document(&[("a", 10)]));
    let mut picky = meta(1, "a", 1);
    picky.labels.insert("disk".into(), "fast".into());
    scheduler.publish(picky, at(0));
    scheduler.publish(meta(2, "a", 1), at(0));
    scheduler.heartbeat(&report("r1", 1, 4, 4), at(0));
    let plain = placed(scheduler.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(plain.task, task(2));
    assert_eq!(scheduler.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        scheduler.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerWithLabels)
    );
    let mut fast = report("r2", 1, 4, 4);
    fast.labels.insert("disk".into(), "fast".into());
    fast.labels.insert("cpu".into(), "any".into());
    scheduler.heartbeat(&fast, at(0));
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
fn failures_of_different_jobs_lead_to_probation_then_one_trial_at_a_time() {
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
fn a_success_between_failures_clears_the_runner() {
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
fn a_failed_trial_leads_back_to_probation() {
    let mut scheduler = three_runners();
    for job in 1..=8 {
        scheduler.record_outcome(&runner("r1"), task(job), true, at(0));
    }
    scheduler.record_outcome(&runner("r1"), task(9), true, at(10_000));
    assert!(scheduler.runners(at(19_999))[0].on_probation);
    assert!(!scheduler.runners(at(20_000))[0].on_probation);
}

#[test]
fn one_failing_job_puts_no_runner_on_probation_and_at_most_a_third_are() {
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
    let blamed = views.iter().filter(|view| view.on_probation).count();
    assert_eq!(blamed, 1);
}

#[test]
fn a_task_whose_only_runner_drains_reports_that_and_not_missing_capacity() {
    let mut scheduler = scheduler(&document(&[("a", 100)]));
    let mut labelled = report("labelled", 1, 9, 9);
    labelled.labels.insert("kind".to_owned(), "b".to_owned());
    labelled.draining = true;
    scheduler.heartbeat(&labelled, at(0));
    scheduler.heartbeat(&report("other", 1, 9, 9), at(0));
    let mut wanted = meta(1, "a", 1);
    wanted.labels.insert("kind".to_owned(), "b".to_owned());
    scheduler.publish(wanted, at(0));
    scheduler.place(at(0), 10);
    let reason = scheduler.explain(task(1), at(0));
    assert_eq!(reason, Some(NotPlacedReason::RunnersAway));
}
