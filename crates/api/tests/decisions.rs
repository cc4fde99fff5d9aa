//! Conversion of decision log entries to JSON lines.

use api::decision::{Close, DecisionLine, EventBody, Reason};
use scheduler::{Decision, DecisionKind, NotPlacedReason};
use transport::{DecisionEntry, DecisionEvent};
use types::{JobKey, JobNumber, Outcome, RunClose, RunId, TaskRef, Term, WallTime};

const TASK: TaskRef = TaskRef {
    job: JobNumber(7),
    step: 1,
    task: 2,
};

fn entry(event: DecisionEvent) -> DecisionEntry {
    DecisionEntry {
        number: 3,
        term: Term(4),
        job: Some(JobKey {
            tenant: "poster".parse().unwrap(),
            job: "a-1".parse().unwrap(),
        }),
        event,
    }
}

#[test]
fn decision_line_is_flat_and_round_trips_through_json() {
    let line = DecisionLine::from(entry(DecisionEvent::Dispatch(Decision {
        at: WallTime(99),
        queue: "gpu".parse().unwrap(),
        tenant: "poster".parse().unwrap(),
        kind: DecisionKind::NotPlaced {
            task: TASK,
            reason: NotPlacedReason::ReservedForLargerTask {
                runner: "r-1".parse().unwrap(),
            },
        },
    })));
    let text = serde_json::to_string(&line).unwrap();
    assert!(text.contains(r#""event":"not_placed""#), "{text}");
    assert!(text.contains(r#""task":"7.1.2""#), "{text}");
    assert!(text.contains("kept free for a larger task"), "{text}");
    assert_eq!(serde_json::from_str::<DecisionLine>(&text).unwrap(), line);
    assert!(matches!(
        line.event,
        EventBody::NotPlaced {
            reason: Reason::ReservedForLargerTask,
            ..
        }
    ));
}

#[test]
fn closed_line_of_failed_run_has_reported_message() {
    let line = DecisionLine::from(entry(DecisionEvent::Closed {
        run: RunId {
            term: Term(4),
            sequence: 9,
        },
        task: TASK,
        runner: "r-1".parse().unwrap(),
        close: RunClose::Ended(Outcome::Failed("out of ink".to_owned())),
        at: WallTime(5),
    }));
    let EventBody::Closed {
        run,
        outcome,
        message,
        ..
    } = line.event
    else {
        panic!("the event is not `Closed`");
    };
    assert_eq!(run, "4-9");
    assert_eq!(outcome, Close::Failed);
    assert_eq!(message.as_deref(), Some("out of ink"));
}
