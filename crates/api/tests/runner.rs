//! Bodies between runners and their agent: conversions, errors and round trips.

use api::runner::{
    HeartbeatAnswerBody, HeartbeatBody, OrderAnswerBody, OrderBody, OrdersUrl, OrdersUrlError,
    RunText, read,
};
use proptest::prelude::*;
use serde_json::{Value, json};
use types::{
    ActiveRun, EndedRun, HeartbeatSequence, JobId, JobKey, Labels, Milliseconds, OrderAnswer,
    OrderKind, OrderSequence, Outcome, PoolName, RackName, RejectionReason, Resources, RunId,
    RunSpec, RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport, StepName, TenantId, Term,
};

fn runner() -> RunnerId {
    RunnerId::new("runner-1").unwrap()
}

/// Returns a valid heartbeat with every field except `place`.
fn heartbeat() -> Value {
    json!({
        "incarnation": 4, "sequence": 17, "pool": "stills", "rack": "rack-2",
        "labels": {"gpu": "large"},
        "capacity": {"slots": 8, "gpus": 2}, "free": {"slots": 6},
        "draining": false, "self_stop": true,
        "orders_url": "http://127.0.0.1:7500/orders",
        "hold": [{"run": "3-12", "age_ms": 250}],
        "ended": [
            {"run": "3-11", "outcome": "failed", "reason": "no such file"},
            {"run": "3-10", "outcome": "done"},
        ],
    })
}

/// Parses a heartbeat and converts it to a report.
fn parse_heartbeat(body: &Value) -> Result<(RunnerReport, OrdersUrl), String> {
    let bytes = serde_json::to_vec(body).unwrap();
    let body: HeartbeatBody = read(&bytes).map_err(|error| error.to_string())?;
    body.into_report(runner())
        .map_err(|error| error.to_string())
}

fn run(term: u64, sequence: u64) -> RunId {
    RunId {
        term: Term(term),
        sequence,
    }
}

#[test]
fn heartbeat_converts_to_report_and_back() {
    let (report, url) = parse_heartbeat(&heartbeat()).unwrap();
    assert_eq!(report.sequence, HeartbeatSequence(17));
    assert_eq!(report.active[0].run, run(3, 12));
    assert_eq!(
        report.ended[0].outcome,
        Outcome::Failed("no such file".to_owned())
    );
    let body = HeartbeatBody::from_report(&report, &url);
    assert_eq!(body.into_report(runner()).unwrap(), (report, url));
}

#[test]
fn invalid_heartbeat_is_rejected_with_name_of_field() {
    let cases = [
        ("holds", json!([]), "holds"),
        ("pool", json!("a b"), "pool: a name holds only"),
        ("rack", json!(""), "rack: a name must not be empty"),
        ("free", json!({"slots": 9}), "free: no more can be free"),
        ("capacity", json!({"slot": 9}), "slot"),
        (
            "orders_url",
            json!("https://127.0.0.1:1/"),
            "orders_url: must begin",
        ),
        (
            "hold",
            json!([{"run": "3", "age_ms": 1}]),
            "<term>-<sequence>",
        ),
        ("ended", json!([{"run": "3-1", "outcome": "lost"}]), "lost"),
        ("sequence", json!(-1), "-1"),
    ];
    for (field, value, expected) in cases {
        let mut body = heartbeat();
        body[field] = value;
        let error = parse_heartbeat(&body).expect_err(field);
        assert!(error.contains(expected), "{field}: {error}");
    }
}

#[test]
fn heartbeat_without_hold_is_rejected() {
    let mut body = heartbeat();
    body.as_object_mut().unwrap().remove("hold");
    assert!(parse_heartbeat(&body).expect_err("hold").contains("hold"));
}

#[test]
fn orders_url_without_ip_of_one_machine_is_rejected() {
    for valid in ["http://127.0.0.1:80", "http://[::1]:9/x?y=1"] {
        assert!(OrdersUrl::new(valid).is_ok(), "{valid}");
    }
    let cases = [
        ("ftp://127.0.0.1:1/", OrdersUrlError::Scheme),
        ("http://localhost:1/", OrdersUrlError::Host),
        ("http://127.0.0.1/", OrdersUrlError::Host),
        ("http://user@127.0.0.1:1/", OrdersUrlError::Host),
        ("http://0.0.0.0:1/", OrdersUrlError::Unusable),
        ("http://127.0.0.1:0/", OrdersUrlError::Unusable),
        ("http://127.0.0.1:1/a b", OrdersUrlError::Path),
    ];
    for (invalid, error) in cases {
        assert_eq!(OrdersUrl::new(invalid), Err(error), "{invalid}");
    }
}

#[test]
fn run_text_that_is_not_canonical_is_rejected() {
    let parse_run = |text: &str| RunText::try_from(text.to_owned());
    assert_eq!(parse_run("3-12"), Ok(RunText(run(3, 12))));
    for invalid in ["", "3", "-", "03-12", "+3-12", "3-12-1", "3-12 ", "-3-12"] {
        assert!(parse_run(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn heartbeat_answer_has_expected_field_names() {
    let answer = HeartbeatAnswerBody {
        term: 5,
        confirmed: Some(16),
        incarnation: 4,
        lease_ms: 10_000,
        recorded: vec![RunText(run(3, 10))],
        stop: vec![RunText(run(3, 12))],
    };
    let expected = json!({
        "term": 5, "confirmed": 16, "incarnation": 4, "lease_ms": 10_000,
        "recorded": ["3-10"], "stop": ["3-12"],
    });
    assert_eq!(serde_json::to_value(&answer).unwrap(), expected);
}

#[test]
fn contradictory_order_or_answer_is_rejected() {
    let revoke = json!({
        "term": 3, "sequence": 1, "runner": "runner-1", "incarnation": 4,
        "order": "void", "run": "3-12",
    });
    let order = |value: &Value| -> Result<RunnerOrder, String> {
        let bytes = serde_json::to_vec(value).unwrap();
        let body: OrderBody = read(&bytes).map_err(|error| error.to_string())?;
        RunnerOrder::try_from(body).map_err(|error| error.to_string())
    };
    assert!(order(&revoke).is_ok());
    let mut start = revoke.clone();
    start["order"] = json!("start");
    assert!(order(&start).unwrap_err().contains("start must be there"));
    let rejected: OrderAnswerBody = read(br#"{"answer": "refused"}"#).unwrap();
    assert!(OrderAnswer::try_from(rejected).is_err());
    let started: OrderAnswerBody = read(br#"{"answer": "started", "reason": "no_room"}"#).unwrap();
    assert!(OrderAnswer::try_from(started).is_err());
}

prop_compose! {
    fn any_run()(term: u64, sequence: u64) -> RunId {
        run(term, sequence)
    }
}

fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Done),
        Just(Outcome::Stopped),
        "[a-z ]{0,40}".prop_map(Outcome::Failed),
    ]
}

prop_compose! {
    fn any_report()(
        numbers: (u64, u64, bool, bool),
        capacity: (u32, u32, u32, u32),
        active in prop::collection::vec((any_run(), any::<u64>()), 0..5),
        ended in prop::collection::vec((any_run(), any_outcome()), 0..5),
    ) -> RunnerReport {
        let (slots, cpu_milli, memory_mib, gpus) = capacity;
        let capacity = Resources { slots, cpu_milli, memory_mib, gpus };
        let (incarnation, sequence, draining, self_stop) = numbers;
        RunnerReport { endpoint: None,
            unnamed: Vec::new(),
            runner: runner(),
            incarnation: RunnerIncarnation(incarnation),
            sequence: HeartbeatSequence(sequence),
            pool: PoolName::new("stills").unwrap(),
            rack: RackName::new("rack-2").unwrap(),
            labels: Labels::from([("a".to_owned(), "ö".to_owned())]),
            capacity,
            free: capacity,
            draining,
            self_stop,
            active: active
                .into_iter()
                .map(|(run, age)| ActiveRun { progress: None, checkpoint: None, run, age: Milliseconds(age) })
                .collect(),
            ended: ended
                .into_iter()
                .map(|(run, outcome)| EndedRun { checkpoint: None, run, outcome })
                .collect(),
        }
    }
}

prop_compose! {
    fn any_order()(
        numbers: (u64, u64, u64, u64, u64, u64, u32),
        run in any_run(),
        payload: String,
        kind in 0..3,
    ) -> RunnerOrder {
        let (term, sequence, incarnation, based_on, lease, limit, task) = numbers;
        let spec = RunSpec { attempt: 1, checkpoint: None,
            run,
            job: JobKey {
                tenant: TenantId::new("tenant").unwrap(),
                job: JobId::new("job").unwrap(),
            },
            step: StepName::new("step").unwrap(),
            task,
            resources: Resources::UNLIMITED,
            time_limit: Milliseconds(limit),
            payload,
        };
        let kind = match kind {
            0 => OrderKind::Stop { run },
            1 => OrderKind::Revoke { run },
            _ => OrderKind::Start {
                run: spec,
                based_on: HeartbeatSequence(based_on),
                lease: Milliseconds(lease),
            },
        };
        RunnerOrder {
        name: None,
            term: Term(term),
            sequence: OrderSequence(sequence),
            runner: runner(),
            incarnation: RunnerIncarnation(incarnation),
            kind,
        }
    }
}

fn any_answer() -> impl Strategy<Value = OrderAnswer> {
    prop_oneof![
        Just(OrderAnswer::Started),
        Just(OrderAnswer::Stopping),
        Just(OrderAnswer::Revoked),
        Just(OrderAnswer::Active),
        Just(OrderAnswer::Ended),
        prop_oneof![
            Just(RejectionReason::StaleTerm),
            Just(RejectionReason::OtherIncarnation),
            Just(RejectionReason::StaleHeartbeat),
            Just(RejectionReason::KnownRun),
            Just(RejectionReason::NoCapacity),
            Just(RejectionReason::Draining),
        ]
        .prop_map(OrderAnswer::Rejected),
    ]
}

/// Returns the bytes of a valid body of which one range is replaced.
fn corrupted(valid: Value) -> impl Strategy<Value = Vec<u8>> {
    let bytes = serde_json::to_vec(&valid).unwrap();
    let length = bytes.len();
    (0..length, 0..8_usize, any::<Vec<u8>>()).prop_map(move |(start, removed, inserted)| {
        let mut bytes = bytes.clone();
        let end = (start + removed).min(length);
        bytes.splice(start..end, inserted);
        bytes
    })
}

/// Returns a configuration that generates the same cases in every run.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn report_round_trips_through_json(report in any_report()) {
        let url = OrdersUrl::new("http://127.0.0.1:7500/orders").unwrap();
        let body = HeartbeatBody::from_report(&report, &url);
        let bytes = serde_json::to_vec(&body).unwrap();
        let parsed: HeartbeatBody = read(&bytes).unwrap();
        prop_assert_eq!(parsed.into_report(runner()).unwrap(), (report, url));
    }

    #[test]
    fn order_round_trips_through_json(order in any_order()) {
        let bytes = serde_json::to_vec(&OrderBody::from(&order)).unwrap();
        let parsed: OrderBody = read(&bytes).unwrap();
        prop_assert_eq!(RunnerOrder::try_from(parsed).unwrap(), order);
    }

    #[test]
    fn answer_round_trips_through_json(answer in any_answer()) {
        let body = OrderAnswerBody::from_answer(&answer).unwrap();
        let bytes = serde_json::to_vec(&body).unwrap();
        let parsed: OrderAnswerBody = read(&bytes).unwrap();
        prop_assert_eq!(OrderAnswer::try_from(parsed).unwrap(), answer);
    }

    #[test]
    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) {
        let _ = read::<HeartbeatBody>(&bytes);
        let _ = read::<OrderBody>(&bytes);
        let _ = read::<OrderAnswerBody>(&bytes);
    }

    #[test]
    fn corrupted_heartbeat_never_panics(bytes in corrupted(heartbeat())) {
        if let Ok(body) = read::<HeartbeatBody>(&bytes) {
            let _ = body.into_report(runner());
        }
    }

    #[test]
    fn arbitrary_orders_url_never_panics(text: String) {
        let _ = OrdersUrl::new(&text);
        let _ = OrdersUrl::new(&format!("http://{text}"));
    }
}
