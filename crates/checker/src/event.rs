//! Events of a history. One JSON line each, in order of time; one clock, the
//! observer's, dates them all.

use serde::{Deserialize, Serialize};
use types::{
    ConfigurationVersion, JobKey, JobState, LicenceName, Milliseconds, Outcome, RunId, RunnerId,
    RunnerIncarnation, StepName, Term,
};

/// One event with its time and place.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Observer's clock since the start of the run.
    pub at: Milliseconds,
    /// Who saw it, for people: `caller-3`, `runner-a2`.
    pub observer: String,
    /// What was seen.
    #[serde(flatten)]
    pub event: Event,
}

/// What was seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A caller sent a submit (first time or again).
    SubmitSent {
        /// The job.
        job: JobKey,
        /// What the checker must know of its content.
        steps: Vec<ExpectedStep>,
        /// No start before this time on the observer's clock.
        not_before: Option<Milliseconds>,
    },
    /// A submit was acknowledged.
    SubmitAcknowledged {
        /// The job.
        job: JobKey,
    },
    /// A submit got a final rejection.
    #[serde(rename = "submit_refused")]
    SubmitRejected {
        /// The job.
        job: JobKey,
        /// Code of the rejection.
        code: String,
    },
    /// A caller asked for a job's state and got an answer.
    StateRead {
        /// The job.
        job: JobKey,
        /// When the question was sent.
        asked_at: Milliseconds,
        /// The answer.
        state: ReadState,
    },
    /// A caller's request of any kind got no answer in its time.
    RequestTimedOut {
        /// What was asked.
        operation: String,
    },
    /// A cancel was sent.
    CancelSent {
        /// The job.
        job: JobKey,
    },
    /// A cancel was acknowledged.
    CancelAcknowledged {
        /// The job.
        job: JobKey,
    },
    /// An order to start a run reached a runner, whatever it answered.
    StartDelivered {
        /// The runner.
        runner: RunnerId,
        /// The run.
        run: RunId,
    },
    /// A runner began a run.
    RunStarted {
        /// The runner.
        runner: RunnerId,
        /// Its incarnation.
        incarnation: RunnerIncarnation,
        /// The run.
        run: RunId,
        /// The job.
        job: JobKey,
        /// The step.
        step: StepName,
        /// Position in the step.
        task: u32,
        /// Slots, processor, memory and accelerators it holds.
        resources: types::Resources,
    },
    /// A run ended on its runner, or died with it.
    RunEnded {
        /// The runner.
        runner: RunnerId,
        /// The run.
        run: RunId,
        /// How; a run that died with its runner has `stopped`.
        outcome: Outcome,
        /// When the run lease that the runner held then would end, if no
        /// further heartbeat of it is confirmed.
        #[serde(default)]
        lease_until: Option<Milliseconds>,
    },
    /// A runner was notified that the record has the end of a run.
    EndRecorded {
        /// The runner.
        runner: RunnerId,
        /// The run.
        run: RunId,
    },
    /// A runner's machine began to stand still; its runs do nothing.
    RunnerFrozen {
        /// The runner.
        runner: RunnerId,
    },
    /// It goes on.
    RunnerWoke {
        /// The runner.
        runner: RunnerId,
    },
    /// A runner took an order.
    OrderAccepted {
        /// The runner.
        runner: RunnerId,
        /// Term of the order.
        term: Term,
        /// Whether the leader of that term had been superseded in the eyes of
        /// this runner: it had seen a higher term before.
        stale: bool,
    },
    /// A runner began to say that it leaves.
    RunnerDraining {
        /// The runner.
        runner: RunnerId,
    },
    /// An operator's draining order was acknowledged.
    RunnerDrainAcknowledged {
        /// The runner.
        runner: RunnerId,
    },
    /// An operator sent word that the runner need not drain any more.
    RunnerDrainLifted {
        /// The runner.
        runner: RunnerId,
    },
    /// A runner process ended; its runs with it.
    RunnerStopped {
        /// The runner.
        runner: RunnerId,
    },
    /// An operator sent a configuration.
    ConfigurationSent {
        /// The version wanted.
        version: ConfigurationVersion,
        /// Digest of the document.
        digest: String,
    },
    /// It was acknowledged.
    ConfigurationAcknowledged {
        /// The version.
        version: ConfigurationVersion,
        /// Digest of the document.
        digest: String,
    },
    /// It was rejected.
    #[serde(rename = "configuration_refused")]
    ConfigurationRejected {
        /// The version wanted.
        version: ConfigurationVersion,
        /// Digest of the document.
        digest: String,
        /// Code of the rejection.
        code: String,
    },
    /// A ready daemon answered with this configuration.
    ConfigurationRead {
        /// The daemon.
        daemon: String,
        /// When the question was sent.
        asked_at: Milliseconds,
        /// The version.
        version: ConfigurationVersion,
        /// Digest of the document.
        digest: String,
    },
    /// A configuration with this resource limit was sent: it may be in force from now
    /// on, also when its acknowledgement is lost.
    #[serde(rename = "ceiling_sent")]
    ResourceLimitSent {
        /// The tenant.
        tenant: types::TenantId,
        /// Its resource limit.
        #[serde(rename = "ceiling")]
        resource_limit: types::Resources,
    },
    /// A tenant's resource limit was acknowledged in a configuration.
    #[serde(rename = "ceiling_in_force")]
    ResourceLimitInForce {
        /// The tenant.
        tenant: types::TenantId,
        /// Its resource limit.
        #[serde(rename = "ceiling")]
        resource_limit: types::Resources,
    },
    /// A licence has so many seats in every configuration from now on.
    SeatsInForce {
        /// The licence.
        licence: LicenceName,
        /// Its seats.
        seats: u32,
    },
    /// A fault was caused, or ended.
    Fault {
        /// The fault, for people.
        what: String,
    },
    /// From now on nothing is broken that should stop service; within the
    /// limit it must be back.
    Healed,
    /// The run is over, after a calm phase in which all work could end.
    Finished,
}

/// What the checker must know of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExpectedStep {
    /// Its name.
    pub name: StepName,
    /// Steps before it.
    pub after: Vec<StepName>,
    /// Its tasks.
    pub tasks: u32,
    /// Copies allowed at once.
    pub max_copies: u32,
    /// Failed runs allowed for a task.
    pub allowed_failures: u32,
    /// A run that was stopped after this time may count as failed; when it is
    /// not known, any stopped run may.
    #[serde(default)]
    pub time_limit: Option<Milliseconds>,
    /// Whether its tasks start together, all or none, and one done end is
    /// the end of all.
    #[serde(default)]
    pub gang: bool,
    /// The licence of which each run takes a seat.
    #[serde(default)]
    pub licence: Option<LicenceName>,
}

/// The state of a job that a caller read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadState {
    /// There is no such job.
    Unknown,
    /// It is in this state.
    #[serde(untagged)]
    Known(JobState),
}
