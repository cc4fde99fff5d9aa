//! `simulate`: runs whole fleets in one process, under faults drawn from seeds or
//! read from a plan.

mod report;

use crate::LabError;
use checker::write_history;
use clap::{Args, ValueEnum};
use cypressdrum::Exit;
use report::{CampaignReport, FailedSeed};
use simulation::{
    Campaign, FleetSize, Mutation, Plan, PlannerOptions, SeedResult, Summary, plan_from_seed,
    run_campaign, run_plan, shrink,
};
use std::fs::File;
use std::io::BufWriter;
use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Maximum number of threads by default.
const MAX_DEFAULT_THREADS: usize = 4;
/// Default load, in percent of today's.
const DEFAULT_LOAD_PERCENT: u32 = 40;
/// Number of seeds between two progress lines.
const PROGRESS_SEEDS: u64 = 100;
/// Maximum number of simulations to shrink one plan.
const MAX_SHRINK_RUNS: usize = 60;
/// Maximum number of failing seeds whose plans are shrunk.
const MAX_SHRINK_SEEDS: usize = 5;

/// Arguments of `lab simulate`.
#[derive(Debug, Clone, Args)]
pub struct SimulateArguments {
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 100, conflicts_with = "plan")]
    pub seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1, conflicts_with = "plan")]
    pub first_seed: u64,
    /// Run this plan instead of random ones.
    #[arg(long, value_name = "FILE")]
    pub plan: Option<PathBuf>,
    /// Threads to run seeds on; the number of cores, four at most, unless
    /// given.
    #[arg(long)]
    pub threads: Option<NonZeroUsize>,
    /// Turn one mechanism off, to see that its absence is noticed.
    #[arg(long, value_name = "NAME")]
    pub mutation: Option<Mutation>,
    /// Load in percent of today's.
    #[arg(long, default_value_t = DEFAULT_LOAD_PERCENT, conflicts_with = "plan")]
    pub load_percent: u32,
    /// Write the history of the plan, or of the first seed, here.
    #[arg(long, value_name = "FILE")]
    pub history: Option<PathBuf>,
    /// Cut failing plans down to the faults that matter.
    #[arg(long)]
    pub shrink: bool,
    /// How to print the result.
    #[arg(long, value_enum, default_value_t = OutputFormat::Text)]
    pub output: OutputFormat,
}

/// How to print the result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum OutputFormat {
    /// For people.
    Text,
    /// One JSON document.
    Json,
}

/// Runs the seeds or the plan and prints the report.
pub fn run(arguments: SimulateArguments) -> Exit {
    simulate(&arguments).unwrap_or_else(|error| {
        eprintln!("{error}");
        Exit::Usage
    })
}

fn simulate(arguments: &SimulateArguments) -> Result<Exit, LabError> {
    let summary = match &arguments.plan {
        Some(path) => run_file(path, arguments)?,
        None => run_seeds(arguments),
    };
    if let Some(path) = &arguments.history {
        save_history(path, arguments)?;
    }
    let failed = summary.failed.iter().enumerate();
    let failed = failed
        .map(|(position, result)| describe(position, result, arguments))
        .collect();
    let report = CampaignReport::new(&summary, failed);
    match arguments.output {
        OutputFormat::Text => print!("{}", report.render()),
        OutputFormat::Json => println!("{}", report.to_json()?),
    }
    if summary.failed.is_empty() {
        Ok(Exit::Done)
    } else {
        Ok(Exit::PromiseBroken)
    }
}

fn run_file(path: &Path, arguments: &SimulateArguments) -> Result<Summary, LabError> {
    let plan = read_plan(path, arguments)?;
    let mut summary = Summary::default();
    summary.add(run_plan(&plan));
    Ok(summary)
}

fn read_plan(path: &Path, arguments: &SimulateArguments) -> Result<Plan, LabError> {
    let text = std::fs::read_to_string(path).map_err(LabError::file(path))?;
    let mut plan = Plan::parse(&text)?;
    plan.mutation = arguments.mutation.or(plan.mutation);
    Ok(plan)
}

fn run_seeds(arguments: &SimulateArguments) -> Summary {
    let campaign = Campaign {
        first_seed: arguments.first_seed,
        seeds: arguments.seeds,
        threads: threads(arguments),
        planner: planner(arguments),
        mutation: arguments.mutation,
    };
    let started = Instant::now();
    let finished = AtomicU64::new(0);
    let failing = AtomicU64::new(0);
    run_campaign(&campaign, |result| {
        if let Some(found) = result.report.violations.first() {
            eprintln!("seed {}: {:?}", result.plan.seed, found.kind);
        }
        let failing = failing.fetch_add(u64::from(!result.is_good()), Ordering::Relaxed);
        let finished = finished.fetch_add(1, Ordering::Relaxed) + 1;
        if finished.is_multiple_of(PROGRESS_SEEDS) {
            let failing = failing + u64::from(!result.is_good());
            let seconds = started.elapsed().as_secs();
            eprintln!(
                "{finished} of {} seeds, {failing} bad, {seconds} s",
                campaign.seeds
            );
        }
    })
}

fn threads(arguments: &SimulateArguments) -> usize {
    let cores = || std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    arguments
        .threads
        .map_or_else(|| cores().min(MAX_DEFAULT_THREADS), NonZeroUsize::get)
}

fn planner(arguments: &SimulateArguments) -> PlannerOptions {
    PlannerOptions {
        fleet: FleetSize {
            load_percent: arguments.load_percent,
            ..FleetSize::default()
        },
        ..PlannerOptions::default()
    }
}

/// Writes the history of the plan, or of the first seed. Simulations are
/// deterministic, so it runs the plan a second time.
fn save_history(path: &Path, arguments: &SimulateArguments) -> Result<(), LabError> {
    let plan = match &arguments.plan {
        Some(plan) => read_plan(plan, arguments)?,
        None => {
            let mut plan = plan_from_seed(arguments.first_seed, &planner(arguments));
            plan.mutation = arguments.mutation;
            plan
        }
    };
    let outcome = simulation::run(&plan)?;
    let file = File::create(path).map_err(LabError::file(path))?;
    Ok(write_history(BufWriter::new(file), &outcome.history)?)
}

fn describe(position: usize, result: &SeedResult, arguments: &SimulateArguments) -> FailedSeed {
    let smallest = (arguments.shrink && position < MAX_SHRINK_SEEDS).then(|| minimize(result));
    FailedSeed::new(result, repeat_command(result, arguments), smallest)
}

/// Shrinks the plan of a failing seed to one that still has a violation of the same
/// kind, or still has an error.
fn minimize(result: &SeedResult) -> Plan {
    let kind = result.report.violations.first().map(|found| found.kind);
    shrink(&result.plan, MAX_SHRINK_RUNS, |plan| {
        let repeated = run_plan(plan);
        match kind {
            Some(kind) => repeated.breaks(kind),
            None => repeated.error.is_some(),
        }
    })
}

/// Returns the command that repeats a failing simulation.
fn repeat_command(result: &SeedResult, arguments: &SimulateArguments) -> String {
    let mut command = "cargo run --release -p lab -- simulate".to_owned();
    match &arguments.plan {
        Some(plan) => command.push_str(&format!(" --plan {}", plan.display())),
        None => {
            let seed = result.plan.seed;
            let percent = arguments.load_percent;
            command.push_str(&format!(
                " --seeds 1 --first-seed {seed} --load-percent {percent}"
            ));
        }
    }
    if let Some(mutation) = arguments.mutation {
        command.push_str(&format!(" --mutation {mutation}"));
    }
    command
}
