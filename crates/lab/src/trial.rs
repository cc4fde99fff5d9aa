//! Trial: a fleet with its runners under both job mixes, and one history of all that
//! happens, which the checker verifies at the end.

use crate::callers::{CallerPlan, Callers};
use crate::fleet::timed_out;
use crate::process::Program;
use crate::report::summarise;
use crate::runners::{RunnerPlan, Runners};
use crate::setup::{TrialFolder, put_configuration, wait_for_runners};
use crate::{Fleet, FleetPlan, History, LabError, MemberId};
use checker::{Event, Limits, Violation};
use clap::Args;
use cypressdrum::Exit;
use emulator::workload::{Mix, RunnerTemplate, example_configuration, pool_runners};
use std::future::Future;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::signal::unix::{SignalKind, signal};
use types::{Milliseconds, Role};

/// Timeout until daemons are ready or runners are registered.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout until all jobs have ended, from the last submit.
const END_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Name of the lab as an observer in the history.
const OBSERVER: &str = "lab";
/// Maximum number of violations printed; the written history has the events of all.
const MAX_PRINTED_VIOLATIONS: usize = 20;

/// Flags of every trial.
#[derive(Debug, Clone, Args)]
pub struct TrialArguments {
    /// Keep the folder with data, settings and logs.
    #[arg(long)]
    pub keep: bool,
    /// Write the history here, one JSON line for each event.
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
    /// Seed of the jobs and their times.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Times the ordinary load.
    #[arg(long, default_value_t = 1.0)]
    pub load: f64,
}

/// Daemons and runners of a trial.
#[derive(Debug, Clone)]
pub struct TrialPlan {
    /// Number of daemons of each role.
    pub fleet: FleetPlan,
    /// Program that the daemons start with.
    pub program: Program,
    /// Pool, rack, labels and capacity of the runners, one for each agent in order.
    pub runners: Vec<RunnerTemplate>,
}

impl TrialPlan {
    /// Returns a plan of today's size. The first agents have the runners of the
    /// first pool.
    pub fn today(program: Program) -> Self {
        let pools = [Mix::Media, Mix::Documents].into_iter();
        Self {
            fleet: FleetPlan::TODAY,
            program,
            runners: pools.flat_map(pool_runners).collect(),
        }
    }
}

/// Fleet under load. Dropping it kills every child process.
pub struct Trial {
    /// Daemons of the fleet.
    pub fleet: Fleet,
    arguments: TrialArguments,
    history: History,
    runners: Runners,
    callers: Callers,
    killed_at: Option<Milliseconds>,
    _folder: TrialFolder,
}

impl Trial {
    /// Starts a fleet of today's size from the lab's executable, and its load.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be started and set up in time.
    pub async fn start(arguments: TrialArguments) -> Result<Self, LabError> {
        let plan = TrialPlan::today(Program::current()?);
        Self::start_plan(plan, arguments).await
    }

    /// Starts the plan's daemons, runners and load.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be started and set up in time.
    pub async fn start_plan(plan: TrialPlan, arguments: TrialArguments) -> Result<Self, LabError> {
        let folder = TrialFolder::create(arguments.keep)?;
        let mut fleet = Fleet::build(&plan.fleet, plan.program, folder.path())?;
        let history = History::default();
        println!("fleet in {}", folder.path().display());

        fleet.start_all()?;
        fleet.wait_all_ready(READY_TIMEOUT).await?;
        let daemons = fleet.members().len();
        println!("{daemons} daemons are ready after {}", history.now());
        put_configuration(&fleet, &history, example_configuration()).await?;
        let runner_plans = runner_plans(&fleet, plan.runners, arguments.seed);
        let runners = Runners::start(runner_plans, &history).await?;
        wait_for_runners(&fleet, runners.count(), READY_TIMEOUT).await?;
        println!(
            "{} runners are known after {}",
            runners.count(),
            history.now()
        );
        let callers = Callers::start(caller_plans(&arguments), &fleet.gateway_urls(), &history)?;
        Ok(Self {
            fleet,
            arguments,
            history,
            runners,
            callers,
            killed_at: None,
            _folder: folder,
        })
    }

    /// Waits under load for this time, with a progress line each second.
    pub async fn work_for(&self, length: Duration) {
        let started = Instant::now();
        loop {
            let left = length.saturating_sub(started.elapsed());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(PROGRESS_INTERVAL)).await;
            self.print_progress();
        }
    }

    /// Records a fault that may interrupt service until [`Trial::record_healed`].
    pub fn record_fault(&self, what: String) {
        println!("{what}");
        self.history.record(OBSERVER, Event::Fault { what });
    }

    /// Records that no fault may interrupt service any longer.
    pub fn record_healed(&self) {
        self.history.record(OBSERVER, Event::Healed);
    }

    /// Records a fault that a fleet of this size must tolerate: the checker requires
    /// service to resume while the fault lasts.
    pub fn record_tolerated_fault(&self, what: String) {
        self.record_fault(what);
        self.record_healed();
    }

    /// Kills the leader and returns its id.
    ///
    /// # Errors
    ///
    /// Fails if there is no leader in time or it cannot be killed.
    pub async fn kill_leader(&mut self) -> Result<MemberId, LabError> {
        let leader = self.fleet.wait_leader(READY_TIMEOUT).await?;
        self.fleet.kill(leader)?;
        self.killed_at = Some(self.history.now());
        self.record_tolerated_fault(format!("killed {leader}, which leads"));
        Ok(leader)
    }

    /// Stops submitting jobs, waits until all have ended, and checks the history.
    ///
    /// # Errors
    ///
    /// Fails if the jobs do not end in time or the history cannot be written.
    pub async fn finish(self) -> Result<Exit, LabError> {
        self.callers.stop_sending();
        self.wait_for_jobs().await;
        self.history.record(OBSERVER, Event::Finished);
        let Self {
            arguments,
            history,
            runners,
            callers,
            killed_at,
            ..
        } = self;
        drop(callers);
        runners.stop().await;
        if let Some(path) = &arguments.history {
            history.write(path)?;
            println!("history in {}", path.display());
        }
        Ok(check_and_print(&history, killed_at))
    }

    /// Waits until every job has ended or the timeout is over. The checker reports
    /// jobs that did not end.
    async fn wait_for_jobs(&self) {
        let started = Instant::now();
        while self.callers.progress().unfinished() > 0 {
            if started.elapsed() > END_TIMEOUT {
                eprintln!("{}", timed_out("all jobs to end", END_TIMEOUT));
                return;
            }
            self.work_for(Duration::from_millis(500)).await;
        }
    }

    fn print_progress(&self) {
        let progress = self.callers.progress();
        println!(
            "{:>6} ms  {:>6} submitted  {:>6} acknowledged  {:>6} ended  {:>5} unfinished",
            self.history.now().0,
            progress.submitted.load(Ordering::Relaxed),
            progress.acknowledged.load(Ordering::Relaxed),
            progress.ended.load(Ordering::Relaxed),
            progress.unfinished(),
        );
    }
}

fn check_and_print(history: &History, killed_at: Option<Milliseconds>) -> Exit {
    let observations = history.observations();
    let report = checker::check(&observations, &Limits::default());
    let summary = summarise(&observations, &report, killed_at);
    println!("\n{}", summary.render());
    let printed = report.violations.iter().take(MAX_PRINTED_VIOLATIONS);
    printed.for_each(print_violation);
    if report.violations.is_empty() {
        Exit::Done
    } else {
        Exit::PromiseBroken
    }
}

fn print_violation(violation: &Violation) {
    let Violation { kind, at, detail } = violation;
    println!("broken at {at}: {kind:?}: {detail}");
}

/// Returns one runner for each agent, on the agent's address.
fn runner_plans(fleet: &Fleet, templates: Vec<RunnerTemplate>, seed: u64) -> Vec<RunnerPlan> {
    fleet
        .of_role(Role::Agent)
        .zip(templates)
        .map(|(agent, template)| RunnerPlan::for_agent(agent, template, seed))
        .collect()
}

fn caller_plans(arguments: &TrialArguments) -> Vec<CallerPlan> {
    let plan = |name: &str, mix, offset| CallerPlan {
        name: name.to_owned(),
        mix,
        load: arguments.load,
        seed: arguments.seed.wrapping_mul(2).wrapping_add(offset),
    };
    vec![
        plan("stills", Mix::Media, 0),
        plan("documents", Mix::Documents, 1),
    ]
}

/// Runs a trial until it ends or the lab receives SIGINT or SIGTERM. In each case
/// every child process is killed.
pub fn run(trial: impl Future<Output = Result<Exit, LabError>>) -> Exit {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(until_interrupted(trial)),
        Err(error) => Err(LabError::file("runtime")(error)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        Exit::Unavailable
    })
}

async fn until_interrupted(
    trial: impl Future<Output = Result<Exit, LabError>>,
) -> Result<Exit, LabError> {
    let listen = |kind| signal(kind).map_err(LabError::file("signals"));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        result = trial => result,
        _ = interrupt.recv() => Ok(interrupted()),
        _ = terminate.recv() => Ok(interrupted()),
    }
}

fn interrupted() -> Exit {
    eprintln!("interrupted; the fleet is ended");
    Exit::Unavailable
}
