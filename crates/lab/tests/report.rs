//! Summary of a trial, computed from handwritten histories.

use checker::{Event, Limits, Observation, ReadState, check};
use lab::report::{Wait, summarise};
use types::{JobKey, JobState, Milliseconds, Outcome, Resources, RunId, RunnerIncarnation, Term};

fn job(tenant: &str, name: &str) -> JobKey {
    JobKey {
        tenant: tenant.parse().unwrap(),
        job: name.parse().unwrap(),
    }
}

fn run(term: u64, sequence: u64) -> RunId {
    RunId {
        term: Term(term),
        sequence,
    }
}

fn at(at: u64, event: Event) -> Observation {
    Observation {
        at: Milliseconds(at),
        observer: "test".to_owned(),
        event,
    }
}

fn sent(time: u64, job: &JobKey) -> Observation {
    let job = job.clone();
    at(
        time,
        Event::SubmitSent {
            job,
            steps: Vec::new(),
            not_before: None,
        },
    )
}

fn acknowledged(time: u64, job: &JobKey) -> Observation {
    at(time, Event::SubmitAcknowledged { job: job.clone() })
}

fn started(time: u64, job: &JobKey, run: RunId) -> Observation {
    at(
        time,
        Event::RunStarted {
            runner: "runner-1".parse().unwrap(),
            incarnation: RunnerIncarnation(1),
            run,
            job: job.clone(),
            step: "a".parse().unwrap(),
            task: 0,
            resources: Resources::ZERO,
        },
    )
}

fn ended(time: u64, run: RunId) -> Observation {
    at(
        time,
        Event::RunEnded {
            runner: "runner-1".parse().unwrap(),
            run,
            outcome: Outcome::Done,
            lease_until: None,
        },
    )
}

fn read(time: u64, job: &JobKey, state: JobState) -> Observation {
    at(
        time,
        Event::StateRead {
            job: job.clone(),
            asked_at: Milliseconds(time),
            state: ReadState::Known(state),
        },
    )
}

#[test]
fn job_sent_and_read_repeatedly_is_counted_once() {
    let one = job("poster", "one");
    let two = job("poster", "two");
    let history = [
        sent(0, &one),
        sent(1, &two),
        sent(5, &one),
        acknowledged(6, &one),
        acknowledged(7, &one),
        read(20, &one, JobState::Running),
        read(30, &one, JobState::Done),
        read(31, &one, JobState::Done),
    ];
    let summary = summarise(&history, &check(&history, &Limits::default()), None);
    assert_eq!(summary.submitted, 2);
    assert_eq!(summary.acknowledged, 1);
    assert_eq!(summary.done, 1);
    assert_eq!(summary.failed, 0);
}

/// A runner's start event can precede the caller's acknowledgement, and a job can start
/// again. Neither may distort the wait.
#[test]
fn wait_is_time_from_first_acknowledgement_to_first_start() {
    let started_late = job("poster", "slow");
    let started_first = job("poster", "quick");
    let other = job("editors", "other");
    let history = [
        started(90, &started_first, run(1, 1)),
        acknowledged(100, &started_late),
        acknowledged(100, &started_first),
        acknowledged(100, &other),
        started(400, &started_late, run(1, 2)),
        started(900, &started_late, run(1, 3)),
        started(107, &other, run(1, 4)),
    ];
    let summary = summarise(&history, &check(&[], &Limits::default()), None);
    let poster = summary.waits[&"poster".parse().unwrap()];
    let expected = Wait {
        jobs: 2,
        p50: Milliseconds(0),
        p99: Milliseconds(300),
    };
    assert_eq!(poster, expected);
    assert_eq!(
        summary.waits[&"editors".parse().unwrap()].p50,
        Milliseconds(7)
    );
}

/// A start order that the leader sent before its kill can reach the runner after the
/// kill. Counting it would hide the time that the election takes.
#[test]
fn late_start_of_killed_leader_is_not_first_start_after_kill() {
    let key = job("poster", "one");
    let history = [
        started(100, &key, run(3, 1)),
        started(510, &key, run(3, 2)),
        started(1_700, &key, run(4, 1)),
    ];
    let report = check(&[], &Limits::default());
    let summary = summarise(&history, &report, Some(Milliseconds(500)));
    assert_eq!(summary.first_start_after_kill, Some(Milliseconds(1_200)));
    let without_successor = summarise(&history[..2], &report, Some(Milliseconds(500)));
    assert_eq!(without_successor.first_start_after_kill, None);
}

#[test]
fn violations_are_counted_as_double_starts_and_lost_jobs() {
    let key = job("poster", "one");
    let history = [
        sent(0, &key),
        acknowledged(1, &key),
        started(2, &key, run(1, 1)),
        ended(3, run(1, 1)),
        started(4, &key, run(1, 1)),
        at(60_000, Event::Finished),
    ];
    let report = check(&history, &Limits::default());
    let summary = summarise(&history, &report, None);
    assert!(summary.double_starts >= 1, "{report:?}");
    assert_eq!(summary.lost, 1, "{report:?}");
    assert!(summary.broken >= 2);
    let text = summary.render();
    assert!(text.contains("jobs lost"), "{text}");
}
