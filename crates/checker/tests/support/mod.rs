//! Builders of events and histories, and assertions on the reported violations.

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

/// Returns a step with one task, without further copies, allowed failures or
/// dependencies.
pub fn simple_step(name: &str) -> ExpectedStep {
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

pub fn submit_sent(number: u64, steps: &[ExpectedStep]) -> Event {
    Event::SubmitSent {
        job: job(number),
        steps: steps.to_vec(),
        not_before: None,
    }
}

pub fn submit_acknowledged(number: u64) -> Event {
    Event::SubmitAcknowledged { job: job(number) }
}

/// Returns the reply with a job's state to a request sent at `asked_at`, in
/// milliseconds.
pub fn state_read(number: u64, asked_at: u64, state: JobState) -> Event {
    Event::StateRead {
        job: job(number),
        asked_at: Milliseconds(asked_at),
        state: ReadState::Known(state),
    }
}

/// Returns the reply that job `number` does not exist.
pub fn unknown_read(number: u64, asked_at: u64) -> Event {
    Event::StateRead {
        job: job(number),
        asked_at: Milliseconds(asked_at),
        state: ReadState::Unknown,
    }
}

/// Returns the start of run `sequence`, with one slot, on runner `on`. The run
/// belongs to task 0 of a step of job `number`.
pub fn run_started(sequence: u64, on: u64, number: u64, step_name: &str) -> Event {
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

pub fn run_ended(sequence: u64, on: u64, outcome: Outcome) -> Event {
    Event::RunEnded {
        runner: runner(on),
        run: run(sequence),
        outcome,
        lease_until: None,
    }
}

pub fn failed_outcome() -> Outcome {
    Outcome::Failed("broken".into())
}

pub fn fault_injected() -> Event {
    Event::Fault { what: "cut".into() }
}

/// Builds a history from events with their times in milliseconds.
pub fn observations(events: Vec<(u64, Event)>) -> Vec<Observation> {
    let events = events.into_iter();
    events
        .map(|(at, event)| Observation {
            at: Milliseconds(at),
            observer: "test".into(),
            event,
        })
        .collect()
}

/// Checks the events with the default limits.
pub fn check_events(events: Vec<(u64, Event)>) -> Report {
    check(&observations(events), &Limits::default())
}

/// Asserts that the checker reports exactly these kinds of violation, in order of
/// time.
pub fn assert_violations(events: Vec<(u64, Event)>, expected: &[ViolationKind]) {
    let report = check_events(events);
    let found: Vec<ViolationKind> = report
        .violations
        .iter()
        .map(|violation| violation.kind)
        .collect();
    assert_eq!(found, expected, "{:#?}", report.violations);
}

pub fn assert_no_violations(events: Vec<(u64, Event)>) {
    assert_violations(events, &[]);
}
