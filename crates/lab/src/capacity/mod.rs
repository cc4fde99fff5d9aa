//! `capacity`: measures the resource usage of fleets of several sizes.
//!
//! Coordinators and gateways are real daemons that sync to disk. Workers are hollow:
//! agents and emulated runners with their own connections, all in the lab process.
//! docs/CAPACITY.md has the measured slopes.

pub mod figures;
pub mod hollow;
pub mod load;
pub mod observed;
pub mod plan;
pub mod report;
pub mod traffic;
pub mod trial;
pub mod usage;

use crate::LabError;
use clap::Args;
use cypressdrum::Exit;
use plan::Size;
use report::{Measurements, render_slopes};
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Number of threads for hollow workers and callers; the daemons need the other
/// cores.
const THREADS: usize = 4;
/// Pause between two trials, in which sockets are closed.
const BETWEEN_TRIALS: Duration = Duration::from_secs(1);

/// Sizes and loads to measure; lists are tried in all combinations.
#[derive(Debug, Clone, Args)]
pub struct CapacityArguments {
    /// Hollow workers.
    #[arg(long, value_delimiter = ',', default_value = "100")]
    pub workers: Vec<usize>,
    /// Tenants.
    #[arg(long, value_delimiter = ',', default_value = "6")]
    pub tenants: Vec<usize>,
    /// Task starts a second that are offered.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    pub starts_per_second: Vec<u64>,
    /// Tasks that run at once; 0 lets tasks be short. Without starts, as many
    /// long tasks are sent once.
    #[arg(long, value_delimiter = ',', default_value = "0")]
    pub running: Vec<u64>,
    /// Tasks in an ordinary job.
    #[arg(long, default_value_t = 50)]
    pub tasks_per_job: u32,
    /// Urgent jobs a second, of one task each.
    #[arg(long, default_value_t = 1)]
    pub urgent_per_second: u64,
    /// Configurations a minute; 4 are 5,760 a day.
    #[arg(long, default_value_t = 4)]
    pub configurations_per_minute: u64,
    /// Real agents, each with a stand-in runner over HTTP.
    #[arg(long, default_value_t = 1)]
    pub real_agents: u8,
    /// Length of the window.
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Load before the window.
    #[arg(long, default_value_t = 8)]
    pub warm_up: u64,
    /// Kill the leader after the window and time the next first start.
    #[arg(long)]
    pub kill_leader: bool,
    /// Keep the folders with data, settings and logs.
    #[arg(long)]
    pub keep: bool,
    /// Write all that was measured here, as JSON.
    #[arg(long, value_name = "FILE")]
    pub output: Option<PathBuf>,
}

impl CapacityArguments {
    /// Returns all combinations of the listed sizes and loads.
    pub fn sizes(&self) -> Vec<Size> {
        let mut sizes = Vec::new();
        for &workers in &self.workers {
            for &tenants in &self.tenants {
                for &starts_per_second in &self.starts_per_second {
                    for &running in &self.running {
                        sizes.push(Size {
                            workers,
                            tenants,
                            starts_per_second,
                            running,
                            tasks_per_job: self.tasks_per_job.max(1),
                            urgent_per_second: self.urgent_per_second,
                            configurations_per_minute: self.configurations_per_minute,
                        });
                    }
                }
            }
        }
        sizes
    }
}

/// Runs a trial for each size and prints the results.
pub fn run(arguments: CapacityArguments) -> Exit {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(until_interrupted(&arguments)),
        Err(error) => Err(LabError::file("runtime")(error)),
    };
    result.unwrap_or_else(|error| {
        eprintln!("{error}");
        Exit::Unavailable
    })
}

/// Runs the trials until they end or the lab receives SIGINT or SIGTERM. Dropping
/// the current trial kills every child process.
async fn until_interrupted(arguments: &CapacityArguments) -> Result<Exit, LabError> {
    let listen = |kind| signal(kind).map_err(LabError::file("signals"));
    let mut interrupt = listen(SignalKind::interrupt())?;
    let mut terminate = listen(SignalKind::terminate())?;
    tokio::select! {
        result = measure(arguments) => result,
        _ = interrupt.recv() => Ok(interrupted()),
        _ = terminate.recv() => Ok(interrupted()),
    }
}

fn interrupted() -> Exit {
    eprintln!("interrupted; the fleet is ended");
    Exit::Unavailable
}

async fn measure(arguments: &CapacityArguments) -> Result<Exit, LabError> {
    let mut trials = Vec::new();
    let mut exit = Exit::Done;
    for size in arguments.sizes() {
        // A failure at one size is a result too; the other sizes are still measured.
        match trial::run(size.clone(), arguments).await {
            Ok(measured) => {
                println!("{}", measured.render());
                trials.push(measured);
            }
            Err(error) => {
                println!("failed at {size:?}: {error}");
                exit = Exit::Unavailable;
            }
        }
        write_output(arguments, &trials)?;
        tokio::time::sleep(BETWEEN_TRIALS).await;
    }
    print_slopes(&trials);
    Ok(exit)
}

fn print_slopes(trials: &[Measurements]) {
    for (name, dimension) in [
        ("workers", (|size| size.workers as f64) as fn(&Size) -> f64),
        ("tenants", |size| size.tenants as f64),
        ("offered starts/s", |size| size.starts_per_second as f64),
        ("running tasks", |size| size.running as f64),
    ] {
        let slopes = render_slopes(trials, dimension, name);
        if !slopes.is_empty() {
            println!("{slopes}");
        }
    }
}

fn write_output(arguments: &CapacityArguments, trials: &[Measurements]) -> Result<(), LabError> {
    let Some(path) = &arguments.output else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(trials).map_err(std::io::Error::other);
    let written = text.and_then(|text| std::fs::write(path, text));
    written.map_err(LabError::file(path))
}
