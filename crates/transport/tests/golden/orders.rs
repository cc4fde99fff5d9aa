//! Samples of orders to runners, of their results, and of the reports of runners.

use super::bytes::Sample;
use super::samples::{key, name, outcomes, resources, run};
use std::collections::BTreeMap;
use transport::{AgentReport, NamedRun, OrderResult, PeerMessage, RunnerUpdate};
use types::*;

pub const REJECTION_REASONS: [RejectionReason; 7] = [
    RejectionReason::StaleTerm,
    RejectionReason::OtherIncarnation,
    RejectionReason::StaleHeartbeat,
    RejectionReason::KnownRun,
    RejectionReason::NoCapacity,
    RejectionReason::Draining,
    RejectionReason::Unhealthy,
];

fn run_name(attempt: u32) -> RunName {
    RunName {
        job: name("birch-5"),
        step: name("oak"),
        task: 61,
        attempt,
    }
}

fn run_spec() -> RunSpec {
    RunSpec {
        run: run(62),
        job: key("acorn", "birch-5"),
        step: name("oak"),
        task: 63,
        attempt: 64,
        checkpoint: Some("half way".to_owned()),
        resources: resources(5),
        time_limit: Milliseconds(95_000),
        payload: "cut it".to_owned(),
    }
}

pub fn kinds() -> [OrderKind; 3] {
    let start = OrderKind::Start {
        run: run_spec(),
        based_on: HeartbeatSequence(65),
        lease: Milliseconds(18_001),
    };
    [
        start,
        OrderKind::Stop { run: run(66) },
        OrderKind::Revoke { run: run(67) },
    ]
}

fn order(sequence: u64, kind: OrderKind) -> RunnerOrder {
    RunnerOrder {
        term: Term(36),
        sequence: OrderSequence(sequence),
        runner: name("rowan"),
        incarnation: RunnerIncarnation(68),
        name: sequence.is_multiple_of(2).then(|| run_name(69)),
        kind,
    }
}

/// Returns every answer, with a rejection for every reason.
pub fn answers() -> Vec<OrderAnswer> {
    let mut answers = vec![
        OrderAnswer::Started,
        OrderAnswer::Stopping,
        OrderAnswer::Revoked,
        OrderAnswer::Active,
        OrderAnswer::Ended,
        OrderAnswer::Unknown,
    ];
    answers.extend(REJECTION_REASONS.map(OrderAnswer::Rejected));
    answers
}

fn results() -> Vec<OrderResult> {
    let numbered = (70..).zip(answers());
    let results = numbered.map(|(sequence, answer)| OrderResult {
        order: order(sequence, OrderKind::Stop { run: run(sequence) }),
        answer,
    });
    results.collect()
}

fn ended() -> Vec<EndedRun> {
    let numbered = (90..).zip(outcomes());
    let ended = numbered.map(|(number, outcome)| EndedRun {
        run: run(number),
        outcome,
        checkpoint: (number % 2 == 0).then(|| "all but done".to_owned()),
    });
    ended.collect()
}

fn unnamed() -> Vec<UnnamedRun> {
    vec![
        UnnamedRun {
            name: run_name(95),
            outcome: Some(Outcome::Done),
            progress: Some(96),
            checkpoint: Some("a third".to_owned()),
        },
        UnnamedRun {
            name: run_name(97),
            outcome: None,
            progress: None,
            checkpoint: None,
        },
    ]
}

/// Returns a heartbeat. `self_stop` is the opposite of `draining`, so that swapped
/// flags change the bytes.
fn heartbeat(draining: bool) -> RunnerReport {
    RunnerReport {
        runner: name("rowan"),
        incarnation: RunnerIncarnation(98),
        sequence: HeartbeatSequence(99),
        endpoint: Some(name("10.1.2.3:7000")),
        pool: name("maple"),
        rack: name("beech"),
        labels: BTreeMap::from([("wood".to_owned(), "soft".to_owned())]),
        capacity: resources(16),
        free: resources(12),
        draining,
        self_stop: !draining,
        active: vec![ActiveRun {
            run: run(100),
            age: Milliseconds(101),
            progress: Some(42),
            checkpoint: Some("a quarter".to_owned()),
        }],
        ended: ended(),
        unnamed: unnamed(),
    }
}

fn update() -> RunnerUpdate {
    RunnerUpdate {
        term: Term(37),
        runner: name("rowan"),
        incarnation: RunnerIncarnation(102),
        confirmed: HeartbeatSequence(103),
        lease: Milliseconds(18_002),
        recorded: vec![run(104)],
        stop: vec![run(105)],
        names: vec![
            NamedRun {
                name: run_name(106),
                run: Some(run(107)),
            },
            NamedRun {
                name: run_name(108),
                run: None,
            },
        ],
    }
}

pub fn samples() -> Vec<Sample<PeerMessage>> {
    let report = PeerMessage::AgentReport(AgentReport {
        reports: vec![heartbeat(true), heartbeat(false)],
    });
    let numbered = (80..).zip(kinds());
    let orders = PeerMessage::Orders {
        term: Term(38),
        agent: NodeId(904),
        orders: numbered.map(|(number, kind)| order(number, kind)).collect(),
    };
    let results = PeerMessage::OrderResults { results: results() };
    vec![
        Sample {
            name: "agent-report",
            value: report,
        },
        Sample {
            name: "runner-update",
            value: PeerMessage::RunnerUpdate(update()),
        },
        Sample {
            name: "orders",
            value: orders,
        },
        Sample {
            name: "order-results",
            value: results,
        },
    ]
}
