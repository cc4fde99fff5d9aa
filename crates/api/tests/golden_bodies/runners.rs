//! Heartbeats of runners, orders to them, and their answers.

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

/// An ended run of every outcome, with and without something saved.
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

/// What a runner says that leaves out all it may.
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

fn body_of(report: &RunnerReport) -> HeartbeatBody {
    HeartbeatBody::from_report(report, &OrdersUrl::new(ORDERS_URL).unwrap())
}

fn report_in(file: &str) -> RunnerReport {
    let body: HeartbeatBody = read(text(file).as_bytes()).unwrap();
    let (report, url) = body.into_report(runner()).unwrap();
    assert_eq!(url.to_string(), ORDERS_URL);
    report
}

#[test]
fn a_full_heartbeat_reads_and_writes_as_recorded() {
    assert_body("heartbeat_full.json", &body_of(&full_report()));
    assert_eq!(report_in("heartbeat_full.json"), full_report());
}

#[test]
fn leaving_and_stopping_by_itself_are_not_mixed_up() {
    let draining = RunnerReport {
        draining: true,
        ..minimal_report()
    };
    assert_body("heartbeat_draining.json", &body_of(&draining));
    assert_eq!(report_in("heartbeat_draining.json"), draining);
}

#[test]
fn a_minimal_heartbeat_gets_the_recorded_defaults() {
    assert_eq!(report_in("heartbeat_minimal.json"), minimal_report());
    assert_body("heartbeat_minimal_filled.json", &body_of(&minimal_report()));
}

#[test]
fn heartbeats_are_answered_as_recorded() {
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

/// What the first run of a task is started with.
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

fn order_in(file: &str) -> RunnerOrder {
    let body: OrderBody = read(text(file).as_bytes()).unwrap();
    RunnerOrder::try_from(body).unwrap()
}

#[test]
fn orders_of_every_kind_read_and_write_as_recorded() {
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
        assert_eq!(order_in(file), *order, "{file}");
    }
}

#[test]
fn a_minimal_start_is_the_first_run() {
    let first = order(start(first_run()));
    assert_eq!(order_in("order_start_minimal.json"), first);
    assert_body("order_start_minimal_filled.json", &OrderBody::from(&first));
}

#[test]
fn answers_of_every_kind_read_and_write_as_recorded() {
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
    // No runner says that an answer is unknown: it has no body.
    let bodies: Vec<OrderAnswerBody> = all
        .iter()
        .filter_map(OrderAnswerBody::from_answer)
        .collect();
    assert_body("order_answers.json", &bodies);
    let back = read_back::<Vec<OrderAnswerBody>>("order_answers.json");
    let back = back
        .into_iter()
        .map(|body| OrderAnswer::try_from(body).unwrap());
    let said = all
        .into_iter()
        .filter(|answer| *answer != OrderAnswer::Unknown);
    assert!(back.eq(said));
}
