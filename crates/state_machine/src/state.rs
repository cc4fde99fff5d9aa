//! The record's state.
//!
//! The jobs, open runs, configuration and operators' words are the state
//! proper; everything in `Indexes` follows from them and is built anew from
//! a snapshot. With the indexes every command costs its own size times the
//! logarithm of the state, never a walk over all jobs.

mod applied_configurations;
mod cancel;
mod configuration;
mod indexes;
mod job;
mod jobs;
mod late_ends;
mod queries;
mod retention;
mod runs;
mod settle;
mod snapshot;
pub mod submission;
mod usage;

pub use queries::TaskStatus;

use crate::mutation::Mutation;
use crate::{Applied, Change, Command, CommandRejection, CommandReply};
use ::configuration::ClusterConfiguration;
use applied_configurations::AppliedConfigurations;
use indexes::Indexes;
use job::Job;
use std::collections::{BTreeMap, BTreeSet};
use types::{ConfigurationVersion, JobNumber, OpenRun, RunId, RunnerId, TaskRef};

/// Jobs, runs, configuration and operators' words on runners.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StateMachine {
    version: ConfigurationVersion,
    document: ClusterConfiguration,
    applied_configurations: AppliedConfigurations,
    last_number: JobNumber,
    jobs: BTreeMap<JobNumber, Job>,
    open_runs: BTreeMap<RunId, OpenRun>,
    /// Tasks of runs given up as lost, whose late end would still be news.
    lost_runs: BTreeMap<RunId, TaskRef>,
    draining_runners: BTreeSet<RunnerId>,
    /// The highest run of any forgotten job. Runs grow by term and sequence
    /// in the order of the log, and a job is forgotten a retention after its
    /// last run, so no leader still has a lower one to reserve; one that
    /// tries is rejected, and the scheduler draws another. This one value
    /// keeps every run of every forgotten job from starting again.
    highest_forgotten_run: Option<RunId>,
    indexes: Indexes,
    /// Of proofs only; no part of a snapshot.
    mutation: Option<Mutation>,
}

impl StateMachine {
    /// An empty record at configuration version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Leaves a guard out, for proofs.
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
    }

    /// The guard left out.
    #[doc(hidden)]
    pub fn mutation(&self) -> Option<Mutation> {
        self.mutation
    }

    /// Applies one command.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let mut changes = Vec::new();
        let reply = self.reply_to(command, &mut changes);
        Applied {
            reply: reply.unwrap_or_else(CommandReply::Rejected),
            changes,
        }
    }

    fn reply_to(
        &mut self,
        command: &Command,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        match command {
            Command::Submit { spec, at } => self.submit(spec, *at, changes),
            Command::Cancel { selector, at } => Ok(self.cancel(selector, *at, changes)),
            Command::Reserve { reservations, at } => Ok(self.reserve(reservations, *at, changes)),
            Command::CloseRuns { runs, at } => Ok(self.close_runs(runs, *at, changes)),
            Command::PutConfiguration {
                version, document, ..
            } => self.put_configuration(*version, document, changes),
            Command::UpdateConfiguration {
                version, update, ..
            } => self.update_configuration(*version, update, changes),
            Command::SetRunnerDraining {
                runner, draining, ..
            } => Ok(self.set_runner_draining(runner, *draining, changes)),
            Command::Forget {
                ended_before,
                limit,
            } => Ok(self.forget(*ended_before, *limit)),
        }
    }
}
