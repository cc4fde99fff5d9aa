//! Rules on configurations, orders and service. Each test checks that a violation
//! is reported and that histories just within the limits are accepted.

mod support;

use checker::Event;
use checker::ViolationKind::*;
use support::*;
use types::*;

fn configuration_acknowledged(version: u64, digest: &str) -> Event {
    Event::ConfigurationAcknowledged {
        version: ConfigurationVersion(version),
        digest: digest.into(),
    }
}

fn configuration_read(daemon: &str, asked_at: u64, version: u64) -> Event {
    Event::ConfigurationRead {
        daemon: daemon.into(),
        asked_at: Milliseconds(asked_at),
        version: ConfigurationVersion(version),
        digest: format!("digest-{version}"),
    }
}

#[test]
fn daemon_with_old_configuration_after_limit_is_violation() {
    let events_for = |asked_at| {
        vec![
            (10, configuration_acknowledged(1, "digest-1")),
            (1_000, configuration_acknowledged(2, "digest-2")),
            (3_500, configuration_read("gateway", asked_at, 1)),
        ]
    };
    assert_no_violations(events_for(2_999));
    assert_violations(events_for(3_000), &[ConfigurationLate]);
}

#[test]
fn daemon_that_returns_to_older_configuration_is_violation() {
    let events_for = |asked_at, daemon| {
        vec![
            (20, configuration_read("gateway", 10, 2)),
            (40, configuration_read(daemon, asked_at, 1)),
        ]
    };
    assert_violations(events_for(20, "gateway"), &[ConfigurationSlidBack]);
    // The request was sent before the newer reply arrived, or to another daemon.
    assert_no_violations(events_for(19, "gateway"));
    assert_no_violations(events_for(20, "agent"));
}

#[test]
fn two_documents_with_one_version_are_violation() {
    let events_for = |digest| {
        vec![
            (10, configuration_acknowledged(1, "one")),
            (20, configuration_acknowledged(1, digest)),
        ]
    };
    assert_violations(events_for("two"), &[TwoWinners]);
    // The same configuration is acknowledged again.
    assert_no_violations(events_for("one"));
    let rejected = Event::ConfigurationRejected {
        version: ConfigurationVersion(1),
        digest: "two".into(),
        code: "conflict".into(),
    };
    assert_no_violations(vec![
        (10, configuration_acknowledged(1, "one")),
        (20, rejected),
    ]);
    let read = configuration_read("gateway", 20, 1);
    assert_violations(
        vec![(10, configuration_acknowledged(1, "one")), (30, read)],
        &[TwoWinners],
    );
}

#[test]
fn accepted_order_of_superseded_leader_is_violation() {
    let order = |on, term, stale| Event::OrderAccepted {
        runner: runner(on),
        term: Term(term),
        stale,
    };
    let flagged = vec![(10, order(1, 2, true))];
    assert_violations(flagged, &[StaleOrderAccepted]);
    let older = vec![(10, order(1, 3, false)), (20, order(1, 2, false))];
    assert_violations(older, &[StaleOrderAccepted]);
    assert_no_violations(vec![
        (10, order(1, 2, false)),
        (20, order(1, 3, false)),
        (30, order(1, 3, false)),
        (40, order(2, 2, false)),
    ]);
}

/// Returns events after the end of all faults at 1 000, and a new fault at 20 000,
/// which is after the time limit of the recovery.
fn after_faults_ended(events: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let mut all = vec![(0, fault_injected()), (1_000, Event::Healed)];
    all.extend(events);
    all.push((20_000, fault_injected()));
    all
}

#[test]
fn missing_reply_after_faults_ended_is_violation() {
    let submit = || submit_sent(1, &[simple_step("only")]);
    let no_reply = after_faults_ended(vec![(2_000, submit())]);
    assert_violations(no_reply, &[ServiceNotBack]);
    let late = vec![(2_000, submit()), (13_001, submit_acknowledged(1))];
    assert_violations(after_faults_ended(late), &[ServiceNotBack]);
    let in_time = vec![(2_000, submit()), (13_000, submit_acknowledged(1))];
    assert_no_violations(after_faults_ended(in_time));
    let reply_to_read = vec![(2_000, submit()), (9_000, unknown_read(1, 8_000))];
    assert_no_violations(after_faults_ended(reply_to_read));
    // No request was sent, or another fault occurred before the time limit.
    assert_no_violations(after_faults_ended(Vec::new()));
    let new_fault = vec![(2_000, submit()), (5_000, fault_injected())];
    assert_no_violations(after_faults_ended(new_fault));
    // The reply to a request sent before the faults ended is no evidence of
    // service.
    let old_reply = vec![(2_000, submit()), (3_000, unknown_read(1, 900))];
    assert_violations(after_faults_ended(old_reply), &[ServiceNotBack]);
}

#[test]
fn missing_progress_of_job_after_faults_ended_is_violation() {
    let acknowledged_job = || {
        vec![
            (0, submit_sent(1, &[simple_step("only")])),
            (5, submit_acknowledged(1)),
        ]
    };
    let with_job_and_faults = |events: Vec<(u64, Event)>| {
        let mut all = acknowledged_job();
        all.extend(after_faults_ended(events));
        all
    };
    assert_violations(with_job_and_faults(Vec::new()), &[ServiceNotBack]);
    assert_no_violations(with_job_and_faults(vec![(
        13_000,
        run_started(1, 1, 1, "only"),
    )]));
    let cancelled = vec![(2_000, Event::CancelSent { job: job(1) })];
    let answered = vec![(2_100, Event::CancelAcknowledged { job: job(1) })];
    let mut cancelled_job = cancelled;
    cancelled_job.extend(answered);
    cancelled_job.push((2_200, state_read(1, 2_150, JobState::Cancelled)));
    assert_no_violations(with_job_and_faults(cancelled_job));
    let stopped_again = vec![
        (9_000, run_started(1, 1, 1, "only")),
        (9_100, run_ended(1, 1, Outcome::Stopped)),
    ];
    assert_no_violations(with_job_and_faults(stopped_again));
    // The job's cancel was sent, and another request was answered.
    assert_no_violations(with_job_and_faults(vec![
        (2_000, Event::CancelSent { job: job(1) }),
        (2_100, unknown_read(2, 2_050)),
    ]));
    let mut not_due = with_job_and_faults(Vec::new());
    if let Event::SubmitSent { not_before, .. } = &mut not_due[0].1 {
        *not_before = Some(Milliseconds(1_001));
    }
    assert_no_violations(not_due);
    // An open run of a long task counts as progress.
    let mut running = acknowledged_job();
    running.push((6, run_started(1, 1, 1, "only")));
    running.insert(0, (0, fault_injected()));
    running.push((1_000, Event::Healed));
    running.push((20_000, fault_injected()));
    assert_no_violations(running);
}
