//! `rolling-change`: changes a fleet under load from one program to another and
//! back, daemon by daemon, as operators roll out a version.
//!
//! During the change the fleet runs both programs. Each must read the messages and
//! the data folders that the other has written.

use crate::process::Program;
use crate::trial::{self, READY_TIMEOUT, Trial, TrialArguments, TrialPlan};
use crate::{LabError, MemberId};
use clap::Args;
use cypressdrum::Exit;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use types::Role;

/// Default time before the first step and between two steps, in seconds.
const DEFAULT_MIXED_SECONDS: u64 = 5;
/// Default time after each direction, in seconds. Longer than the time within
/// which the checker requires service after a fault.
const DEFAULT_AFTER_SECONDS: u64 = 15;
/// Pause between two daemons of a role that is changed in one step.
const BETWEEN_DAEMONS: Duration = Duration::from_millis(500);

/// Arguments of `lab rolling-change`.
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

/// Durations between the steps of a change.
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

/// Programs of a change: the initial one and its replacement.
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

/// Changes the program of a fleet and changes it back.
pub fn run(arguments: RollingChangeArguments) -> Exit {
    match Programs::find(&arguments) {
        Ok(programs) => trial::run(change_and_revert(programs, arguments)),
        Err(error) => {
            eprintln!("{error}");
            Exit::Usage
        }
    }
}

async fn change_and_revert(
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

/// Restarts every daemon of the fleet with another program: coordinators, then
/// gateways, then agents.
///
/// # Errors
///
/// Fails if a daemon cannot be restarted in time.
pub async fn change_all(trial: &mut Trial, to: &Program, pace: Pace) -> Result<(), LabError> {
    let started = Instant::now();
    println!("all daemons change to {}", to.path.display());
    for id in coordinators_leader_last(trial).await? {
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

/// Returns the coordinators with the leader last, which is the order for operators:
/// leadership moves once, and a leader of one program has followers of the other
/// for as long as possible.
async fn coordinators_leader_last(trial: &Trial) -> Result<Vec<MemberId>, LabError> {
    let leader = trial.fleet.wait_leader(READY_TIMEOUT).await?;
    let mut coordinators = trial.fleet.ids_of_role(Role::Coordinator);
    coordinators.sort_by_key(|id| *id == leader);
    Ok(coordinators)
}

/// Restarts one daemon with the other program on the same settings and data folder:
/// shuts it down gracefully, starts it, and waits until it is ready and the leader
/// has received a message from it.
async fn change(trial: &mut Trial, id: MemberId, to: &Program) -> Result<(), LabError> {
    trial.fleet.terminate(id, READY_TIMEOUT).await?;
    trial.record_tolerated_fault(format!("{id} ended, to be replaced"));
    let started = Instant::now();
    trial.fleet.start_with(id, to)?;
    trial.fleet.wait_ready(id, READY_TIMEOUT).await?;
    trial
        .fleet
        .wait_leader_contact(id, started, READY_TIMEOUT)
        .await?;
    println!("{id} is back after {} ms", started.elapsed().as_millis());
    Ok(())
}
