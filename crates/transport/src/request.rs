//! Requests of callers and operators, as gateways pass them to the leader.

use configuration::{ClusterConfiguration, ConfigurationError, ConfigurationUpdate, QueueMode};
use scheduler::{Decision, RunnerView};
use serde::{Deserialize, Serialize};
use state_machine::CancelSelector;
use types::{
    Address, ConfigurationVersion, JobKey, JobNumber, JobSpec, JobState, JobView, LicenceName,
    Milliseconds, PoolName, QueueName, Resources, RunClose, RunId, RunnerId, TaskRef, TenantId,
    Term, WallTime,
};

/// A request's number, unique within one gateway process.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestId(pub u64);

/// A request with the time its caller still waits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Its number, echoed in the reply.
    pub id: RequestId,
    /// Time left when the gateway sent it; the leader drops it afterwards.
    pub time_left: Milliseconds,
    /// What is asked.
    pub operation: Operation,
}

/// What callers and operators may ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// Take a job.
    Submit(JobSpec),
    /// State of a job, with its steps.
    GetJob(JobKey),
    /// Where a job stands, and nothing more.
    GetJobState(JobKey),
    /// Jobs in order of submission.
    ListJobs(JobFilter),
    /// Cancel jobs.
    Cancel(CancelSelector),
    /// Why a job is not running.
    Explain(JobKey),
    /// Take a configuration version.
    PutConfiguration {
        /// The version wanted: the current one plus one.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
    },
    /// Version and document in force, from the replica of the gateway asked.
    GetConfiguration,
    /// The same from the leader: nothing acknowledged before is missing.
    GetNewestConfiguration,
    /// Unfinished jobs of a queue.
    CountJobs(QueueName),
    /// Mark a runner as draining, or take it back.
    DrainRunner {
        /// The runner.
        runner: RunnerId,
        /// Whether it drains.
        draining: bool,
    },
    /// An operator's word that a runner is gone for good: its runs close as lost.
    DeclareRunnerLost {
        /// The runner.
        runner: RunnerId,
    },
    /// All runners known to the leader.
    ListRunners,
    /// All queues with their counts.
    ListQueues,
    /// All tenants with their counts.
    ListTenants,
    /// All licences with their seats.
    ListLicences,
    /// All members.
    ListMembers,
    /// Decisions after this number, at most `limit`.
    Decisions {
        /// Number of the last one seen; 0 from the oldest kept.
        after: u64,
        /// Most entries wanted.
        limit: u32,
    },
    /// Change named items of the configuration.
    UpdateConfiguration {
        /// The version wanted.
        version: ConfigurationVersion,
        /// The changes, with the version they build on.
        update: ConfigurationUpdate,
    },
    /// Whether an update was taken, for one that knows what was sent and can no
    /// longer work out what that changed.
    ConfirmUpdate {
        /// The version wanted then.
        version: ConfigurationVersion,
        /// The update; what counts is what it replaces and what was sent.
        update: ConfigurationUpdate,
    },
}

/// Which jobs to list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobFilter {
    /// Of this tenant only.
    pub tenant: Option<TenantId>,
    /// In this state only.
    pub state: Option<JobState>,
    /// After this number.
    pub after: Option<JobNumber>,
    /// At most this many.
    pub limit: u32,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Number of the request.
    pub id: RequestId,
    /// The answer.
    pub result: Result<OperationReply, Rejection>,
}

/// Answers to what was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationReply {
    /// The job is on a majority of disks.
    Submitted {
        /// Its number.
        number: JobNumber,
        /// True for a resent submit.
        known: bool,
    },
    /// A job.
    Job(Box<JobView>),
    /// Jobs, and the number to go on from if there are more.
    Jobs {
        /// The page.
        jobs: Vec<JobView>,
        /// Number of the page's last job, when more may follow.
        next: Option<JobNumber>,
    },
    /// Jobs cancelled, already finished, and unknown.
    Cancelled {
        /// Cancelled by this request.
        cancelled: u64,
        /// Already in a final state.
        finished: u64,
        /// Keys that name no job.
        unknown: Vec<JobKey>,
    },
    /// Why a job's tasks are where they are, a line each.
    Explained {
        /// The lines.
        lines: Vec<String>,
    },
    /// The configuration stands under this version.
    Configured {
        /// The version.
        version: ConfigurationVersion,
        /// True for a resent order.
        known: bool,
    },
    /// Version and document in force.
    Configuration {
        /// The version.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
    },
    /// Where a job stands.
    JobState(JobState),
    /// A number of jobs.
    Count(u64),
    /// Done.
    Accepted,
    /// Runs closed as lost.
    RunsLost {
        /// The runs.
        runs: Vec<RunId>,
    },
    /// Runners.
    Runners(Vec<RunnerView>),
    /// Queues.
    Queues(Vec<QueueView>),
    /// Tenants.
    Tenants(Vec<TenantView>),
    /// Licences.
    Licences(Vec<LicenceView>),
    /// Members.
    Members(Vec<MemberView>),
    /// Decisions.
    Decisions(Vec<DecisionEntry>),
}

/// A queue with its counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueView {
    /// The queue.
    pub queue: QueueName,
    /// Its pool.
    pub pool: PoolName,
    /// Its mode.
    pub mode: QueueMode,
    /// Unfinished jobs.
    pub unfinished_jobs: u64,
    /// Tasks that may start.
    pub ready_tasks: u64,
    /// Open runs.
    pub open_runs: u64,
}

/// A tenant with its counts and the state of its error budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// The tenant.
    pub tenant: TenantId,
    /// Unfinished jobs.
    pub unfinished_jobs: u64,
    /// Tasks that may start.
    pub ready_tasks: u64,
    /// What its open runs hold.
    pub usage: Resources,
    /// Its resource limit.
    pub resource_limit: Resources,
    /// Jobs ended since the leader's election.
    pub ended_jobs: u64,
    /// Of those, late by the contract.
    pub late_jobs: u64,
    /// Of those, failed.
    pub failed_jobs: u64,
    /// Whether a budget is used up.
    pub budget_exceeded: bool,
}

/// A licence and its seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceView {
    /// The licence.
    pub licence: LicenceName,
    /// Seats in the whole cluster.
    pub seats: u32,
    /// Of those, taken by open runs, by the record's own count.
    pub used: u32,
    /// Tasks that wait for room or a seat.
    pub waiting: u64,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Where it is.
    pub address: Address,
    /// Coordinators: `leader`, `voter` or `learner`; others: `session`.
    pub status: String,
    /// Time since it was last heard by the leader.
    pub since_last_contact: Milliseconds,
    /// Configuration version it last reported to this leader: of a coordinator
    /// the one it has applied. None while it has not reported.
    pub configuration: Option<ConfigurationVersion>,
    /// Voters: the health of their links, as they measured it last.
    pub links: Option<consensus::LinkHealth>,
}

/// One line of the decision log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecisionEntry {
    /// Its number; rises by one within a term's leader.
    pub number: u64,
    /// Term of the leader that decided.
    pub term: Term,
    /// The job in its caller's words, when it is known.
    pub job: Option<JobKey>,
    /// What happened.
    pub event: DecisionEvent,
}

/// What a line of the decision log tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum DecisionEvent {
    /// The scheduler decided.
    Dispatch(Decision),
    /// The record took the reservation; its order leaves.
    Ordered {
        /// The run.
        run: RunId,
        /// Its task.
        task: TaskRef,
        /// Its runner.
        runner: RunnerId,
        /// Leader's wall time.
        at: WallTime,
    },
    /// The record closed a run.
    Closed {
        /// The run.
        run: RunId,
        /// Its task.
        task: TaskRef,
        /// Its runner.
        runner: RunnerId,
        /// Why.
        close: RunClose,
        /// Leader's wall time.
        at: WallTime,
    },
    /// A job reached a final state.
    JobEnded {
        /// The state.
        state: JobState,
        /// Leader's wall time.
        at: WallTime,
    },
}

/// A final answer that nothing was done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// What kind.
    pub code: RejectionCode,
    /// One sentence for people.
    pub message: String,
    /// When to come back, where that can help.
    pub retry_after: Option<Milliseconds>,
    /// Every problem of a rejected configuration.
    pub problems: Vec<ConfigurationError>,
}

/// Kinds of rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionCode {
    /// The request makes no sense.
    Invalid,
    /// No key, or one that is not known or revoked.
    Unauthenticated,
    /// The key's role may not do this.
    Forbidden,
    /// No such job, runner or queue.
    NotFound,
    /// Same key or version with other content.
    Conflict,
    /// A limit of the tenant, the queue or this daemon; come back later.
    Overloaded,
    /// No leader under its lease can be reached; nothing is known to be taken.
    Unavailable,
    /// The time ran out before an answer came: it may or may not be taken.
    /// The same request may be sent again.
    TimedOut,
}
