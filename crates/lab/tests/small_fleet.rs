//! Real daemons: a small fleet takes a handful of jobs and ends them all.

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

/// Far above what any step takes, so that a busy machine changes nothing.
const LONG: Duration = Duration::from_secs(120);
/// Jobs that must have been acknowledged before the callers stop.
const JOBS: u64 = 20;

const PLAN: FleetPlan = FleetPlan {
    coordinators: 3,
    gateways: 1,
    agents: 2,
};

/// One runner of each pool, both with accelerators.
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

async fn until(what: &str, condition: impl Fn() -> bool) {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    assert!(tokio::time::timeout(LONG, waiting).await.is_ok(), "{what}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_small_fleet_ends_every_job_and_breaks_no_promise() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{}", std::process::id()));
    let folder = TrialFolder::create_at(path, false).unwrap();
    let program = Program::lab(env!("CARGO_BIN_EXE_lab"));
    let mut fleet = Fleet::build(&PLAN, program, folder.path()).unwrap();
    let history = History::default();
    fleet.start_all().unwrap();
    fleet.wait_all_ready(LONG).await.unwrap();
    put_configuration(&fleet, &history, example_configuration())
        .await
        .unwrap();
    let runners = Runners::start(runner_plans(&fleet), &history)
        .await
        .unwrap();
    wait_for_runners(&fleet, 2, LONG).await.unwrap();

    let callers = Callers::start(caller_plans(), &fleet.gateway_urls(), &history).unwrap();
    let progress = callers.progress();
    until("jobs acknowledged", || {
        progress.acknowledged.load(Ordering::Relaxed) >= JOBS
    })
    .await;
    callers.stop_sending();
    until("jobs ended", || progress.unfinished() == 0).await;

    history.record("test", Event::Finished);
    runners.stop().await;
    let report = check(&history.observations(), &Limits::default());
    assert_eq!(report.violations, []);
    assert_eq!(report.done_jobs, report.acknowledged_jobs);
    assert!(fleet.leader().await.unwrap().is_some());

    let ids: Vec<_> = fleet.members().iter().map(|member| member.id).collect();
    for id in ids {
        fleet.terminate(id, LONG).await.unwrap();
    }
}
