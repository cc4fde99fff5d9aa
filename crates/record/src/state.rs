//! The record's state.

use crate::{Applied, Command, RecordError};
use configuration::ClusterConfiguration;
use types::{
    ConfigurationVersion, JobKey, JobNumber, JobSpec, JobState, JobView, OpenRun, RunId, RunSpec,
    RunnerId, TaskMeta, TenantId,
};

/// Jobs, runs, configuration and operators' words on runners.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Record {}

impl Record {
    /// An empty record at configuration version 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one command.
    pub fn apply(&mut self, command: &Command) -> Applied {
        let _ = command;
        todo!()
    }

    /// All state as bytes with a format version.
    pub fn snapshot(&self) -> Result<Vec<u8>, RecordError> {
        todo!()
    }

    /// A record from a snapshot's bytes.
    pub fn restore(bytes: &[u8]) -> Result<Self, RecordError> {
        let _ = bytes;
        todo!()
    }

    /// Version and document in force.
    pub fn configuration(&self) -> (ConfigurationVersion, &ClusterConfiguration) {
        todo!()
    }

    /// A job as its caller sees it.
    pub fn job(&self, key: &JobKey) -> Option<JobView> {
        let _ = key;
        todo!()
    }

    /// The job as submitted.
    pub fn job_spec(&self, key: &JobKey) -> Option<&JobSpec> {
        let _ = key;
        todo!()
    }

    /// The caller's names of a job.
    pub fn job_key(&self, number: JobNumber) -> Option<JobKey> {
        let _ = number;
        todo!()
    }

    /// The number of a job.
    pub fn job_number(&self, key: &JobKey) -> Option<JobNumber> {
        let _ = key;
        todo!()
    }

    /// Jobs in order of number after `after`, at most `limit`, of one tenant
    /// and one state where they are given.
    pub fn jobs(
        &self,
        tenant: Option<&TenantId>,
        state: Option<JobState>,
        after: Option<JobNumber>,
        limit: usize,
    ) -> Vec<(JobNumber, JobView)> {
        let _ = (tenant, state, after, limit);
        todo!()
    }

    /// Every task that may start now or from its `not_before`, for republish
    /// and audit; from `after` on in order of job number, at most `limit` jobs.
    pub fn ready_tasks(&self, after: Option<JobNumber>, limit: usize) -> Vec<TaskMeta> {
        let _ = (after, limit);
        todo!()
    }

    /// Every open run.
    pub fn open_runs(&self) -> Vec<OpenRun> {
        todo!()
    }

    /// One open run.
    pub fn open_run(&self, run: RunId) -> Option<OpenRun> {
        let _ = run;
        todo!()
    }

    /// What a runner needs to start an open run.
    pub fn run_spec(&self, run: RunId) -> Option<RunSpec> {
        let _ = run;
        todo!()
    }

    /// True when the run was closed, and its job is not forgotten.
    pub fn is_closed(&self, run: RunId) -> bool {
        let _ = run;
        todo!()
    }

    /// Runners that drain by order of an operator.
    pub fn draining_runners(&self) -> Vec<RunnerId> {
        todo!()
    }

    /// Unfinished jobs of all tenants.
    pub fn unfinished_jobs(&self) -> u64 {
        todo!()
    }
}
