//! Lines of the decision log, and the query for them.

use crate::recorded::{assert_text, read, read_back, text};
use crate::values::{RUN, TASK, job, name};
use api::decision::{DecisionLine, DecisionsQuery};
use scheduler::{Decision, DecisionKind, NotPlacedReason};
use transport::{DecisionEntry, DecisionEvent};
use types::{JobState, Outcome, Reservation, RunClose, RunnerIncarnation, Term, WallTime};

const AT: WallTime = WallTime(1_764_650_000_040);

fn reservation() -> Reservation {
    Reservation {
        run: RUN,
        task: TASK,
        runner: name("stills-3"),
        incarnation: RunnerIncarnation(6),
        endpoint: Some(name("127.0.0.1:7500")),
        self_stop: true,
    }
}

/// Returns each reason why a task is not placed.
fn reasons() -> Vec<NotPlacedReason> {
    every!(NotPlacedReason:
        TenantAtLimit,
        LimitReservedForUrgent,
        NoSeat,
        TenantAboveShare,
        RunnersAway,
        NoCapacity,
        NoRunnerWithLabels,
        RunnerOnProbation,
        ReservedForLargerTask { runner: name("stills-3") },
        BeforeItsTime { not_before: WallTime(1_764_650_000_050) },
        WaitingForStep,
        QueuePaused,
        QueueShadow,
        NoRunnerKnown,
        AlreadyRunning,
        ReservedForUrgent { runner: name("stills-4") },
    )
    .to_vec()
}

/// Returns one decision of each kind, then one for each reason.
fn decisions() -> Vec<DecisionEvent> {
    let kinds = every!(DecisionKind:
        Placed { reservation: reservation(), runnable_tenants: 9, shadow: true },
        NotPlaced { task: TASK, reason: NotPlacedReason::NoCapacity },
    );
    let not_placed = |reason| DecisionKind::NotPlaced { task: TASK, reason };
    let with_reasons = reasons().into_iter().map(not_placed);
    kinds
        .into_iter()
        .chain(with_reasons)
        .map(|kind| {
            DecisionEvent::Dispatch(Decision {
                at: AT,
                queue: name("batch"),
                tenant: name("poster"),
                kind,
            })
        })
        .collect()
}

/// Returns the close of a run for each outcome, then for each kind of close.
fn closes() -> Vec<DecisionEvent> {
    let outcomes = every!(Outcome: Done, Failed { 0: "out of ink".to_owned() }, Stopped);
    let closes = every!(RunClose:
        Ended { 0: Outcome::Done },
        Revoked,
        Lost,
        Rejected,
        TimedOut,
    );
    let ended = outcomes.into_iter().map(RunClose::Ended);
    ended
        .chain(closes)
        .map(|close| DecisionEvent::Closed {
            run: RUN,
            task: TASK,
            runner: name("stills-3"),
            close,
            at: AT,
        })
        .collect()
}

/// Returns the end of a job in each state.
fn job_ends() -> Vec<DecisionEvent> {
    let states = every!(JobState: Waiting, Running, Done, Failed, Cancelled);
    let ended = |state| DecisionEvent::JobEnded { state, at: AT };
    states.into_iter().map(ended).collect()
}

/// Returns one event of each kind, then all decisions, closes and ends of jobs.
fn events() -> Vec<DecisionEvent> {
    let kinds = every!(DecisionEvent:
        Dispatch {
            0: Decision {
                at: AT,
                queue: name("batch"),
                tenant: name("poster"),
                kind: DecisionKind::NotPlaced { task: TASK, reason: NotPlacedReason::NoCapacity },
            },
        },
        Ordered { run: RUN, task: TASK, runner: name("stills-3"), at: AT },
        Closed {
            run: RUN,
            task: TASK,
            runner: name("stills-3"),
            close: RunClose::Lost,
            at: AT,
        },
        JobEnded { state: JobState::Done, at: AT },
    );
    let rest = [decisions(), closes(), job_ends()].into_iter().flatten();
    kinds.into_iter().chain(rest).collect()
}

/// Returns an entry for each event, then one without a job.
fn entries() -> Vec<DecisionEntry> {
    let with_job = events().into_iter().map(|event| (Some(job()), event));
    let without_job = (None, events().swap_remove(0));
    with_job
        .chain([without_job])
        .zip(1..)
        .map(|((job, event), number)| DecisionEntry {
            number,
            term: Term(4),
            job,
            event,
        })
        .collect()
}

#[test]
fn lines_of_every_kind_match_golden_file() {
    let lines = entries().into_iter().map(DecisionLine::from);
    let lines = lines.map(|line| serde_json::to_string(&line).unwrap() + "\n");
    assert_text("decisions.jsonl", &lines.collect::<String>());
}

#[test]
fn golden_lines_parse_to_lines_of_every_kind() {
    let recorded = text("decisions.jsonl");
    let lines: Vec<DecisionLine> = recorded
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let expected: Vec<DecisionLine> = entries().into_iter().map(DecisionLine::from).collect();
    assert_eq!(lines, expected);
}

#[test]
fn decisions_query_matches_golden_files() {
    let query: DecisionsQuery = read_back("decisions_query_full.json");
    let expected = DecisionsQuery {
        after: 7,
        term: Some(4),
        follow: true,
        limit: Some(12),
    };
    assert_eq!(query, expected);
    let query: DecisionsQuery = read("empty.json");
    assert_eq!(query, DecisionsQuery::default());
    assert_eq!(query.checked_limit().unwrap(), 1_000);
}
