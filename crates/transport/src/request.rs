//! Requests of callers and operators, sent by gateways to the leader.

use crate::reply::{OperationReply, Rejection};
use configuration::{ClusterConfiguration, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use state_machine::CancelSelector;
use types::{
    ConfigurationVersion, EntryAddress, JobAccess, JobId, JobKey, JobNumber, JobSpec, JobState,
    Milliseconds, QueueName, RunnerId, TenantId,
};

/// Number of a request, unique within one gateway process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A request, from a gateway to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Number of the request, repeated in the reply.
    pub id: RequestId,
    /// Time from the sending by the gateway to the caller's deadline, in
    /// milliseconds. The leader drops the request after that time.
    pub time_left: Milliseconds,
    /// Operation to carry out, with its arguments.
    pub operation: Operation,
}

/// Final reply to a request, from the leader to the gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request that is answered.
    pub id: RequestId,
    /// Result of the operation, or the reason for which it has none.
    pub result: Result<OperationReply, Rejection>,
}

/// Operations available to callers and operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Submits a job.
    Submit(JobSpec),
    /// Reads a job with its steps.
    GetJob(JobKey),
    /// Reads the state of a job, without its steps.
    GetJobState(JobKey),
    /// Lists jobs in order of submission.
    ListJobs(JobFilter),
    /// Cancels jobs by key, or all unfinished jobs of a tenant.
    Cancel(CancelSelector),
    /// Explains why a job is not running.
    Explain(JobKey),
    /// Replaces the whole configuration.
    PutConfiguration {
        /// Version of the new configuration: the current one plus one.
        version: ConfigurationVersion,
        /// Complete new configuration.
        document: ClusterConfiguration,
    },
    /// Reads the configuration in force from the replica of the gateway, which
    /// may be older than the leader's.
    GetConfiguration,
    /// Reads the configuration in force from the leader. It contains every
    /// change that was acknowledged before the request.
    GetNewestConfiguration,
    /// Counts the unfinished jobs of a queue.
    CountJobs(QueueName),
    /// Starts or ends the draining of a runner.
    DrainRunner {
        /// Runner to drain.
        runner: RunnerId,
        /// Whether draining starts (true) or ends (false).
        draining: bool,
    },
    /// Declares a runner permanently lost and closes its runs as lost.
    DeclareRunnerLost {
        /// Runner to declare lost.
        runner: RunnerId,
    },
    /// Lists all runners registered with the leader.
    ListRunners,
    /// Lists all queues with their counts.
    ListQueues,
    /// Lists all tenants with their counts.
    ListTenants,
    /// Lists all licences with their seats.
    ListLicences,
    /// Lists all members of the cluster.
    ListMembers,
    /// Reads entries of the leader's decision log.
    Decisions {
        /// Number of the last entry already read; 0 reads from the oldest entry
        /// that the leader keeps.
        after: u64,
        /// Maximum number of entries to return.
        limit: u32,
    },
    /// Adds, replaces or removes single items of the configuration.
    UpdateConfiguration {
        /// Version of the configuration after the update.
        version: ConfigurationVersion,
        /// Changes, and the version to which they apply.
        update: ConfigurationUpdate,
    },
    /// Checks whether an update was committed. For an operator that has the text
    /// that was sent but can no longer compute the changes from it.
    ConfirmUpdate {
        /// Version of the configuration that the update would have produced.
        version: ConfigurationVersion,
        /// Update to check. The leader compares only the replaced version and the
        /// text that was sent.
        update: ConfigurationUpdate,
    },
    /// Submits a job by an entry, where its identifier is unique among all jobs submitted
    /// by entries.
    SubmitByEntry {
        /// Job as the caller sent it.
        spec: JobSpec,
        /// Entry by which the caller sent it.
        entry: EntryAddress,
        /// Jobs that the caller may see.
        access: JobAccess,
    },
    /// Reads the state of the job with this identifier that the caller may see.
    GetAccessibleJobState {
        /// Identifier of the job.
        job: JobId,
        /// Jobs that the caller may see.
        access: JobAccess,
    },
    /// Cancels the job with this identifier that the caller may end. The reply counts no
    /// job if there is none.
    CancelAccessible {
        /// Identifier of the job.
        job: JobId,
        /// Jobs that the caller may end.
        access: JobAccess,
    },
}

/// Selection of the jobs in a list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobFilter {
    /// Tenant of the listed jobs. `None` lists the jobs of all tenants.
    pub tenant: Option<TenantId>,
    /// State of the listed jobs. `None` lists jobs in any state.
    pub state: Option<JobState>,
    /// Number of the last job already listed; only jobs with a higher number
    /// follow. `None` starts with the first job.
    pub after: Option<JobNumber>,
    /// Maximum number of jobs to return.
    pub limit: u32,
}
