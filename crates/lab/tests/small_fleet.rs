//! Small fleet of real daemons that accepts some jobs and runs all of them to their
//! end.

use checker::{Event, Limits, check};
use emulator::workload::{Mix, example_configuration, pool_runners};
use lab::callers::{CallerPlan, Callers};
use lab::process::Program;
use lab::runners::{RunnerPlan, Runners};
use lab::setup::{TrialFolder, put_configuration, wait_for_runners};
use lab::{Fleet, FleetPlan, History};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use types::Role;

/// Timeout of each step, far above its usual time, so that a busy machine does not
/// fail the test.
const TIMEOUT: Duration = Duration::from_secs(120);
/// Number of acknowledged jobs after which the callers stop.
const MIN_JOBS: u64 = 20;

const PLAN: FleetPlan = FleetPlan {
    coordinators: 3,
    gateways: 1,
    agents: 2,
};

/// Returns the largest runner of each pool, both with accelerators.
fn runner_plans(fleet: &Fleet) -> Vec<RunnerPlan> {
    let largest = [Mix::Media, Mix::Documents].map(|mix| pool_runners(mix).pop().unwrap());
    fleet
        .of_role(Role::Agent)
        .zip(largest)
        .map(|(agent, template)| RunnerPlan::for_agent(agent, template, 1))
        .collect()
}

fn caller_plans() -> Vec<CallerPlan> {
    let plan = |name: &str, mix| CallerPlan {
        name: name.to_owned(),
        mix,
        load: 0.1,
        seed: 7,
    };
    vec![
        plan("stills", Mix::Media),
        plan("documents", Mix::Documents),
    ]
}

/// Polls the condition and fails after [`TIMEOUT`].
async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(
        tokio::time::timeout(TIMEOUT, waiting).await.is_ok(),
        "{what}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn small_fleet_ends_every_job_without_violation() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{}", std::process::id()));
    let folder = TrialFolder::create_at(path, false).unwrap();
    let program = Program::lab(env!("CARGO_BIN_EXE_lab"));
    let mut fleet = Fleet::build(&PLAN, program, folder.path()).unwrap();
    let history = History::default();
    fleet.start_all().unwrap();
    fleet.wait_all_ready(TIMEOUT).await.unwrap();
    put_configuration(&fleet, &history, example_configuration())
        .await
        .unwrap();
    let runners = Runners::start(runner_plans(&fleet), &history)
        .await
        .unwrap();
    wait_for_runners(&fleet, 2, TIMEOUT).await.unwrap();

    let callers = Callers::start(caller_plans(), &fleet.gateway_urls(), &history).unwrap();
    let progress = callers.progress();
    wait_until("jobs acknowledged", || {
        progress.acknowledged.load(Ordering::Relaxed) >= MIN_JOBS
    })
    .await;
    callers.stop_sending();
    wait_until("jobs ended", || progress.unfinished() == 0).await;

    history.record("test", Event::Finished);
    runners.stop().await;
    let report = check(&history.observations(), &Limits::default());
    assert_eq!(report.violations, []);
    assert_eq!(report.done_jobs, report.acknowledged_jobs);
    assert!(fleet.leader().await.unwrap().is_some());

    let ids: Vec<_> = fleet.members().iter().map(|member| member.id).collect();
    for id in ids {
        fleet.terminate(id, TIMEOUT).await.unwrap();
    }
}
