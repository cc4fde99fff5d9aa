//! Planned ends of runs, and the runs and resources that heartbeats report.

use crate::bench::{options, run, run_id, runner, runner_with, slots, start_of};
use emulator::runner::{Behaviour, Runner, RunnerEvent};
use types::{Monotonic, Outcome};

/// Starts a run with this payload at time 0, and returns the time and outcome of its
/// end.
fn end_of_run(runner: &mut Runner, payload: &str) -> Option<(u64, Outcome)> {
    runner.order(Monotonic(0), &start_of(run(1, payload), 1));
    let at = runner.next_wakeup()?;
    match runner.tick(at).as_slice() {
        [RunnerEvent::Ended { outcome, .. }] => Some((at.0, outcome.clone())),
        _ => None,
    }
}

fn runner_with_behaviour(behaviour: Behaviour) -> Runner {
    let mut runner = runner();
    runner.behave(behaviour);
    runner
}

#[test]
fn payload_sets_duration_and_failure_of_run() {
    let done = end_of_run(&mut runner(), r#"{"duration_ms": 250, "other": 1}"#);
    assert_eq!(done, Some((250, Outcome::Done)));
    let failed = end_of_run(&mut runner(), r#"{"duration_ms": 250, "fail": true}"#);
    assert!(matches!(failed, Some((250, Outcome::Failed(_)))));
    assert_eq!(end_of_run(&mut runner(), ""), Some((100, Outcome::Done)));
}

#[test]
fn task_named_by_fail_task_fails_early() {
    let payload = |task: u32| format!(r#"{{"duration_ms": 5000, "fail_task": {task}}}"#);
    let failed = end_of_run(&mut runner(), &payload(0));
    assert!(matches!(failed, Some((200, Outcome::Failed(_)))));
    let other = end_of_run(&mut runner(), &payload(1));
    assert_eq!(other, Some((5_000, Outcome::Done)));
}

#[test]
fn unreadable_payload_fails_run_at_once() {
    let ended = end_of_run(&mut runner(), "{nonsense");
    assert!(matches!(ended, Some((0, Outcome::Failed(_)))));
}

#[test]
fn run_over_time_limit_ends_as_failed() {
    let mut options = options();
    options.behaviour = Behaviour::Slow { times: 1_000 };
    let mut runner = runner_with(options);
    let mut order = start_of(run(1, r#"{"duration_ms": 250}"#), 1);
    if let types::OrderKind::Start { run, .. } = &mut order.kind {
        run.time_limit = types::Milliseconds(600);
    }
    runner.order(Monotonic(0), &order);
    let events = runner.tick(Monotonic(600));
    assert!(matches!(
        events.as_slice(),
        [RunnerEvent::Ended { outcome: Outcome::Failed(reason), .. }] if reason.contains("time limit")
    ));
}

#[test]
fn slow_failing_and_stuck_runners_end_runs_accordingly() {
    let payload = r#"{"duration_ms": 250}"#;
    let slow = end_of_run(
        &mut runner_with_behaviour(Behaviour::Slow { times: 4 }),
        payload,
    );
    assert_eq!(slow, Some((1_000, Outcome::Done)));
    let failing = Behaviour::Failing { per_thousand: 1000 };
    let failed = end_of_run(&mut runner_with_behaviour(failing), payload);
    assert!(matches!(failed, Some((250, Outcome::Failed(_)))));
    let stuck = end_of_run(&mut runner_with_behaviour(Behaviour::Stuck), payload);
    assert_eq!(stuck, Some((10_000, Outcome::Stopped)), "at lease end only");
}

#[test]
fn heartbeat_reports_free_resources_active_runs_ended_runs_and_draining() {
    let mut runner = runner();
    runner.order(Monotonic(100), &start_of(run(1, ""), 1));
    let report = runner.heartbeat(Monotonic(150));
    assert_eq!(report.free, slots(1));
    assert_eq!(report.active.len(), 1);
    assert_eq!(report.active[0].run, run_id(1));
    assert_eq!(report.active[0].age.0, 50);
    let report = runner.heartbeat(Monotonic(200));
    assert_eq!(report.free, slots(2));
    assert_eq!(report.ended[0].outcome, Outcome::Done);
    runner.drain();
    assert!(runner.heartbeat(Monotonic(250)).draining);
}
