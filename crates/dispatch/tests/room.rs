//! Room, labels, draining, silence, health and new lives of runners.

mod support;

use dispatch::NotPlacedReason;
use support::*;
use types::*;

#[test]
fn room_counts_runs_on_their_way_and_is_freed_by_reports() {
    let mut dispatcher = dispatcher(&document(&[("a", 10)]));
    dispatcher.heartbeat(&report("r1", 1, 2, 1), at(0));
    for job in 1..=4 {
        dispatcher.publish(meta(job, "a", 1), at(0));
    }
    // Something the record does not know holds one of the two slots.
    let first = placed(dispatcher.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(dispatcher.reserve(&runner("r1"), at(0)), None);
    let mut next = report("r1", 2, 2, 1);
    next.held.push(held(first.run));
    dispatcher.heartbeat(&next, at(10));
    assert!(dispatcher.reserve(&runner("r1"), at(10)).is_some());
    assert_eq!(dispatcher.reserve(&runner("r1"), at(10)), None);
    // A report of free room does not outweigh open runs.
    dispatcher.heartbeat(&report("r1", 3, 2, 2), at(20));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(20)), None);
    // An older heartbeat that comes late changes nothing.
    dispatcher.heartbeat(&report("r1", 2, 64, 64), at(30));
    assert_eq!(dispatcher.runners(at(30))[0].capacity, slots(2));
}

#[test]
fn an_ended_run_takes_room_until_the_record_has_closed_it() {
    let mut dispatcher = dispatcher(&document(&[("a", 10)]));
    dispatcher.heartbeat(&report("r1", 1, 1, 1), at(0));
    dispatcher.publish(meta(1, "a", 1), at(0));
    dispatcher.publish(meta(2, "a", 1), at(0));
    let first = placed(dispatcher.reserve(&runner("r1"), at(0))).unwrap();
    let mut over = report("r1", 2, 1, 1);
    over.ended.push(EndedRun {
        checkpoint: None,
        run: first.run,
        outcome: Outcome::Done,
    });
    dispatcher.heartbeat(&over, at(10));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(10)), None);
    dispatcher.remove_run(first.run);
    assert!(dispatcher.reserve(&runner("r1"), at(10)).is_some());
}

#[test]
fn a_new_life_has_its_own_room_while_old_runs_still_count_for_the_tenant() {
    let mut dispatcher = dispatcher(&document(&[("a", 3)]));
    dispatcher.heartbeat(&report("r1", 1, 2, 2), at(0));
    for job in 1..=4 {
        dispatcher.publish(meta(job, "a", 1), at(0));
    }
    dispatcher.reserve(&runner("r1"), at(0)).unwrap();
    dispatcher.reserve(&runner("r1"), at(0)).unwrap();
    let mut reborn = report("r1", 1, 2, 2);
    reborn.incarnation = RunnerIncarnation(2);
    dispatcher.heartbeat(&reborn, at(10));
    let view = &dispatcher.runners(at(10))[0];
    assert_eq!((view.room, view.open_runs), (slots(2), 2));
    let third = placed(dispatcher.reserve(&runner("r1"), at(10))).unwrap();
    assert_eq!(third.incarnation, RunnerIncarnation(2));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(10)), None);
    assert_eq!(
        dispatcher.explain(task(4), at(10)),
        Some(NotPlacedReason::TenantAtCeiling)
    );
}

#[test]
fn no_pull_for_a_draining_silent_or_unheard_runner() {
    let mut dispatcher = dispatcher(&document(&[("a", 10)]));
    dispatcher.publish(meta(1, "a", 1), at(0));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        dispatcher.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerKnown)
    );
    let mut leaving = report("r1", 1, 2, 2);
    leaving.draining = true;
    dispatcher.heartbeat(&leaving, at(0));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(0)), None);
    dispatcher.heartbeat(&report("r1", 2, 2, 2), at(0));
    dispatcher.set_draining(&runner("r1"), true);
    assert!(all_placed(dispatcher.place(at(0), 10)).is_empty());
    dispatcher.set_draining(&runner("r1"), false);
    assert_eq!(dispatcher.reserve(&runner("r1"), at(1_501)), None);
    assert!(dispatcher.reserve(&runner("r1"), at(1_500)).is_some());
}

#[test]
fn labels_must_all_match() {
    let mut dispatcher = dispatcher(&document(&[("a", 10)]));
    let mut picky = meta(1, "a", 1);
    picky.labels.insert("disk".into(), "fast".into());
    dispatcher.publish(picky, at(0));
    dispatcher.publish(meta(2, "a", 1), at(0));
    dispatcher.heartbeat(&report("r1", 1, 4, 4), at(0));
    let plain = placed(dispatcher.reserve(&runner("r1"), at(0))).unwrap();
    assert_eq!(plain.task, task(2));
    assert_eq!(dispatcher.reserve(&runner("r1"), at(0)), None);
    assert_eq!(
        dispatcher.explain(task(1), at(0)),
        Some(NotPlacedReason::NoRunnerWithLabels)
    );
    let mut fast = report("r2", 1, 4, 4);
    fast.labels.insert("disk".into(), "fast".into());
    fast.labels.insert("cpu".into(), "any".into());
    dispatcher.heartbeat(&fast, at(0));
    assert!(dispatcher.reserve(&runner("r2"), at(0)).is_some());
}

fn three_runners() -> dispatch::Dispatcher {
    let mut dispatcher = dispatcher(&document(&[("a", 100)]));
    for name in ["r1", "r2", "r3"] {
        dispatcher.heartbeat(&report(name, 1, 4, 4), at(0));
    }
    dispatcher
}

#[test]
fn failures_of_different_jobs_lead_to_probation_then_one_trial_at_a_time() {
    let mut dispatcher = three_runners();
    for job in 1..=8 {
        dispatcher.note_outcome(&runner("r1"), task(job), true, at(0));
    }
    dispatcher.publish(meta(20, "a", 1), at(0));
    dispatcher.publish(meta(21, "a", 1), at(0));
    assert!(dispatcher.runners(at(0))[0].on_probation);
    assert_eq!(dispatcher.reserve(&runner("r1"), at(0)), None);
    dispatcher.heartbeat(&report("r1", 2, 4, 4), at(10_000));
    let trial = placed(dispatcher.reserve(&runner("r1"), at(10_000))).unwrap();
    assert_eq!(dispatcher.reserve(&runner("r1"), at(10_000)), None);
    dispatcher.remove_run(trial.run);
    dispatcher.note_outcome(&runner("r1"), trial.task, false, at(10_000));
    dispatcher.publish(meta(22, "a", 1), at(10_000));
    assert!(dispatcher.reserve(&runner("r1"), at(10_000)).is_some());
    assert!(dispatcher.reserve(&runner("r1"), at(10_000)).is_some());
}

#[test]
fn a_success_between_failures_clears_the_runner() {
    let mut dispatcher = three_runners();
    for job in 1..=7 {
        dispatcher.note_outcome(&runner("r1"), task(job), true, at(0));
    }
    dispatcher.note_outcome(&runner("r1"), task(8), false, at(0));
    for job in 9..=15 {
        dispatcher.note_outcome(&runner("r1"), task(job), true, at(0));
    }
    assert!(!dispatcher.runners(at(0))[0].on_probation);
    dispatcher.note_outcome(&runner("r1"), task(16), true, at(0));
    assert!(dispatcher.runners(at(0))[0].on_probation);
}

#[test]
fn a_failed_trial_leads_back_to_probation() {
    let mut dispatcher = three_runners();
    for job in 1..=8 {
        dispatcher.note_outcome(&runner("r1"), task(job), true, at(0));
    }
    dispatcher.note_outcome(&runner("r1"), task(9), true, at(10_000));
    assert!(dispatcher.runners(at(19_999))[0].on_probation);
    assert!(!dispatcher.runners(at(20_000))[0].on_probation);
}

#[test]
fn one_bad_job_blames_no_runner_and_at_most_a_third_is_blamed() {
    let mut dispatcher = three_runners();
    for _ in 0..50 {
        dispatcher.note_outcome(&runner("r1"), task(1), true, at(0));
    }
    assert!(!dispatcher.runners(at(0))[0].on_probation);
    for name in ["r1", "r2", "r3"] {
        for job in 1..=20 {
            dispatcher.note_outcome(&runner(name), task(job), true, at(0));
        }
    }
    let views = dispatcher.runners(at(0));
    let blamed = views.iter().filter(|view| view.on_probation).count();
    assert_eq!(blamed, 1);
}

#[test]
fn a_task_whose_only_runner_leaves_says_so_and_not_that_room_is_short() {
    let mut dispatcher = dispatcher(&document(&[("a", 100)]));
    let mut labelled = report("labelled", 1, 9, 9);
    labelled.labels.insert("kind".to_owned(), "b".to_owned());
    labelled.draining = true;
    dispatcher.heartbeat(&labelled, at(0));
    dispatcher.heartbeat(&report("other", 1, 9, 9), at(0));
    let mut wanted = meta(1, "a", 1);
    wanted.labels.insert("kind".to_owned(), "b".to_owned());
    dispatcher.publish(wanted, at(0));
    dispatcher.place(at(0), 10);
    let reason = dispatcher.explain(task(1), at(0));
    assert_eq!(reason, Some(NotPlacedReason::RunnersAway));
}
