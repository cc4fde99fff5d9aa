//! Snapshots, and the rejection of bytes that are no valid snapshot or command.

mod support;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use state_machine::{CancelSelector, Command, StateMachine, StateMachineError};
use std::cell::Cell;
use support::*;
use types::*;

/// Returns a driver whose state has jobs in several states, open and closed runs,
/// and a draining runner.
fn populated_driver() -> Driver {
    let mut driver = Driver::new();
    let mut copied = step("s", 3, &[]);
    copied.max_copies = 2;
    driver.submit(job("done", vec![step("s", 1, &[])]));
    driver.submit(job("running", vec![copied, step("t", 1, &["s"])]));
    driver.submit(job("cancelled", vec![step("s", 1, &[])]));
    let done = driver.reserve(task(1, 0, 0)).unwrap();
    driver.close(done, DONE);
    driver.forget(1);
    let run = driver.reserve(task(2, 0, 0)).unwrap();
    driver.close(run, failed());
    driver.reserve(task(2, 0, 1)).unwrap();
    let run = driver.reserve(task(2, 0, 2)).unwrap();
    driver.close(run, DONE);
    driver.reserve(task(3, 0, 0)).unwrap();
    driver.cancel(CancelSelector::Jobs(vec![key("a", "cancelled")]));
    let spec = job("entered", vec![step("s", 1, &[])]);
    driver.state_machine.apply(&Command::SubmitByEntry {
        access: JobAccess::default(),
        entry: EntryAddress::new("one.example/"),
        spec,
        at: driver.at,
    });
    driver.state_machine.apply(&Command::SetRunnerDraining {
        runner: runner("leaving"),
        draining: true,
        at: driver.at,
    });
    driver
}

#[test]
fn snapshot_restores_an_equal_state() {
    let driver = populated_driver();
    let bytes = driver.state_machine.snapshot().unwrap();
    let restored = StateMachine::restore(&bytes).unwrap();
    assert_eq!(restored, driver.state_machine);
    assert_eq!(restored.snapshot().unwrap(), bytes);
    assert_eq!(restored.draining_runners(), [runner("leaving")]);
    let empty = StateMachine::new().snapshot().unwrap();
    assert_eq!(StateMachine::restore(&empty).unwrap(), StateMachine::new());
}

#[test]
fn snapshot_of_other_version_or_wrong_length_is_rejected() {
    let bytes = populated_driver().state_machine.snapshot().unwrap();
    assert_eq!(bytes[0], 5);
    for other in [3, 6] {
        let mut changed = bytes.clone();
        changed[0] = other;
        assert!(matches!(
            StateMachine::restore(&changed),
            Err(StateMachineError::Version { found, .. }) if found == u32::from(other)
        ));
    }
    let mut without_entries = bytes.clone();
    without_entries[0] = 4;
    assert!(StateMachine::restore(&without_entries).is_err());
    let mut longer = bytes.clone();
    longer.push(0);
    assert!(StateMachine::restore(&longer).is_err());
    for length in 0..bytes.len() {
        assert!(StateMachine::restore(&bytes[..length]).is_err(), "{length}");
    }
}

fn test_runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Returns random bytes, or valid bytes of which up to three are overwritten.
fn damaged_bytes(valid: Vec<u8>) -> impl Strategy<Value = Vec<u8>> {
    let overwrites = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4);
    let damaged = overwrites.prop_map(move |overwrites| {
        let mut bytes = valid.clone();
        for (index, value) in overwrites {
            let position = index.index(bytes.len());
            bytes[position] = value;
        }
        bytes
    });
    prop_oneof![damaged, prop::collection::vec(any::<u8>(), 0..200)]
}

/// Exercises a state that was restored from damaged bytes; no operation may panic.
fn exercise(mut state_machine: StateMachine) {
    state_machine.snapshot().unwrap();
    let open = state_machine.open_runs();
    let runs = open.iter().map(|open| state_machine::ClosedRun {
        checkpoint: None,
        run: open.run,
        close: DONE,
    });
    let close = Command::CloseRuns {
        runs: runs.collect(),
        at: WallTime(1),
    };
    state_machine.apply(&close);
    state_machine.ready_tasks(None, usize::MAX);
    let selector = CancelSelector::Tenant {
        tenant: tenant("a"),
        queue: None,
    };
    let at = WallTime(u64::MAX);
    state_machine.apply(&Command::Cancel { selector, at });
    state_machine.apply(&Command::Submit {
        spec: job("new", vec![step("s", 1, &[])]),
        at,
    });
    state_machine.apply(&Command::Forget {
        ended_before: at,
        limit: u32::MAX,
    });
}

#[test]
fn damaged_snapshots_never_panic() {
    let bytes = populated_driver().state_machine.snapshot().unwrap();
    // The version of the format is intact, so that damage of what follows is read.
    let version = *bytes.first_chunk::<4>().unwrap();
    let versioned = damaged_bytes(bytes).prop_map(move |mut bytes| {
        let head = bytes.len().min(version.len());
        bytes[..head].copy_from_slice(&version[..head]);
        bytes
    });
    let restored = Cell::new(0);
    let check = |bytes: Vec<u8>| {
        if let Ok(state_machine) = StateMachine::restore(&bytes) {
            restored.set(restored.get() + 1);
            exercise(state_machine);
        }
        Ok(())
    };
    test_runner(4_000).run(&versioned, check).unwrap();
    assert!(
        restored.get() > 0,
        "no damage passed the checks of the format"
    );
}

#[test]
fn damaged_commands_never_panic() {
    let command = Command::Submit {
        spec: job("j", vec![step("s", 1, &[]), step("t", 2, &["s"])]),
        at: WallTime(1),
    };
    let bytes = command.encode().unwrap();
    assert_eq!(Command::decode(&bytes).unwrap(), command);
    let check = |bytes: Vec<u8>| {
        if let Ok(command) = Command::decode(&bytes) {
            let mut driver = Driver::new();
            driver.state_machine.apply(&command);
            driver.state_machine.snapshot().unwrap();
        }
        Ok(())
    };
    test_runner(4_000)
        .run(&damaged_bytes(bytes), check)
        .unwrap();
}
