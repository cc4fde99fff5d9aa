//! Reading and writing histories as JSON lines, and the check of a long history.

mod support;

use checker::{Event, HistoryError, Limits, check, read_history, write_history};
use support::*;
use types::*;

#[test]
fn written_history_reads_back_unchanged() {
    let events = observations(vec![
        (0, submit_sent(1, &[simple_step("only")])),
        (1, submit_acknowledged(1)),
        (2, run_started(1, 1, 1, "only")),
        (3, run_ended(1, 1, failed_outcome())),
        (4, state_read(1, 3, JobState::Failed)),
        (5, unknown_read(2, 4)),
        (6, Event::RunnerDrainLifted { runner: runner(1) }),
        (7, fault_injected()),
        (8, Event::Healed),
        (9, Event::Finished),
    ]);
    let mut bytes = Vec::new();
    write_history(&mut bytes, &events).unwrap();
    assert_eq!(read_history(bytes.as_slice()).unwrap(), events);
}

#[test]
fn step_without_optional_fields_is_readable() {
    let text = r#"{"at":1,"observer":"caller","event":"submit_sent","job":{"tenant":"t","job":"j"},"steps":[{"name":"s","after":[],"tasks":1,"max_copies":1,"allowed_failures":0}],"not_before":null}"#;
    assert_eq!(read_history(text.as_bytes()).unwrap().len(), 1);
}

#[test]
fn read_error_has_number_of_invalid_line() {
    let good = r#"{"at":5,"observer":"test","event":"healed"}"#;
    let early = r#"{"at":4,"observer":"test","event":"healed"}"#;
    let torn = format!("{good}\n\n{{\"at\":6,");
    let error = read_history(torn.as_bytes()).unwrap_err();
    assert!(matches!(error, HistoryError::Malformed { line: 3, .. }));
    let unordered = format!("{good}\n{early}\n");
    let error = read_history(unordered.as_bytes()).unwrap_err();
    assert!(matches!(error, HistoryError::OutOfOrder { line: 2 }));
}

#[test]
fn long_valid_history_has_no_violations() {
    const JOBS: u64 = 40_000;
    let mut events = Vec::new();
    for number in 0..JOBS {
        let at = number * 10;
        events.push((at, submit_sent(number, &[simple_step("only")])));
        events.push((at + 1, submit_acknowledged(number)));
        events.push((at + 2, run_started(number, number % 11, number, "only")));
        events.push((at + 3, run_ended(number, number % 11, Outcome::Done)));
        events.push((at + 4, state_read(number, at + 3, JobState::Done)));
    }
    events.push((JOBS * 10 + 60_000, Event::Finished));
    let report = check(&observations(events), &Limits::default());
    assert_eq!(report.violations, []);
    assert_eq!(report.done_jobs, JOBS);
}
