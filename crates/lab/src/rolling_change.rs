//! `rolling-change`: a fleet under load goes from one program to another and back,
//! one daemon after the other, as operators roll out a version.
//!
//! For a while both programs serve in one fleet: they must read each other's
//! messages, and each must read the data folders that the other wrote.

use crate::process::Program;
use crate::trial::{self, READY_TIME, Trial, TrialArguments, TrialPlan};
use crate::{LabError, MemberId};
use clap::Args;
use cypressdrum::Exit;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use types::Role;

/// How long the fleet works before and between the steps, unless given.
const DEFAULT_MIXED_SECONDS: u64 = 5;
/// How long the fleet works after each direction, unless given: longer than the
/// time in which the checker wants service back.
const DEFAULT_AFTER_SECONDS: u64 = 15;
/// Between two daemons of a role that is replaced as one step.
const BETWEEN_DAEMONS: Duration = Duration::from_millis(500);

/// Which programs to change between.
#[derive(Debug, Clone, Args)]
pub struct RollingChangeArguments {
    /// The built `cypressdrum` program that the fleet starts and ends with; the
    /// one inside the lab unless given.
    #[arg(long, value_name = "PATH")]
    pub from: Option<PathBuf>,
    /// The built `cypressdrum` program that replaces it for a while; the one
    /// inside the lab unless given.
    #[arg(long, value_name = "PATH")]
    pub to: Option<PathBuf>,
    /// How fast.
    #[command(flatten)]
    pub pace: Pace,
    /// What every trial has.
    #[command(flatten)]
    pub trial: TrialArguments,
}

/// How long the fleet works between the steps of a change.
#[derive(Debug, Clone, Copy, Args)]
pub struct Pace {
    /// Work before the first change, and of the mixed fleet after each coordinator
    /// and after the last gateway, in seconds.
    #[arg(long, default_value_t = DEFAULT_MIXED_SECONDS)]
    pub mixed_seconds: u64,
    /// Work after each direction, in seconds; above 12 the checker judges whether
    /// service came back.
    #[arg(long, default_value_t = DEFAULT_AFTER_SECONDS)]
    pub after_seconds: u64,
}

impl Pace {
    fn mixed(&self) -> Duration {
        Duration::from_secs(self.mixed_seconds)
    }

    fn after(&self) -> Duration {
        Duration::from_secs(self.after_seconds)
    }
}

/// The two programs of a change.
#[derive(Debug)]
struct Programs {
    from: Program,
    to: Program,
}

impl Programs {
    fn find(arguments: &RollingChangeArguments) -> Result<Self, LabError> {
        Ok(Self {
            from: program(arguments.from.as_deref())?,
            to: program(arguments.to.as_deref())?,
        })
    }
}

fn program(path: Option<&Path>) -> Result<Program, LabError> {
    match path {
        Some(path) => Program::cypressdrum(path),
        None => Program::current(),
    }
}

/// Changes the programs of a fleet there and back.
pub fn run(arguments: RollingChangeArguments) -> Exit {
    match Programs::find(&arguments) {
        Ok(programs) => trial::run(there_and_back(programs, arguments)),
        Err(error) => {
            eprintln!("{error}");
            Exit::Usage
        }
    }
}

async fn there_and_back(
    programs: Programs,
    arguments: RollingChangeArguments,
) -> Result<Exit, LabError> {
    let Programs { from, to } = programs;
    let pace = arguments.pace;
    let plan = TrialPlan::today(from.clone());
    let mut trial = Trial::start_plan(plan, arguments.trial).await?;
    trial.work_for(pace.mixed()).await;
    change_all(&mut trial, &to, pace).await?;
    change_all(&mut trial, &from, pace).await?;
    trial.finish().await
}

/// Replaces every daemon of the fleet by the same one of another program:
/// coordinators, then gateways, then agents.
///
/// # Errors
///
/// Fails if a daemon cannot be replaced in time.
pub async fn change_all(trial: &mut Trial, to: &Program, pace: Pace) -> Result<(), LabError> {
    let started = Instant::now();
    println!("all daemons change to {}", to.path.display());
    for id in leader_last(trial).await? {
        change(trial, id, to).await?;
        trial.work_for(pace.mixed()).await;
    }
    change_role(trial, Role::Gateway, to).await?;
    trial.work_for(pace.mixed()).await;
    change_role(trial, Role::Agent, to).await?;
    trial.work_for(pace.after()).await;
    let daemons = trial.fleet.members().len();
    let seconds = started.elapsed().as_secs();
    println!("{daemons} daemons changed, {seconds} s");
    Ok(())
}

async fn change_role(trial: &mut Trial, role: Role, to: &Program) -> Result<(), LabError> {
    for id in trial.fleet.ids_of_role(role) {
        change(trial, id, to).await?;
        trial.work_for(BETWEEN_DAEMONS).await;
    }
    Ok(())
}

/// The order for operators: followers first, so that leadership moves once, and the
/// leader of one program has followers of the other for as long as can be.
async fn leader_last(trial: &Trial) -> Result<Vec<MemberId>, LabError> {
    let leader = trial.fleet.wait_leader(READY_TIME).await?;
    let mut coordinators = trial.fleet.ids_of_role(Role::Coordinator);
    coordinators.sort_by_key(|id| *id == leader);
    Ok(coordinators)
}

/// Ends one daemon politely, starts it with the other program on the same settings
/// and data folder, and waits until it is ready and the leader has seen it again.
async fn change(trial: &mut Trial, id: MemberId, to: &Program) -> Result<(), LabError> {
    trial.fleet.terminate(id, READY_TIME).await?;
    trial.record_tolerated_fault(format!("{id} ended, to be replaced"));
    let started = Instant::now();
    trial.fleet.start_with(id, to)?;
    trial.fleet.wait_ready(id, READY_TIME).await?;
    trial.fleet.wait_seen(id, started, READY_TIME).await?;
    println!("{id} is back after {} ms", started.elapsed().as_millis());
    Ok(())
}
