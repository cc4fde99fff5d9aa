//! Emulated caller: resends without an answer, honours retry delays, and stops
//! at a final state.

use emulator::caller::{Caller, CallerAction, CallerAnswer};
use types::{JobKey, JobState, Milliseconds, Monotonic};

fn key(job: &str) -> JobKey {
    JobKey {
        tenant: "poster".parse().unwrap(),
        job: job.parse().unwrap(),
    }
}

fn caller_with_job(job: &str) -> (Caller, JobKey) {
    let mut caller = Caller::new(1);
    caller.follow(key(job), Monotonic(0));
    (caller, key(job))
}

#[test]
fn unanswered_submit_is_resent_after_one_to_two_seconds() {
    let (mut caller, job) = caller_with_job("a");
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
fn rejected_submit_is_retried_only_after_its_retry_delay() {
    let (mut caller, job) = caller_with_job("a");
    caller.actions(Monotonic(0));
    let wait = Milliseconds(3_000);
    caller.answered(&job, CallerAnswer::RetryAfter(wait), Monotonic(10));
    let again = caller.next_wakeup().unwrap();
    assert!((3_010..=3_810).contains(&again.0), "{again:?}");
    assert!(caller.actions(Monotonic(3_009)).is_empty());
    assert_eq!(caller.actions(again), [CallerAction::Submit(job)]);
}

#[test]
fn poll_interval_grows_until_state_is_final() {
    let (mut caller, job) = caller_with_job("a");
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
fn final_rejection_ends_job() {
    let (mut caller, job) = caller_with_job("a");
    caller.answered(&job, CallerAnswer::Rejected, Monotonic(1));
    assert_eq!(caller.unfinished(), 0);
    assert!(caller.actions(Monotonic(10_000)).is_empty());
}

#[test]
fn late_answers_do_not_reopen_finished_job() {
    let (mut caller, job) = caller_with_job("a");
    caller.answered(&job, CallerAnswer::State(JobState::Cancelled), Monotonic(1));
    caller.answered(&job, CallerAnswer::Acknowledged, Monotonic(2));
    caller.answered(&job, CallerAnswer::TimedOut, Monotonic(3));
    assert_eq!(caller.unfinished(), 0);
    assert!(caller.actions(Monotonic(10_000)).is_empty());
}

#[test]
fn acknowledged_job_reported_unknown_is_polled_and_not_resubmitted() {
    let (mut caller, job) = caller_with_job("a");
    caller.answered(&job, CallerAnswer::Acknowledged, Monotonic(1));
    caller.answered(&job, CallerAnswer::Unknown, Monotonic(2));
    let next = caller.next_wakeup().unwrap();
    assert_eq!(caller.actions(next), [CallerAction::Ask(job)]);
}

#[test]
fn job_followed_twice_is_submitted_once() {
    let (mut caller, job) = caller_with_job("a");
    caller.follow(job, Monotonic(0));
    assert_eq!(caller.unfinished(), 1);
    assert_eq!(caller.actions(Monotonic(0)).len(), 1);
}

#[test]
fn equal_seeds_give_equal_waits() {
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
