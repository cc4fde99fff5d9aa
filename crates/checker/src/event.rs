//! Events of a history.
//!
//! A history has one JSON line per observation, in order of time. All times are
//! read from one clock, that of the observer.

use serde::{Deserialize, Serialize};
use types::{
    ConfigurationVersion, JobKey, JobState, LicenceName, Milliseconds, Outcome, RunId, RunnerId,
    RunnerIncarnation, StepName, Term,
};

/// An event, the time at which it was observed, and its observer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Time on the observer's clock, since the start of the recording.
    pub at: Milliseconds,
    /// Name of the process that observed the event, such as `caller-3` or
    /// `runner-a2`. Only for readers: no rule uses it.
    pub observer: String,
    /// Observed event, written into the same JSON object.
    #[serde(flatten)]
    pub event: Event,
}

/// Kinds of event that callers, operators, runners and the fault injection
/// record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a submit, for the first time or again.
    SubmitSent {
        /// Job that the submit creates.
        job: JobKey,
        /// Steps of the job, as far as the rules depend on them.
        steps: Vec<ExpectedStep>,
        /// Earliest start of the job, on the observer's clock. None if the job
        /// may start at once.
        not_before: Option<Milliseconds>,
    },
    /// A caller received the acknowledgement of a submit.
    SubmitAcknowledged {
        /// Job that the submit created.
        job: JobKey,
    },
    /// A caller received a final rejection of a submit.
    #[serde(rename = "submit_refused")]
    SubmitRejected {
        /// Job that was not created.
        job: JobKey,
        /// Code of the rejection.
        code: String,
    },
    /// A caller requested the state of a job and received a reply.
    StateRead {
        /// Job whose state was requested.
        job: JobKey,
        /// Time at which the request was sent; the observation has the time of
        /// the reply.
        asked_at: Milliseconds,
        /// State in the reply.
        state: ReadState,
    },
    /// A caller's request of any kind got no reply before its timeout.
    RequestTimedOut {
        /// Kind of request.
        operation: String,
    },
    /// A caller sent a cancel.
    CancelSent {
        /// Job to cancel.
        job: JobKey,
    },
    /// A caller received the acknowledgement of a cancel.
    CancelAcknowledged {
        /// Job that the cancel named.
        job: JobKey,
    },
    /// An order to start a run reached a runner, whether it accepted the order
    /// or not.
    StartDelivered {
        /// Runner that received the order.
        runner: RunnerId,
        /// Run to start.
        run: RunId,
    },
    /// A runner started a run.
    RunStarted {
        /// Runner that executes the run.
        runner: RunnerId,
        /// Incarnation of the runner's process.
        incarnation: RunnerIncarnation,
        /// Identifier of the started run.
        run: RunId,
        /// Job that the run belongs to.
        job: JobKey,
        /// Step that the run belongs to.
        step: StepName,
        /// Index of the run's task within the step, from 0.
        task: u32,
        /// Resources that the run holds until it ends.
        resources: types::Resources,
    },
    /// A run ended on its runner, or was killed together with it.
    RunEnded {
        /// Runner that executed the run.
        runner: RunnerId,
        /// Identifier of the ended run.
        run: RunId,
        /// Outcome of the run; `stopped` if it was killed with its runner.
        outcome: Outcome,
        /// Expiry of the run lease that the runner held at the end of the run,
        /// unless a later heartbeat is confirmed. None if it was not recorded.
        #[serde(default)]
        lease_until: Option<Milliseconds>,
    },
    /// A runner was notified that the end of a run is recorded.
    EndRecorded {
        /// Runner that was notified.
        runner: RunnerId,
        /// Run whose end is recorded.
        run: RunId,
    },
    /// A runner's machine froze: its runs make no progress until it resumes.
    RunnerFrozen {
        /// Runner on the frozen machine.
        runner: RunnerId,
    },
    /// A runner's frozen machine resumed.
    RunnerWoke {
        /// Runner on the resumed machine.
        runner: RunnerId,
    },
    /// A runner accepted an order.
    OrderAccepted {
        /// Runner that accepted the order.
        runner: RunnerId,
        /// Term of the leader that sent the order.
        term: Term,
        /// Whether the runner had seen a higher term before, so that the leader
        /// was superseded.
        stale: bool,
    },
    /// A runner began to report that it is draining.
    RunnerDraining {
        /// Runner that is draining.
        runner: RunnerId,
    },
    /// An operator received the acknowledgement of an order to drain a runner.
    RunnerDrainAcknowledged {
        /// Runner to drain.
        runner: RunnerId,
    },
    /// An operator sent an order that ends the draining of a runner.
    RunnerDrainLifted {
        /// Runner that no longer has to drain.
        runner: RunnerId,
    },
    /// The process of a runner ended, and its runs with it.
    RunnerStopped {
        /// Runner whose process ended.
        runner: RunnerId,
    },
    /// An operator sent a configuration.
    ConfigurationSent {
        /// Version that the configuration gets if it is accepted.
        version: ConfigurationVersion,
        /// Digest of the configuration's document.
        digest: String,
    },
    /// An operator received the acknowledgement of a configuration.
    ConfigurationAcknowledged {
        /// Version of the acknowledged configuration.
        version: ConfigurationVersion,
        /// Digest of the acknowledged document.
        digest: String,
    },
    /// An operator received the rejection of a configuration.
    #[serde(rename = "configuration_refused")]
    ConfigurationRejected {
        /// Version that the configuration would have had.
        version: ConfigurationVersion,
        /// Digest of the rejected document.
        digest: String,
        /// Code of the rejection.
        code: String,
    },
    /// A ready daemon replied with the configuration that it uses.
    ConfigurationRead {
        /// Name of the daemon.
        daemon: String,
        /// Time at which the request was sent; the observation has the time of
        /// the reply.
        asked_at: Milliseconds,
        /// Version in the reply.
        version: ConfigurationVersion,
        /// Digest of the document in the reply.
        digest: String,
    },
    /// A configuration with this resource limit was sent. It may be in force
    /// from now on, even if its acknowledgement is lost.
    #[serde(rename = "ceiling_sent")]
    ResourceLimitSent {
        /// Tenant that the limit applies to.
        tenant: types::TenantId,
        /// Most resources that the tenant's runs may hold at once.
        #[serde(rename = "ceiling")]
        resource_limit: types::Resources,
    },
    /// A configuration with this resource limit was acknowledged.
    #[serde(rename = "ceiling_in_force")]
    ResourceLimitInForce {
        /// Tenant that the limit applies to.
        tenant: types::TenantId,
        /// Most resources that the tenant's runs may hold at once.
        #[serde(rename = "ceiling")]
        resource_limit: types::Resources,
    },
    /// A licence has this number of seats in every configuration from now on.
    SeatsInForce {
        /// Licence that the seats belong to.
        licence: LicenceName,
        /// Number of runs that may use the licence at once.
        seats: u32,
    },
    /// A fault was injected, or ended.
    Fault {
        /// Description of the fault. Only for readers: no rule uses it.
        what: String,
    },
    /// All faults that may interrupt service have ended; service must be
    /// available again within [`Limits::service_after`](crate::Limits).
    Healed,
    /// The recording ended, after a phase without faults in which all work could
    /// finish.
    Finished,
}

/// A step of a submitted job, as far as the rules depend on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedStep {
    /// Name of the step, unique within the job.
    pub name: StepName,
    /// Steps that must be done before this one starts.
    pub after: Vec<StepName>,
    /// Number of tasks in the step.
    pub tasks: u32,
    /// Most runs of a task that may be open at once.
    pub max_copies: u32,
    /// Number of failed runs after which a task may still run again.
    pub allowed_failures: u32,
    /// Time limit of a run: a run that is stopped after it may count as failed.
    /// None if it was not recorded: then any stopped run may count as failed.
    #[serde(default)]
    pub time_limit: Option<Milliseconds>,
    /// Whether the step is a gang: its tasks start all together or not at all,
    /// and the step is done once one of them is done.
    #[serde(default)]
    pub gang: bool,
    /// Licence of which each run takes a seat. None if the step needs none.
    #[serde(default)]
    pub licence: Option<LicenceName>,
}

/// State of a job in the reply to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadState {
    /// The job does not exist.
    Unknown,
    /// The job exists and has this state.
    #[serde(untagged)]
    Known(JobState),
}
