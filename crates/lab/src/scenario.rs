//! `trial NAME`: today's fleet under both job mixes, with the faults of a scenario.

use crate::trial::{self, READY_TIMEOUT, Trial, TrialArguments};
use crate::{LabError, MemberId};
use clap::{Args, ValueEnum};
use cypressdrum::Exit;
use std::time::{Duration, Instant};
use types::Role;

/// Time under load before the first fault.
const BEFORE_FAULT: Duration = Duration::from_secs(8);
/// Time between the kill of a daemon and its restart.
const DOWNTIME: Duration = Duration::from_secs(5);
/// Duration of a freeze; longer than every lease.
const FREEZE_LENGTH: Duration = Duration::from_secs(25);
/// Time under load after the last fault; longer than the time within which the
/// checker requires service after a fault.
const AFTER_FAULT: Duration = Duration::from_secs(15);
/// Pause between two restarts of a rolling restart.
const BETWEEN_RESTARTS: Duration = Duration::from_millis(500);

/// Faults that a trial injects into the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// The leader is killed and comes back with its disk.
    KillLeader,
    /// One gateway is killed and comes back.
    KillGateway,
    /// One agent is killed and comes back; its runner runs on.
    KillAgent,
    /// All coordinators are killed at once and come back with their disks.
    KillAllCoordinators,
    /// The leader is frozen for 25 s and wakes.
    FreezeLeader,
    /// One agent is frozen for 25 s and wakes.
    FreezeAgent,
    /// A follower loses its disk; after its repair another coordinator dies.
    WipeFollower,
    /// A follower is replaced by an empty one at another address; after the
    /// repair another coordinator dies.
    ReplaceFollower,
    /// Every daemon is restarted in turn, politely.
    RollingRestart,
}

/// Arguments of `lab trial`.
#[derive(Debug, Clone, Args)]
pub struct ScenarioArguments {
    /// What is done to the fleet.
    pub scenario: Scenario,
    /// What every trial has.
    #[command(flatten)]
    pub trial: TrialArguments,
}

/// Runs one scenario.
pub fn run(arguments: ScenarioArguments) -> Exit {
    trial::run(run_scenario(arguments))
}

async fn run_scenario(arguments: ScenarioArguments) -> Result<Exit, LabError> {
    let mut trial = Trial::start(arguments.trial).await?;
    trial.work_for(BEFORE_FAULT).await;
    match arguments.scenario {
        Scenario::KillLeader => kill_leader(&mut trial).await?,
        Scenario::KillGateway => kill_and_restart(&mut trial, first(Role::Gateway)).await?,
        Scenario::KillAgent => kill_and_restart(&mut trial, first(Role::Agent)).await?,
        Scenario::KillAllCoordinators => kill_all_coordinators(&mut trial).await?,
        Scenario::FreezeLeader => freeze_leader(&mut trial).await?,
        Scenario::FreezeAgent => freeze(&mut trial, first(Role::Agent)).await?,
        Scenario::WipeFollower => wipe_follower(&mut trial).await?,
        Scenario::ReplaceFollower => replace_follower(&mut trial).await?,
        Scenario::RollingRestart => rolling_restart(&mut trial).await?,
    }
    trial.work_for(AFTER_FAULT).await;
    trial.finish().await
}

fn first(role: Role) -> MemberId {
    MemberId { role, ordinal: 1 }
}

async fn kill_leader(trial: &mut Trial) -> Result<(), LabError> {
    let leader = trial.kill_leader().await?;
    trial.work_for(DOWNTIME).await;
    restart(trial, leader).await
}

async fn kill_and_restart(trial: &mut Trial, id: MemberId) -> Result<(), LabError> {
    trial.fleet.kill(id)?;
    trial.record_tolerated_fault(format!("killed {id}"));
    trial.work_for(DOWNTIME).await;
    restart(trial, id).await
}

async fn restart(trial: &mut Trial, id: MemberId) -> Result<(), LabError> {
    println!("{id} starts again");
    trial.fleet.start(id)?;
    trial.fleet.wait_ready(id, READY_TIMEOUT).await
}

async fn kill_all_coordinators(trial: &mut Trial) -> Result<(), LabError> {
    let coordinators = trial.fleet.ids_of_role(Role::Coordinator);
    for id in &coordinators {
        trial.fleet.kill(*id)?;
    }
    trial.record_fault("killed all coordinators".to_owned());
    trial.work_for(DOWNTIME).await;
    println!("all coordinators start again");
    for id in &coordinators {
        trial.fleet.start(*id)?;
    }
    trial.record_healed();
    for id in coordinators {
        trial.fleet.wait_ready(id, READY_TIMEOUT).await?;
    }
    Ok(())
}

async fn freeze_leader(trial: &mut Trial) -> Result<(), LabError> {
    let leader = trial.fleet.wait_leader(READY_TIMEOUT).await?;
    freeze(trial, leader).await
}

async fn freeze(trial: &mut Trial, id: MemberId) -> Result<(), LabError> {
    trial.fleet.freeze(id)?;
    trial.record_tolerated_fault(format!("froze {id}"));
    trial.work_for(FREEZE_LENGTH).await;
    trial.fleet.resume(id)?;
    println!("woke {id}");
    trial.fleet.wait_ready(id, READY_TIMEOUT).await
}

async fn wipe_follower(trial: &mut Trial) -> Result<(), LabError> {
    let follower = trial.fleet.wait_follower(READY_TIMEOUT).await?;
    let old_identity = identity(trial, follower).await?;
    trial.fleet.kill(follower)?;
    trial.fleet.wipe(follower)?;
    trial.record_tolerated_fault(format!("{follower} lost its disk"));
    trial.fleet.start(follower)?;
    kill_leader_after_repair(trial, &old_identity, follower).await
}

async fn replace_follower(trial: &mut Trial) -> Result<(), LabError> {
    let follower = trial.fleet.wait_follower(READY_TIMEOUT).await?;
    let old_identity = identity(trial, follower).await?;
    trial.fleet.kill(follower)?;
    let replacement = trial.fleet.add(Role::Coordinator)?;
    trial.record_tolerated_fault(format!(
        "{replacement}, empty, takes the place of {follower}"
    ));
    trial.fleet.start(replacement)?;
    kill_leader_after_repair(trial, &old_identity, replacement).await
}

async fn identity(trial: &Trial, id: MemberId) -> Result<String, LabError> {
    let identity = trial.fleet.voting_identity(id).await?;
    identity.ok_or_else(|| LabError::NotRunning(format!("{id} as a voter")))
}

/// Waits until the follower is replaced, and kills the leader at once: a second
/// fault immediately after the repair of the first.
async fn kill_leader_after_repair(
    trial: &mut Trial,
    old_identity: &str,
    replacement: MemberId,
) -> Result<(), LabError> {
    let started = Instant::now();
    trial
        .fleet
        .wait_voter_replaced(old_identity, replacement, READY_TIMEOUT)
        .await?;
    println!(
        "{replacement} votes, {} ms later",
        started.elapsed().as_millis()
    );
    kill_leader(trial).await
}

async fn rolling_restart(trial: &mut Trial) -> Result<(), LabError> {
    let ids: Vec<_> = trial
        .fleet
        .members()
        .iter()
        .map(|member| member.id)
        .collect();
    for id in ids {
        trial.fleet.terminate(id, READY_TIMEOUT).await?;
        trial.record_tolerated_fault(format!("{id} restarts"));
        restart(trial, id).await?;
        trial.work_for(BETWEEN_RESTARTS).await;
    }
    Ok(())
}
