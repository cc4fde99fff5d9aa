//! `losses`: simulates a fleet under several seeds and policies, and attributes the
//! delays of its jobs to causes by the scheduler's decision stream.

pub mod account;
pub mod table;

use crate::LabError;
use account::account;
use clap::Args;
use cypressdrum::Exit;
use scheduler::Policy;
use simulation::{FleetSize, Plan};
use std::path::{Path, PathBuf};
use table::{Losses, SeedLosses, render};

/// Default number of seeds.
const DEFAULT_SEEDS: u64 = 5;
/// Keys of a settings file's policy section that are no part of [`Policy`].
const TRANSFER_WHEN_DEGRADED: &str = "gives_way";
const MOVE_SLOW: &str = "move_slow";

/// Arguments of `lab losses`.
#[derive(Debug, Clone, Args)]
pub struct LossesArguments {
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = DEFAULT_SEEDS)]
    pub seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// The day, with its faults; a calm one unless given. Its seed is not used.
    #[arg(long, value_name = "FILE")]
    pub plan: Option<PathBuf>,
    /// Load in percent of today's, for a calm day.
    #[arg(long, default_value_t = 100, conflicts_with = "plan")]
    pub load_percent: u32,
    /// A settings file whose policy section decides; may be given several times.
    /// The policy that ships unless given.
    #[arg(long, value_name = "FILE")]
    pub policy: Vec<PathBuf>,
    /// Print one JSON document in place of tables.
    #[arg(long)]
    pub json: bool,
}

/// Policy with the name under which its losses are printed.
#[derive(Debug, Clone)]
struct NamedPolicy {
    name: String,
    placement: Policy,
    transfer_when_degraded: bool,
}

/// Simulates the seeds under each policy and prints the losses.
pub fn run(arguments: LossesArguments) -> Exit {
    match losses(&arguments) {
        Ok(all) => {
            let text = if arguments.json {
                cypressdrum::output::json_line(&all)
            } else {
                render(&all)
            };
            print!("{text}");
            Exit::Done
        }
        Err(error) => {
            eprintln!("{error}");
            Exit::Usage
        }
    }
}

/// Returns the lost credit under each policy and seed. Equal arguments give equal
/// sums.
///
/// # Errors
///
/// Fails if a settings file or a plan cannot be read.
pub fn losses(arguments: &LossesArguments) -> Result<Vec<Losses>, LabError> {
    let day = read_day(arguments)?;
    let policies = read_policies(&arguments.policy)?;
    let mut all = Vec::new();
    for policy in policies {
        let mut seeds = Vec::new();
        for seed in arguments.first_seed..arguments.first_seed.saturating_add(arguments.seeds) {
            let mut plan = day.clone();
            plan.seed = seed;
            plan.policy = policy.placement;
            plan.transfer_when_degraded = policy.transfer_when_degraded;
            let outcome = simulation::run(&plan)?;
            seeds.push(SeedLosses::new(seed, &account(&outcome)));
        }
        let policy = policy.name;
        all.push(Losses { policy, seeds });
    }
    Ok(all)
}

fn read_day(arguments: &LossesArguments) -> Result<Plan, LabError> {
    let Some(path) = &arguments.plan else {
        let mut day = Plan::calm(arguments.first_seed);
        day.fleet = FleetSize {
            load_percent: arguments.load_percent,
            ..FleetSize::default()
        };
        return Ok(day);
    };
    let text = std::fs::read_to_string(path).map_err(LabError::file(path))?;
    Ok(Plan::parse(&text)?)
}

fn read_policies(paths: &[PathBuf]) -> Result<Vec<NamedPolicy>, LabError> {
    if paths.is_empty() {
        return Ok(vec![NamedPolicy {
            name: "shipped".to_owned(),
            placement: Policy::default(),
            transfer_when_degraded: true,
        }]);
    }
    paths.iter().map(|path| read_policy(path)).collect()
}

/// Reads the `policy` section of a settings file. Keys that it omits keep their
/// defaults.
fn read_policy(path: &Path) -> Result<NamedPolicy, LabError> {
    let text = std::fs::read_to_string(path).map_err(LabError::file(path))?;
    let invalid = |message: toml::de::Error| LabError::Policy {
        path: path.to_owned(),
        message: message.to_string(),
    };
    let mut file: toml::Table = toml::from_str(&text).map_err(invalid)?;
    let section = file.remove("policy");
    let mut section = match section {
        Some(toml::Value::Table(section)) => section,
        _ => toml::Table::new(),
    };
    section.remove(MOVE_SLOW);
    let transfer_when_degraded = section.remove(TRANSFER_WHEN_DEGRADED);
    Ok(NamedPolicy {
        name: path.display().to_string(),
        transfer_when_degraded: transfer_when_degraded
            .and_then(|on| on.as_bool())
            .unwrap_or(true),
        placement: section.try_into().map_err(invalid)?,
    })
}
