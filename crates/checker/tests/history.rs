//! Histories as JSON lines, and a long history.

mod support;

use checker::{Event, HistoryError, Limits, check, read_history, write_history};
use support::*;
use types::*;

#[test]
fn a_history_survives_writing_and_reading() {
    let events = history(vec![
        (0, sent(1, &[expected("only")])),
        (1, acknowledged(1)),
        (2, started(1, 1, 1, "only")),
        (3, ended(1, 1, failed())),
        (4, read(1, 3, JobState::Failed)),
        (5, unknown(2, 4)),
        (6, Event::RunnerDrainLifted { runner: runner(1) }),
        (7, fault()),
        (8, Event::Healed),
        (9, Event::Finished),
    ]);
    let mut bytes = Vec::new();
    write_history(&mut bytes, &events).unwrap();
    assert_eq!(read_history(bytes.as_slice()).unwrap(), events);
}

#[test]
fn a_step_without_a_time_limit_can_be_read() {
    let text = r#"{"at":1,"observer":"caller","event":"submit_sent","job":{"tenant":"t","job":"j"},"steps":[{"name":"s","after":[],"tasks":1,"max_copies":1,"allowed_failures":0}],"not_before":null}"#;
    assert_eq!(read_history(text.as_bytes()).unwrap().len(), 1);
}

#[test]
fn an_error_names_its_line() {
    let good = r#"{"at":5,"observer":"test","event":"healed"}"#;
    let early = r#"{"at":4,"observer":"test","event":"healed"}"#;
    let torn = format!("{good}\n\n{{\"at\":6,");
    let error = read_history(torn.as_bytes()).unwrap_err();
    assert!(matches!(error, HistoryError::Line { line: 3, .. }));
    let unordered = format!("{good}\n{early}\n");
    let error = read_history(unordered.as_bytes()).unwrap_err();
    assert!(matches!(error, HistoryError::Order { line: 2 }));
}

#[test]
fn a_long_lawful_history_is_clean() {
    const JOBS: u64 = 40_000;
    let mut events = Vec::new();
    for number in 0..JOBS {
        let at = number * 10;
        events.push((at, sent(number, &[expected("only")])));
        events.push((at + 1, acknowledged(number)));
        events.push((at + 2, started(number, number % 11, number, "only")));
        events.push((at + 3, ended(number, number % 11, Outcome::Done)));
        events.push((at + 4, read(number, at + 3, JobState::Done)));
    }
    events.push((JOBS * 10 + 60_000, Event::Finished));
    let report = check(&history(events), &Limits::default());
    assert_eq!(report.violations, []);
    assert_eq!(report.done_jobs, JOBS);
}
