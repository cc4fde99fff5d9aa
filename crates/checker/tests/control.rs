//! Rules on configurations, orders and service: each planted fault is caught,
//! each near miss passes.

mod support;

use checker::Event;
use checker::ViolationKind::*;
use support::*;
use types::*;

fn taken(version: u64, digest: &str) -> Event {
    Event::ConfigurationAcknowledged {
        version: ConfigurationVersion(version),
        digest: digest.into(),
    }
}

fn answered(daemon: &str, asked_at: u64, version: u64) -> Event {
    Event::ConfigurationRead {
        daemon: daemon.into(),
        asked_at: Milliseconds(asked_at),
        version: ConfigurationVersion(version),
        digest: format!("digest-{version}"),
    }
}

#[test]
fn an_acknowledged_configuration_holds_in_time() {
    let base = |asked_at| {
        vec![
            (10, taken(1, "digest-1")),
            (1_000, taken(2, "digest-2")),
            (3_500, answered("gateway", asked_at, 1)),
        ]
    };
    assert_clean(base(2_999));
    assert_found(base(3_000), &[ConfigurationLate]);
}

#[test]
fn a_daemon_never_slides_back() {
    let base = |asked_at, daemon| {
        vec![
            (20, answered("gateway", 10, 2)),
            (40, answered(daemon, asked_at, 1)),
        ]
    };
    assert_found(base(20, "gateway"), &[ConfigurationSlidBack]);
    // Asked before the newer answer came, or of another daemon.
    assert_clean(base(19, "gateway"));
    assert_clean(base(20, "agent"));
}

#[test]
fn one_version_is_one_document() {
    let base = |digest| vec![(10, taken(1, "one")), (20, taken(1, digest))];
    assert_found(base("two"), &[TwoWinners]);
    // The same order, acknowledged again.
    assert_clean(base("one"));
    let rejected = Event::ConfigurationRejected {
        version: ConfigurationVersion(1),
        digest: "two".into(),
        code: "conflict".into(),
    };
    assert_clean(vec![(10, taken(1, "one")), (20, rejected)]);
    let read = answered("gateway", 20, 1);
    assert_found(vec![(10, taken(1, "one")), (30, read)], &[TwoWinners]);
}

#[test]
fn a_runner_takes_no_order_of_a_superseded_leader() {
    let order = |on, term, stale| Event::OrderAccepted {
        runner: runner(on),
        term: Term(term),
        stale,
    };
    let flagged = vec![(10, order(1, 2, true))];
    assert_found(flagged, &[StaleOrderAccepted]);
    let older = vec![(10, order(1, 3, false)), (20, order(1, 2, false))];
    assert_found(older, &[StaleOrderAccepted]);
    assert_clean(vec![
        (10, order(1, 2, false)),
        (20, order(1, 3, false)),
        (30, order(1, 3, false)),
        (40, order(2, 2, false)),
    ]);
}

fn healed_then(events: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let mut all = vec![(0, fault()), (1_000, Event::Healed)];
    all.extend(events);
    all.push((20_000, fault()));
    all
}

#[test]
fn service_answers_in_time_after_the_heal() {
    let attempt = || sent(1, &[expected("only")]);
    let none = healed_then(vec![(2_000, attempt())]);
    assert_found(none, &[ServiceNotBack]);
    let late = vec![(2_000, attempt()), (13_001, acknowledged(1))];
    assert_found(healed_then(late), &[ServiceNotBack]);
    let in_time = vec![(2_000, attempt()), (13_000, acknowledged(1))];
    assert_clean(healed_then(in_time));
    let read_only = vec![(2_000, attempt()), (9_000, unknown(1, 8_000))];
    assert_clean(healed_then(read_only));
    // Nobody asked, or another fault came first.
    assert_clean(healed_then(Vec::new()));
    let disturbed = vec![(2_000, attempt()), (5_000, fault())];
    assert_clean(healed_then(disturbed));
    // An answer to a question from before the heal is no service.
    let old_answer = vec![(2_000, attempt()), (3_000, unknown(1, 900))];
    assert_found(healed_then(old_answer), &[ServiceNotBack]);
}

#[test]
fn acknowledged_work_goes_on_after_the_heal() {
    let before = || vec![(0, sent(1, &[expected("only")])), (5, acknowledged(1))];
    let with = |events: Vec<(u64, Event)>| {
        let mut all = before();
        all.extend(healed_then(events));
        all
    };
    assert_found(with(Vec::new()), &[ServiceNotBack]);
    assert_clean(with(vec![(13_000, started(1, 1, 1, "only"))]));
    let cancelled = vec![(2_000, Event::CancelSent { job: job(1) })];
    let answered = vec![(2_100, Event::CancelAcknowledged { job: job(1) })];
    let mut quiet = cancelled;
    quiet.extend(answered);
    quiet.push((2_200, read(1, 2_150, JobState::Cancelled)));
    assert_clean(with(quiet));
    let lost_again = vec![
        (9_000, started(1, 1, 1, "only")),
        (9_100, ended(1, 1, Outcome::Stopped)),
    ];
    assert_clean(with(lost_again));
    // Its cancel was sent, and service answers another question.
    assert_clean(with(vec![
        (2_000, Event::CancelSent { job: job(1) }),
        (2_100, unknown(2, 2_050)),
    ]));
    let mut not_due = with(Vec::new());
    if let Event::SubmitSent { not_before, .. } = &mut not_due[0].1 {
        *not_before = Some(Milliseconds(1_001));
    }
    assert_clean(not_due);
    // A long task that goes on running is progress enough.
    let mut running = before();
    running.push((6, started(1, 1, 1, "only")));
    running.insert(0, (0, fault()));
    running.push((1_000, Event::Healed));
    running.push((20_000, fault()));
    assert_clean(running);
}
