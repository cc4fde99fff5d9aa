//! How runs end by themselves, and what heartbeats tell of them.

use crate::bench::{options, run, run_id, runner, runner_with, slots, start_of};
use emulator::runner::{Behaviour, Runner, RunnerEvent};
use types::{Monotonic, Outcome};

fn ends(runner: &mut Runner, payload: &str) -> Option<(u64, Outcome)> {
    runner.order(Monotonic(0), &start_of(run(1, payload), 1));
    let at = runner.next_wakeup()?;
    match runner.tick(at).as_slice() {
        [RunnerEvent::Ended { outcome, .. }] => Some((at.0, outcome.clone())),
        _ => None,
    }
}

fn behaving(behaviour: Behaviour) -> Runner {
    let mut runner = runner();
    runner.behave(behaviour);
    runner
}

#[test]
fn work_takes_the_payloads_time_and_fails_when_told() {
    let done = ends(&mut runner(), r#"{"duration_ms": 250, "other": 1}"#);
    assert_eq!(done, Some((250, Outcome::Done)));
    let failed = ends(&mut runner(), r#"{"duration_ms": 250, "fail": true}"#);
    assert!(matches!(failed, Some((250, Outcome::Failed(_)))));
    assert_eq!(ends(&mut runner(), ""), Some((100, Outcome::Done)));
}

#[test]
fn the_task_that_a_payload_names_fails_soon() {
    let payload = |task: u32| format!(r#"{{"duration_ms": 5000, "fail_task": {task}}}"#);
    let failed = ends(&mut runner(), &payload(0));
    assert!(matches!(failed, Some((200, Outcome::Failed(_)))));
    let other = ends(&mut runner(), &payload(1));
    assert_eq!(other, Some((5_000, Outcome::Done)));
}

#[test]
fn an_unreadable_payload_fails_at_once() {
    let ended = ends(&mut runner(), "{nonsense");
    assert!(matches!(ended, Some((0, Outcome::Failed(_)))));
}

#[test]
fn a_time_limit_ends_a_run_as_failed() {
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
fn behaviours() {
    let payload = r#"{"duration_ms": 250}"#;
    let slow = ends(&mut behaving(Behaviour::Slow { times: 4 }), payload);
    assert_eq!(slow, Some((1_000, Outcome::Done)));
    let failing = Behaviour::Failing { per_thousand: 1000 };
    let failed = ends(&mut behaving(failing), payload);
    assert!(matches!(failed, Some((250, Outcome::Failed(_)))));
    let stuck = ends(&mut behaving(Behaviour::Stuck), payload);
    assert_eq!(stuck, Some((10_000, Outcome::Stopped)), "at lease end only");
}

#[test]
fn heartbeats_tell_room_held_and_ended() {
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
