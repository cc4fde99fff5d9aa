//! The caller: it sends again after silence, comes back when told, and stops
//! at a final state.

use emulator::caller::{Caller, CallerAction, CallerAnswer};
use types::{JobKey, JobState, Milliseconds, Monotonic};

fn key(job: &str) -> JobKey {
    JobKey {
        tenant: "poster".parse().unwrap(),
        job: job.parse().unwrap(),
    }
}

fn following(job: &str) -> (Caller, JobKey) {
    let mut caller = Caller::new(1);
    caller.follow(key(job), Monotonic(0));
    (caller, key(job))
}

#[test]
fn a_submit_is_sent_again_after_one_to_two_seconds_of_silence() {
    let (mut caller, job) = following("a");
    assert_eq!(
        caller.actions(Monotonic(0)),
        [CallerAction::Submit(job.clone())]
    );
    let again = caller.next_wakeup().unwrap();
    assert!((1_000..=2_000).contains(&again.0), "{again:?}");
    assert!(caller.actions(Monotonic(999)).is_empty());
    assert_eq!(caller.actions(again), [CallerAction::Submit(job)]);
}

#[test]
fn it_comes_back_when_told_and_not_before() {
    let (mut caller, job) = following("a");
    caller.actions(Monotonic(0));
    let wait = Milliseconds(3_000);
    caller.answered(&job, CallerAnswer::RetryAfter(wait), Monotonic(10));
    let again = caller.next_wakeup().unwrap();
    assert!((3_010..=3_810).contains(&again.0), "{again:?}");
    assert!(caller.actions(Monotonic(3_009)).is_empty());
    assert_eq!(caller.actions(again), [CallerAction::Submit(job)]);
}

#[test]
fn it_asks_ever_more_seldom_until_the_state_is_final() {
    let (mut caller, job) = following("a");
    caller.actions(Monotonic(0));
    let mut now = Monotonic(5);
    caller.answered(&job, CallerAnswer::Acknowledged, now);
    let mut waits = Vec::new();
    for _ in 0..10 {
        let next = caller.next_wakeup().unwrap();
        waits.push(next.since(now).0);
        now = next;
        assert_eq!(caller.actions(now), [CallerAction::Ask(job.clone())]);
        caller.answered(&job, CallerAnswer::State(JobState::Running), now);
    }
    assert!(waits.is_sorted());
    assert_eq!(waits.last(), Some(&2_000));
    caller.answered(&job, CallerAnswer::State(JobState::Done), now);
    assert_eq!(caller.unfinished(), 0);
    assert_eq!(caller.next_wakeup(), None);
}

#[test]
fn a_refusal_for_good_ends_the_job() {
    let (mut caller, job) = following("a");
    caller.answered(&job, CallerAnswer::Rejected, Monotonic(1));
    assert_eq!(caller.unfinished(), 0);
    assert!(caller.actions(Monotonic(10_000)).is_empty());
}

#[test]
fn late_answers_reopen_nothing() {
    let (mut caller, job) = following("a");
    caller.answered(&job, CallerAnswer::State(JobState::Cancelled), Monotonic(1));
    caller.answered(&job, CallerAnswer::Acknowledged, Monotonic(2));
    caller.answered(&job, CallerAnswer::TimedOut, Monotonic(3));
    assert_eq!(caller.unfinished(), 0);
    assert!(caller.actions(Monotonic(10_000)).is_empty());
}

#[test]
fn an_acknowledged_job_that_is_unknown_is_asked_for_and_not_sent_again() {
    let (mut caller, job) = following("a");
    caller.answered(&job, CallerAnswer::Acknowledged, Monotonic(1));
    caller.answered(&job, CallerAnswer::Unknown, Monotonic(2));
    let next = caller.next_wakeup().unwrap();
    assert_eq!(caller.actions(next), [CallerAction::Ask(job)]);
}

#[test]
fn a_job_is_followed_once() {
    let (mut caller, job) = following("a");
    caller.follow(job, Monotonic(0));
    assert_eq!(caller.unfinished(), 1);
    assert_eq!(caller.actions(Monotonic(0)).len(), 1);
}

#[test]
fn the_same_seed_gives_the_same_waits() {
    let waits = |seed| {
        let mut caller = Caller::new(seed);
        for number in 0..20 {
            caller.follow(key(&format!("j-{number}")), Monotonic(0));
        }
        caller.actions(Monotonic(0));
        std::iter::from_fn(|| {
            let next = caller.next_wakeup()?;
            caller.actions(next);
            Some(next)
        })
        .take(100)
        .collect::<Vec<_>>()
    };
    assert_eq!(waits(7), waits(7));
    assert_ne!(waits(7), waits(8));
}
