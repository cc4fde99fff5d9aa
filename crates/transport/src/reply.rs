//! Replies of the leader to requests of callers and operators.

use crate::decision::DecisionEntry;
use crate::view::{LicenceView, MemberView, QueueView, TenantView};
use configuration::{ClusterConfiguration, ConfigurationError};
use scheduler::RunnerView;
use serde::{Deserialize, Serialize};
use types::{ConfigurationVersion, JobKey, JobNumber, JobState, JobView, Milliseconds, RunId};

/// Result of a successful operation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The job is committed, that is, on the disks of a majority of the voters.
    Submitted {
        /// Number of the job.
        number: JobNumber,
        /// Whether the job was created by an earlier submit with the same key.
        known: bool,
    },
    /// The requested job with its steps.
    Job(Box<JobView>),
    /// One page of a list of jobs.
    Jobs {
        /// Jobs in order of submission.
        jobs: Vec<JobView>,
        /// Number of the last job of the page, for
        /// [`JobFilter::after`](crate::JobFilter::after) of the next request.
        /// `None` if no more jobs follow.
        next: Option<JobNumber>,
    },
    /// Result of a request to cancel jobs.
    Cancelled {
        /// Number of jobs that this request cancelled.
        cancelled: u64,
        /// Number of jobs that had already reached a final state.
        finished: u64,
        /// Requested keys for which the cluster has no job.
        unknown: Vec<JobKey>,
    },
    /// Explanation of the states of a job's tasks.
    Explained {
        /// Findings in plain text, one per line.
        lines: Vec<String>,
    },
    /// The configuration is committed under this version.
    Configured {
        /// Version of the configuration.
        version: ConfigurationVersion,
        /// Whether the configuration was committed by an earlier request.
        known: bool,
    },
    /// The configuration in force.
    Configuration {
        /// Version of the configuration.
        version: ConfigurationVersion,
        /// Complete configuration of that version.
        document: ClusterConfiguration,
    },
    /// State of the requested job.
    JobState(JobState),
    /// Number of unfinished jobs in the requested queue.
    Count(u64),
    /// The operation succeeded and returns no data.
    Accepted,
    /// A runner was declared lost.
    RunsLost {
        /// Identifiers of the runs that were closed as lost.
        runs: Vec<RunId>,
    },
    /// All runners.
    Runners(Vec<RunnerView>),
    /// All queues.
    Queues(Vec<QueueView>),
    /// All tenants.
    Tenants(Vec<TenantView>),
    /// All licences.
    Licences(Vec<LicenceView>),
    /// All members.
    Members(Vec<MemberView>),
    /// Entries of the decision log, oldest first.
    Decisions(Vec<DecisionEntry>),
}

/// Final reply to an operation that was not carried out or whose outcome is
/// unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Cause of the rejection, for programs.
    pub code: RejectionCode,
    /// Cause of the rejection, for users.
    pub message: String,
    /// Time to wait before a retry, in milliseconds. `None` if a retry cannot
    /// succeed.
    pub retry_after: Option<Milliseconds>,
    /// Problems of a rejected configuration. Empty for other operations.
    pub problems: Vec<ConfigurationError>,
}

/// Causes for which a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionCode {
    /// The request is not valid.
    Invalid,
    /// The request has no key, or its key is unknown or revoked.
    Unauthenticated,
    /// The role of the key does not allow the operation.
    Forbidden,
    /// The named job, runner or queue does not exist.
    NotFound,
    /// A job with the same key, or a configuration with the same version, exists
    /// with different content.
    Conflict,
    /// A limit of the tenant, the queue or the daemon is reached. A retry may
    /// succeed.
    Overloaded,
    /// No leader with a valid lease is reachable. The operation was not carried
    /// out.
    Unavailable,
    /// No reply arrived before the deadline. The operation may or may not have
    /// been carried out; the same request can be retried.
    TimedOut,
}
