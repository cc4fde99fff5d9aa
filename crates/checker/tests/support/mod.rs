//! Builders of histories.

#![allow(dead_code)]

use checker::{Event, ExpectedStep, Limits, Observation, ReadState, Report, ViolationKind, check};
use types::*;

pub fn job(number: u64) -> JobKey {
    JobKey {
        tenant: TenantId::new("tenant").unwrap(),
        job: JobId::new(format!("job-{number}")).unwrap(),
    }
}

pub fn runner(number: u64) -> RunnerId {
    RunnerId::new(format!("runner-{number}")).unwrap()
}

pub fn step(name: &str) -> StepName {
    StepName::new(name).unwrap()
}

pub fn run(sequence: u64) -> RunId {
    RunId {
        term: Term(1),
        sequence,
    }
}

pub fn slots(slots: u32) -> Resources {
    Resources {
        slots,
        ..Resources::ZERO
    }
}

/// A step of one task without copies, failures or dependencies.
pub fn expected(name: &str) -> ExpectedStep {
    ExpectedStep {
        gang: false,
        licence: None,
        name: step(name),
        after: Vec::new(),
        tasks: 1,
        max_copies: 1,
        allowed_failures: 0,
        time_limit: Some(Milliseconds(60_000)),
    }
}

pub fn sent(number: u64, steps: &[ExpectedStep]) -> Event {
    Event::SubmitSent {
        job: job(number),
        steps: steps.to_vec(),
        not_before: None,
    }
}

pub fn acknowledged(number: u64) -> Event {
    Event::SubmitAcknowledged { job: job(number) }
}

pub fn read(number: u64, asked_at: u64, state: JobState) -> Event {
    Event::StateRead {
        job: job(number),
        asked_at: Milliseconds(asked_at),
        state: ReadState::Known(state),
    }
}

pub fn unknown(number: u64, asked_at: u64) -> Event {
    Event::StateRead {
        job: job(number),
        asked_at: Milliseconds(asked_at),
        state: ReadState::Unknown,
    }
}

/// Run `sequence` of the one task of `step_name` of the job, one slot.
pub fn started(sequence: u64, on: u64, number: u64, step_name: &str) -> Event {
    Event::RunStarted {
        runner: runner(on),
        incarnation: RunnerIncarnation(1),
        run: run(sequence),
        job: job(number),
        step: step(step_name),
        task: 0,
        resources: slots(1),
    }
}

pub fn ended(sequence: u64, on: u64, outcome: Outcome) -> Event {
    Event::RunEnded {
        runner: runner(on),
        run: run(sequence),
        outcome,
        lease_until: None,
    }
}

pub fn failed() -> Outcome {
    Outcome::Failed("broken".into())
}

pub fn fault() -> Event {
    Event::Fault { what: "cut".into() }
}

pub fn history(events: Vec<(u64, Event)>) -> Vec<Observation> {
    let events = events.into_iter();
    events
        .map(|(at, event)| Observation {
            at: Milliseconds(at),
            observer: "test".into(),
            event,
        })
        .collect()
}

pub fn report(events: Vec<(u64, Event)>) -> Report {
    check(&history(events), &Limits::default())
}

/// Exactly these kinds were found, in order of time.
pub fn assert_found(events: Vec<(u64, Event)>, expected: &[ViolationKind]) {
    let report = report(events);
    let found: Vec<ViolationKind> = report.violations.iter().map(|one| one.kind).collect();
    assert_eq!(found, expected, "{:#?}", report.violations);
}

pub fn assert_clean(events: Vec<(u64, Event)>) {
    assert_found(events, &[]);
}
