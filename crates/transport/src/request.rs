//! Requests of callers and operators, as gateways send them to the leader.

use crate::reply::{OperationReply, Rejection};
use configuration::{ClusterConfiguration, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use state_machine::CancelSelector;
use types::{
    ConfigurationVersion, JobKey, JobNumber, JobSpec, JobState, Milliseconds, QueueName, RunnerId,
    TenantId,
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
    /// Number of the request, which the reply echoes.
    pub id: RequestId,
    /// Time until the caller gives up, in milliseconds, when the gateway sent
    /// the request. The leader drops the request afterwards.
    pub time_left: Milliseconds,
    /// The operation that is requested.
    pub operation: Operation,
}

/// The final answer to a request, from the leader to the gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub id: RequestId,
    /// Result of the operation.
    pub result: Result<OperationReply, Rejection>,
}

/// The operations that callers and operators may request.
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
    /// Cancels jobs.
    Cancel(CancelSelector),
    /// Explains why a job is not running.
    Explain(JobKey),
    /// Replaces the whole configuration.
    PutConfiguration {
        /// Version of the new configuration: the current one plus one.
        version: ConfigurationVersion,
        /// The new document.
        document: ClusterConfiguration,
    },
    /// Reads the configuration in force from the replica of the gateway, which
    /// may be behind the leader's.
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
        /// Whether the runner drains from now on.
        draining: bool,
    },
    /// Declares a runner lost for good and closes its runs as lost.
    DeclareRunnerLost {
        /// Runner that is lost.
        runner: RunnerId,
    },
    /// Lists all runners that the leader knows.
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
        /// Number of the last entry that the operator has; 0 reads from the
        /// oldest entry that the leader keeps.
        after: u64,
        /// Maximum number of entries to return.
        limit: u32,
    },
    /// Changes named items of the configuration.
    UpdateConfiguration {
        /// Version that the change makes.
        version: ConfigurationVersion,
        /// The changes, with the version that they build on.
        update: ConfigurationUpdate,
    },
    /// Asks whether an update was committed, for an operator that knows what it
    /// sent but can no longer compute what that changed.
    ConfirmUpdate {
        /// Version that the update was to make.
        version: ConfigurationVersion,
        /// The update. The leader compares only the version that it replaces and
        /// the text that was sent.
        update: ConfigurationUpdate,
    },
}

/// Selects the jobs of a list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobFilter {
    /// Lists only jobs of this tenant.
    pub tenant: Option<TenantId>,
    /// Lists only jobs in this state.
    pub state: Option<JobState>,
    /// Lists only jobs with a higher number than this.
    pub after: Option<JobNumber>,
    /// Maximum number of jobs to return.
    pub limit: u32,
}
