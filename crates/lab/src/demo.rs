//! `demo`: today's fleet under both job mixes, with its leader killed once.

use crate::callers::{CallerPlan, Callers};
use crate::fleet::timed_out;
use crate::process::Program;
use crate::report::summarise;
use crate::runners::{RunnerPlan, Runners};
use crate::trial::{self, TrialFolder};
use crate::{Fleet, FleetPlan, History, LabError, MemberId};
use checker::{Event, Limits};
use clap::Args;
use cypressdrum::Exit;
use standin::workload::{Mix, example_configuration};
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use types::Milliseconds;

/// Longest wait for all daemons to be ready.
const START_TIME: Duration = Duration::from_secs(30);
/// The killed leader comes back after this.
const RESTART_AFTER: Duration = Duration::from_secs(5);
/// Longest wait for all jobs to end once no more are sent.
const END_TIME: Duration = Duration::from_secs(60);
/// Time between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the lab in the history.
const OBSERVER: &str = "lab";

/// What to show.
#[derive(Debug, Clone, Args)]
pub struct DemoArguments {
    /// How long to send jobs.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Keep the folder with data, settings and logs.
    #[arg(long)]
    pub keep: bool,
    /// Write the history here, one JSON line for each event.
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
    /// Seed of the jobs and their times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Runs the demonstration.
pub fn run(arguments: DemoArguments) -> Exit {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime.block_on(until_interrupted(arguments)),
        Err(error) => Err(LabError::file("runtime")(error)),
    };
    ended.unwrap_or_else(|error| {
        eprintln!("{error}");
        Exit::Unavailable
    })
}

/// Dropping the demonstration ends every child.
async fn until_interrupted(arguments: DemoArguments) -> Result<Exit, LabError> {
    let listen = |kind| signal(kind).map_err(LabError::file("signals"));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        ended = demonstrate(arguments) => ended,
        _ = interrupt.recv() => Ok(interrupted()),
        _ = terminate.recv() => Ok(interrupted()),
    }
}

fn interrupted() -> Exit {
    eprintln!("interrupted; the fleet is ended");
    Exit::Unavailable
}

async fn demonstrate(arguments: DemoArguments) -> Result<Exit, LabError> {
    let folder = TrialFolder::create(arguments.keep)?;
    let mut fleet = Fleet::build(&FleetPlan::TODAY, Program::current()?, folder.path())?;
    let history = History::default();
    println!("fleet in {}", folder.path().display());

    fleet.start_all()?;
    fleet.wait_all_ready(START_TIME).await?;
    println!("17 daemons are ready after {}", history.now());
    trial::put_configuration(&fleet, &history, example_configuration()).await?;
    let runners = Runners::start(runner_plans(&fleet, arguments.seed), &history).await?;
    trial::wait_for_runners(&fleet, runners.count(), START_TIME).await?;
    println!(
        "{} runners are known after {}",
        runners.count(),
        history.now()
    );

    let callers = Callers::start(
        caller_plans(arguments.seed),
        &fleet.gateway_urls(),
        &history,
    )?;
    let killed_at = send_for(&arguments, &mut fleet, &callers, &history).await?;
    callers.stop_sending();
    wait_for_jobs(&callers, &history).await?;
    history.record(OBSERVER, Event::Finished);
    drop(callers);
    runners.stop().await;

    conclude(&arguments, &history, killed_at)
}

fn conclude(
    arguments: &DemoArguments,
    history: &History,
    killed_at: Option<Milliseconds>,
) -> Result<Exit, LabError> {
    if let Some(path) = &arguments.history {
        history.write(path)?;
        println!("history in {}", path.display());
    }
    let observations = history.observations();
    let report = checker::check(&observations, &Limits::default());
    let summary = summarise(&observations, &report, killed_at);
    println!("\n{}", summary.render());
    for violation in report.violations.iter().take(20) {
        println!(
            "broken at {}: {:?}: {}",
            violation.at, violation.kind, violation.detail
        );
    }
    Ok(match report.violations.is_empty() {
        true => Exit::Done,
        false => Exit::PromiseBroken,
    })
}

/// Each runner stands beside its agent; the first pool has the first five.
fn runner_plans(fleet: &Fleet, seed: u64) -> Vec<RunnerPlan> {
    let agents = fleet.of_role(types::Role::Agent);
    let templates = [Mix::Stills, Mix::Documents]
        .into_iter()
        .flat_map(standin::workload::pool_runners);
    agents
        .zip(templates)
        .map(|(agent, template)| RunnerPlan::beside(agent, template, seed))
        .collect()
}

fn caller_plans(seed: u64) -> Vec<CallerPlan> {
    let plan = |name: &str, mix, offset| CallerPlan {
        name: name.to_owned(),
        mix,
        load: 1.0,
        seed: seed.wrapping_mul(2).wrapping_add(offset),
    };
    vec![
        plan("stills", Mix::Stills, 0),
        plan("documents", Mix::Documents, 1),
    ]
}

/// What happens to the leader while jobs are sent.
enum Plan {
    Kill { at: Duration },
    Restart { leader: MemberId, at: Duration },
    Nothing,
}

/// Lets the callers send, kills the leader at a third of the time and brings
/// it back. Gives the time of the kill.
async fn send_for(
    arguments: &DemoArguments,
    fleet: &mut Fleet,
    callers: &Callers,
    history: &History,
) -> Result<Option<Milliseconds>, LabError> {
    let length = Duration::from_secs(arguments.seconds);
    let started = Instant::now();
    let mut plan = Plan::Kill { at: length / 3 };
    let mut killed_at = None;
    while started.elapsed() < length {
        tokio::time::sleep(PROGRESS_INTERVAL).await;
        print_progress(callers, history);
        plan = match plan {
            Plan::Kill { at } if started.elapsed() >= at => {
                match kill_leader(fleet, history).await? {
                    Some(leader) => {
                        killed_at = Some(history.now());
                        let at = started.elapsed() + RESTART_AFTER;
                        Plan::Restart { leader, at }
                    }
                    None => Plan::Kill { at },
                }
            }
            Plan::Restart { leader, at } if started.elapsed() >= at => {
                fleet.start(leader)?;
                println!("{leader} starts again");
                Plan::Nothing
            }
            plan => plan,
        };
    }
    if let Plan::Restart { leader, .. } = plan {
        fleet.start(leader)?;
    }
    Ok(killed_at)
}

async fn kill_leader(fleet: &mut Fleet, history: &History) -> Result<Option<MemberId>, LabError> {
    let Some(leader) = fleet.leader().await? else {
        return Ok(None);
    };
    let what = format!("killed {leader}, which leads");
    println!("{what}");
    fleet.kill(leader)?;
    history.record(OBSERVER, Event::Fault { what });
    // A majority lives on, so service must come back without the dead one.
    history.record(OBSERVER, Event::Healed);
    Ok(Some(leader))
}

fn print_progress(callers: &Callers, history: &History) {
    let progress = callers.progress();
    println!(
        "{:>4} s  {:>6} submitted  {:>6} acknowledged  {:>6} ended  {:>5} unfinished",
        history.now().0 / 1_000,
        progress.submitted.load(Ordering::Relaxed),
        progress.acknowledged.load(Ordering::Relaxed),
        progress.ended.load(Ordering::Relaxed),
        progress.unfinished(),
    );
}

/// Waits until every job is over; a job that is not shows in the report.
async fn wait_for_jobs(callers: &Callers, history: &History) -> Result<(), LabError> {
    let started = Instant::now();
    let mut next_line = PROGRESS_INTERVAL;
    while callers.progress().unfinished() > 0 {
        if started.elapsed() > END_TIME {
            eprintln!("{}", timed_out("all jobs to end", END_TIME));
            return Ok(());
        }
        if started.elapsed() > next_line {
            print_progress(callers, history);
            next_line += PROGRESS_INTERVAL;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}
