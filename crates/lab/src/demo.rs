//! `demo`: today's fleet under both job mixes, with its leader killed once.

use crate::LabError;
use crate::trial::{self, Trial, TrialArguments};
use clap::Args;
use cypressdrum::Exit;
use std::time::Duration;

/// Downtime of the killed leader; at most a third of the demonstration.
const RESTART_AFTER: Duration = Duration::from_secs(5);

/// Arguments of `lab demo`.
#[derive(Debug, Clone, Args)]
pub struct DemoArguments {
    /// How long to send jobs.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// What every trial has.
    #[command(flatten)]
    pub trial: TrialArguments,
}

/// Runs the demonstration.
pub fn run(arguments: DemoArguments) -> Exit {
    trial::run(demonstrate(arguments))
}

async fn demonstrate(arguments: DemoArguments) -> Result<Exit, LabError> {
    let length = Duration::from_secs(arguments.seconds);
    let before_kill = length / 3;
    let down = RESTART_AFTER.min(length / 3);
    let mut trial = Trial::start(arguments.trial).await?;

    trial.work_for(before_kill).await;
    let leader = trial.kill_leader().await?;
    trial.work_for(down).await;
    trial.fleet.start(leader)?;
    println!("{leader} starts again");
    trial.work_for(length - before_kill - down).await;
    trial.finish().await
}
