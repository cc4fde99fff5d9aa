//! `lab rolling-change`: a small fleet under load changes from one program to another
//! and back without a violation.

use cypressdrum::Exit;
use emulator::workload::{Mix, pool_runners};
use lab::process::Program;
use lab::rolling_change::{Pace, RollingChangeArguments, change_all, run};
use lab::trial::{Trial, TrialArguments, TrialPlan};
use lab::{Fleet, FleetPlan};
use std::path::{Path, PathBuf};

/// Two gateways, so that one is always available to the callers.
const FLEET: FleetPlan = FleetPlan {
    coordinators: 3,
    gateways: 2,
    agents: 2,
};
/// Short pauses between the steps, to keep the test fast.
const PACE: Pace = Pace {
    mixed_seconds: 1,
    after_seconds: 1,
};
/// Factor on the submit rate of the mixes.
const LOAD: f64 = 0.1;

/// Returns a path in the test's temporary folder, unique to this process.
fn scratch(name: &str) -> PathBuf {
    let file = format!("{name}-{}", std::process::id());
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(file)
}

fn trial_arguments(history: Option<PathBuf>) -> TrialArguments {
    TrialArguments {
        keep: false,
        history,
        seed: 7,
        load: LOAD,
    }
}

/// Returns a plan with the largest runner of each pool, both with accelerators.
fn plan(program: Program) -> TrialPlan {
    let largest = [Mix::Media, Mix::Documents].map(|mix| pool_runners(mix).pop().unwrap());
    TrialPlan {
        fleet: FLEET,
        program,
        runners: largest.into(),
    }
}

/// Links the program under another name, so that `/proc` shows which of the two a
/// daemon runs.
fn link_program(program: &Program) -> Program {
    let path = scratch("linked-lab");
    std::fs::hard_link(&program.path, &path).unwrap();
    Program::lab(path)
}

fn assert_all_run(fleet: &Fleet, program: &Program) {
    for member in fleet.members() {
        let process = member.process_id().unwrap();
        let running = std::fs::read_link(format!("/proc/{process}/exe")).unwrap();
        assert_eq!(running, program.path, "{}", member.id);
    }
}

/// Guards against jobs lost or started twice while daemons restart one by one with
/// another program, and against daemons that keep running the old one.
#[tokio::test(flavor = "multi_thread")]
async fn small_fleet_changes_program_and_reverts_without_violation() {
    let from = Program::lab(env!("CARGO_BIN_EXE_lab"));
    let to = link_program(&from);
    let history = scratch("rolling-change.jsonl");
    let arguments = trial_arguments(Some(history.clone()));
    let mut trial = Trial::start_plan(plan(from.clone()), arguments)
        .await
        .unwrap();
    assert_all_run(&trial.fleet, &from);
    change_all(&mut trial, &to, PACE).await.unwrap();
    assert_all_run(&trial.fleet, &to);
    change_all(&mut trial, &from, PACE).await.unwrap();
    assert_all_run(&trial.fleet, &from);
    assert_eq!(trial.finish().await.unwrap(), Exit::Done);

    let file = std::fs::File::open(&history).unwrap();
    let observations = checker::read_history(std::io::BufReader::new(file)).unwrap();
    let report = checker::check(&observations, &checker::Limits::default());
    assert_eq!(report.violations, []);
    assert!(report.acknowledged_jobs > 0);
    std::fs::remove_file(history).unwrap();
    std::fs::remove_file(to.path).unwrap();
}

#[test]
fn missing_program_is_usage_error() {
    let arguments = RollingChangeArguments {
        from: None,
        to: Some(scratch("no-such-program")),
        pace: PACE,
        trial: trial_arguments(None),
    };
    assert_eq!(run(arguments), Exit::Usage);
}
