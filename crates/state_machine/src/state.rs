//! The replicated state and the application of commands.
//!
//! The state consists of jobs, open runs, the configuration and the runners that
//! operators drain. `Indexes` is derived from it and rebuilt when a snapshot is
//! restored. With the indexes, the cost of a command grows with its own size and
//! with the logarithm of the state, not with the number of jobs.

mod applied_configurations;
mod cancel;
mod configuration;
mod indexes;
mod job;
mod jobs;
mod late_reports;
mod queries;
mod reservations;
mod retention;
mod run_close;
mod run_outcome;
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

/// The replicated state of jobs, runs, configuration and draining runners.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StateMachine {
    version: ConfigurationVersion,
    document: ClusterConfiguration,
    applied_configurations: AppliedConfigurations,
    last_number: JobNumber,
    jobs: BTreeMap<JobNumber, Job>,
    open_runs: BTreeMap<RunId, OpenRun>,
    /// Runs closed as lost whose late report would still count, with their tasks.
    lost_runs: BTreeMap<RunId, TaskRef>,
    draining_runners: BTreeSet<RunnerId>,
    /// Highest run identifier of all forgotten jobs; no run up to it is opened.
    /// Run identifiers rise by term and sequence in the order of the log, and a
    /// job is forgotten only when the retention has passed since its last run. By
    /// then no leader reserves a lower identifier, so this one value prevents all
    /// runs of forgotten jobs from starting again. `None` until a job with runs is
    /// forgotten.
    highest_forgotten_run: Option<RunId>,
    indexes: Indexes,
    /// Check that a mutation test disables; not part of a snapshot.
    mutation: Option<Mutation>,
}

impl StateMachine {
    /// Creates an empty state at configuration version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Disables a check for a mutation test; `None` enables all checks.
    #[doc(hidden)]
    pub fn set_mutation(&mut self, mutation: Option<Mutation>) {
        self.mutation = mutation;
    }

    /// Returns the disabled check, if any.
    #[doc(hidden)]
    pub fn mutation(&self) -> Option<Mutation> {
        self.mutation
    }

    /// Applies one command and returns the reply with the changes of the state.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let mut changes = Vec::new();
        let reply = self.execute(command, &mut changes);
        Applied {
            reply: reply.unwrap_or_else(CommandReply::Rejected),
            changes,
        }
    }

    fn execute(
        &mut self,
        command: &Command,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        match command {
            Command::Submit { spec, at } => self.submit(spec, *at, changes),
            Command::SubmitByEntry {
                spec,
                entry,
                access,
                at,
            } => self.submit_by_entry(spec, entry, access, *at, changes),
            Command::Cancel { selector, at } => Ok(self.cancel(selector, *at, changes)),
            Command::CancelAccessible { job, access, at } => {
                Ok(self.cancel_accessible(job, access, *at, changes))
            }
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
