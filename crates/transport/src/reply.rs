//! The leader's answers to requests of callers and operators.

use crate::decision::DecisionEntry;
use crate::view::{LicenceView, MemberView, QueueView, TenantView};
use configuration::{ClusterConfiguration, ConfigurationError};
use scheduler::RunnerView;
use serde::{Deserialize, Serialize};
use types::{ConfigurationVersion, JobKey, JobNumber, JobState, JobView, Milliseconds, RunId};

/// The result of an operation that was carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The job is committed: a majority of the voters has it on disk.
    Submitted {
        /// Number of the job.
        number: JobNumber,
        /// Whether an earlier submit with the same key had created the job.
        known: bool,
    },
    /// The job that was asked for, with its steps.
    Job(Box<JobView>),
    /// One page of a list of jobs.
    Jobs {
        /// Jobs of the page, in order of submission.
        jobs: Vec<JobView>,
        /// Number of the page's last job if more jobs may follow, to be given as
        /// [`JobFilter::after`](crate::JobFilter::after).
        next: Option<JobNumber>,
    },
    /// Result of a cancel.
    Cancelled {
        /// Number of jobs that this request cancelled.
        cancelled: u64,
        /// Number of jobs that were in a final state before.
        finished: u64,
        /// Keys of which the cluster has no job.
        unknown: Vec<JobKey>,
    },
    /// Explanation of why a job's tasks are in their states.
    Explained {
        /// One line for each finding.
        lines: Vec<String>,
    },
    /// The configuration is committed under this version.
    Configured {
        /// Version of the configuration.
        version: ConfigurationVersion,
        /// Whether an earlier request had committed the same configuration.
        known: bool,
    },
    /// The configuration in force.
    Configuration {
        /// Version of the document.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
    },
    /// State of the job that was asked for.
    JobState(JobState),
    /// Number of unfinished jobs.
    Count(u64),
    /// The operation is carried out and returns nothing.
    Accepted,
    /// Runs that were closed as lost.
    RunsLost {
        /// Identifiers of the runs.
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

/// A final answer that an operation was not carried out, or that its outcome is
/// unknown.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Kind of the rejection.
    pub code: RejectionCode,
    /// One sentence for people.
    pub message: String,
    /// Time after which to try again, in milliseconds. `None` where trying again
    /// cannot help.
    pub retry_after: Option<Milliseconds>,
    /// All problems of a rejected configuration. Empty for other operations.
    pub problems: Vec<ConfigurationError>,
}

/// Kinds of rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionCode {
    /// The request is not valid.
    Invalid,
    /// The request has no key, or one that is unknown or revoked.
    Unauthenticated,
    /// The role of the key does not allow the operation.
    Forbidden,
    /// There is no such job, runner or queue.
    NotFound,
    /// The same key or version exists with other content.
    Conflict,
    /// A limit of the tenant, the queue or the daemon is reached. The same
    /// request may succeed later.
    Overloaded,
    /// No leader with a valid lease can be reached. The operation was not
    /// carried out.
    Unavailable,
    /// The time ran out before an answer came. The operation may or may not
    /// have been carried out; the same request may be sent again.
    TimedOut,
}
