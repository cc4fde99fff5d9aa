//! Bodies of heartbeats and orders, and of the responses to both.

use crate::recorded::{assert_body, read_back, text};
use crate::values::{RUN, job, labels, name, resources};
use api::runner::{
    HeartbeatAnswerBody, HeartbeatBody, OrderAnswerBody, OrderBody, OrdersUrl, RunText, read,
};
use types::{
    ActiveRun, EndedRun, HeartbeatSequence, Labels, Milliseconds, OrderAnswer, OrderKind,
    OrderSequence, Outcome, RejectionReason, RunId, RunSpec, RunnerId, RunnerIncarnation,
    RunnerOrder, RunnerReport, Term,
};

const ORDERS_URL: &str = "http://127.0.0.1:7500/orders";

fn runner() -> RunnerId {
    name("stills-3")
}

fn run(sequence: u64) -> RunId {
    RunId {
        term: Term(3),
        sequence,
    }
}

/// Returns an ended run of each outcome, then one with a checkpoint.
fn ended_runs() -> Vec<EndedRun> {
    let outcomes = every!(Outcome: Done, Failed { 0: "out of ink".to_owned() }, Stopped);
    let numbered = outcomes.into_iter().zip(20..);
    let mut ended: Vec<EndedRun> = numbered
        .map(|(outcome, sequence)| EndedRun::new(run(sequence), outcome))
        .collect();
    ended.push(EndedRun {
        run: run(30),
        outcome: Outcome::Stopped,
        checkpoint: Some("saved at the end".to_owned()),
    });
    ended
}

fn full_report() -> RunnerReport {
    let active = ActiveRun {
        run: run(12),
        age: Milliseconds(250),
        progress: Some(61),
        checkpoint: Some("saved so far".to_owned()),
    };
    RunnerReport {
        runner: runner(),
        incarnation: RunnerIncarnation(4),
        sequence: HeartbeatSequence(17),
        endpoint: Some(name("127.0.0.1:7500")),
        pool: name("stills"),
        rack: name("rack-9"),
        labels: labels(),
        capacity: resources(20),
        free: resources(10),
        draining: true,
        self_stop: true,
        active: vec![active, ActiveRun::new(run(13), Milliseconds(260))],
        ended: ended_runs(),
        unnamed: Vec::new(),
    }
}

/// Returns the report of a heartbeat without any optional field.
fn minimal_report() -> RunnerReport {
    RunnerReport {
        endpoint: None,
        labels: Labels::new(),
        draining: false,
        self_stop: false,
        active: Vec::new(),
        ended: Vec::new(),
        ..full_report()
    }
}

fn heartbeat_body(report: &RunnerReport) -> HeartbeatBody {
    HeartbeatBody::from_report(report, &OrdersUrl::new(ORDERS_URL).unwrap())
}

fn report_from_file(file: &str) -> RunnerReport {
    let body: HeartbeatBody = read(text(file).as_bytes()).unwrap();
    let (report, url) = body.into_report(runner()).unwrap();
    assert_eq!(url.to_string(), ORDERS_URL);
    report
}

#[test]
fn full_heartbeat_round_trips_through_golden_file() {
    assert_body("heartbeat_full.json", &heartbeat_body(&full_report()));
    assert_eq!(report_from_file("heartbeat_full.json"), full_report());
}

/// Guards against a conversion that exchanges `draining` and `self_stop`, which the
/// full and the minimal heartbeat would not detect.
#[test]
fn draining_without_self_stop_round_trips_through_golden_file() {
    let draining = RunnerReport {
        draining: true,
        ..minimal_report()
    };
    assert_body("heartbeat_draining.json", &heartbeat_body(&draining));
    assert_eq!(report_from_file("heartbeat_draining.json"), draining);
}

#[test]
fn minimal_heartbeat_gets_golden_defaults() {
    assert_eq!(report_from_file("heartbeat_minimal.json"), minimal_report());
    assert_body(
        "heartbeat_minimal_filled.json",
        &heartbeat_body(&minimal_report()),
    );
}

#[test]
fn responses_to_heartbeats_match_golden_files() {
    let full = HeartbeatAnswerBody {
        term: 5,
        confirmed: Some(16),
        incarnation: 4,
        lease_ms: 10_000,
        recorded: vec![RunText(run(10))],
        stop: vec![RunText(run(12))],
    };
    assert_body("heartbeat_answer_full.json", &full);
    read_back::<HeartbeatAnswerBody>("heartbeat_answer_full.json");
    let unconfirmed = HeartbeatAnswerBody::default();
    assert_body("heartbeat_answer_unconfirmed.json", &unconfirmed);
    read_back::<HeartbeatAnswerBody>("heartbeat_answer_unconfirmed.json");
}

fn full_run() -> RunSpec {
    RunSpec {
        run: RUN,
        job: job(),
        step: name("cells"),
        task: 5,
        attempt: 2,
        checkpoint: Some("saved by an earlier run".to_owned()),
        resources: resources(20),
        time_limit: Milliseconds(61_000),
        payload: "text of the step".to_owned(),
    }
}

/// Returns the first run of a task, which has no checkpoint to continue from.
fn first_run() -> RunSpec {
    RunSpec {
        attempt: 1,
        checkpoint: None,
        ..full_run()
    }
}

fn start(run: RunSpec) -> OrderKind {
    OrderKind::Start {
        run,
        based_on: HeartbeatSequence(18),
        lease: Milliseconds(10_000),
    }
}

fn order(kind: OrderKind) -> RunnerOrder {
    RunnerOrder {
        term: Term(7),
        sequence: OrderSequence(8),
        runner: runner(),
        incarnation: RunnerIncarnation(9),
        name: None,
        kind,
    }
}

fn order_from_file(file: &str) -> RunnerOrder {
    let body: OrderBody = read(text(file).as_bytes()).unwrap();
    RunnerOrder::try_from(body).unwrap()
}

#[test]
fn orders_of_every_kind_round_trip_through_golden_files() {
    let kinds = every!(OrderKind:
        Start {
            run: full_run(),
            based_on: HeartbeatSequence(18),
            lease: Milliseconds(10_000),
        },
        Stop { run: RUN },
        Revoke { run: RUN },
    );
    let files = ["order_start.json", "order_stop.json", "order_void.json"];
    for (order, file) in kinds.map(order).iter().zip(files) {
        assert_body(file, &OrderBody::from(order));
        assert_eq!(order_from_file(file), *order, "{file}");
    }
}

#[test]
fn minimal_start_order_gets_golden_defaults() {
    let first = order(start(first_run()));
    assert_eq!(order_from_file("order_start_minimal.json"), first);
    assert_body("order_start_minimal_filled.json", &OrderBody::from(&first));
}

#[test]
fn answers_of_every_kind_round_trip_through_golden_file() {
    let answers = every!(OrderAnswer:
        Started,
        Stopping,
        Revoked,
        Active,
        Ended,
        Rejected { 0: RejectionReason::NoCapacity },
        Unknown,
    );
    let rejections = every!(RejectionReason:
        StaleTerm,
        OtherIncarnation,
        StaleHeartbeat,
        KnownRun,
        NoCapacity,
        Draining,
        Unhealthy,
    );
    let rejected = rejections.into_iter().map(OrderAnswer::Rejected);
    let all: Vec<OrderAnswer> = answers.into_iter().chain(rejected).collect();
    // Runners do not send `OrderAnswer::Unknown`, so it has no body.
    let bodies: Vec<OrderAnswerBody> = all
        .iter()
        .filter_map(OrderAnswerBody::from_answer)
        .collect();
    assert_body("order_answers.json", &bodies);
    let parsed = read_back::<Vec<OrderAnswerBody>>("order_answers.json");
    let converted = parsed
        .into_iter()
        .map(|body| OrderAnswer::try_from(body).unwrap());
    let expected = all
        .into_iter()
        .filter(|answer| *answer != OrderAnswer::Unknown);
    assert!(converted.eq(expected));
}
