//! Commands of the replicated log, their replies and the changes that they make.

use crate::StateMachineError;
use configuration::{ClusterConfiguration, ConfigurationError, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{
    ConfigurationVersion, EntryAddress, JobAccess, JobId, JobKey, JobNumber, JobSpec, JobState,
    Milliseconds, OpenRun, QueueName, Reservation, RunClose, RunId, RunnerId, TaskMeta, TaskRef,
    TenantId, WallTime,
};

/// Command of the replicated log. The `at` of a variant is the wall time of the
/// leader that proposes the command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Submits a job. Idempotent by the job's key: a resent job with equal content
    /// gets the same number.
    Submit {
        /// Job as the caller sent it.
        spec: JobSpec,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Cancels jobs: their tasks do not start again.
    Cancel {
        /// Selection of the jobs to cancel.
        selector: CancelSelector,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Binds tasks to runners. Each reservation is checked against the state on its
    /// own, and those of a gang as a whole; only accepted ones are sent to their
    /// runners.
    Reserve {
        /// Reservations made by the scheduler; those of a gang follow one another.
        reservations: Vec<Reservation>,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Closes runs. A run that is unknown or already closed is skipped, except
    /// that the late report of a run closed as lost decides the outcome of its
    /// task, if the task is unfinished.
    CloseRuns {
        /// Runs to close, each with the reason.
        runs: Vec<ClosedRun>,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Applies a configuration, if the version that the document replaces is in
    /// force; a document that names none replaces `version` minus one. The same
    /// configuration under the same version is acknowledged again while that
    /// version is among the last 1,024.
    PutConfiguration {
        /// Version that the document gets; higher than the one in force.
        version: ConfigurationVersion,
        /// Complete configuration that replaces the one in force.
        document: ClusterConfiguration,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Sets whether an operator drains a runner.
    SetRunnerDraining {
        /// Runner that the operator names.
        runner: RunnerId,
        /// Whether the runner gets no further runs.
        draining: bool,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Removes finished jobs whose retention has passed.
    Forget {
        /// Latest end time of a job to remove.
        ended_before: WallTime,
        /// Maximum number of jobs to remove.
        limit: u32,
    },
    /// Changes named items of the configuration, if the version that the update
    /// replaces is in force. The same update under the same version is
    /// acknowledged again, as with [`Command::PutConfiguration`].
    UpdateConfiguration {
        /// Version that the result gets; higher than the one in force.
        version: ConfigurationVersion,
        /// Items to add, replace and remove.
        update: ConfigurationUpdate,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Submits a job by an entry. Idempotent by the job's identifier, which is unique
    /// among all jobs submitted by entries: the tenant of a caller follows from the
    /// configuration and may differ when the job is sent again.
    SubmitByEntry {
        /// Job as the caller sent it.
        spec: JobSpec,
        /// Entry by which the caller sent it.
        entry: EntryAddress,
        /// Jobs that the caller may see.
        access: JobAccess,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
    /// Cancels the job with this identifier that the caller may end, if there is one.
    CancelAccessible {
        /// Identifier of the job.
        job: JobId,
        /// Jobs that the caller may end.
        access: JobAccess,
        /// Wall time of the proposing leader.
        at: WallTime,
    },
}

impl Command {
    /// Encodes the command for the log.
    ///
    /// # Errors
    ///
    /// Returns [`StateMachineError::Command`] when the command cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        postcard::to_stdvec(self).map_err(StateMachineError::Command)
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    ///
    /// Returns [`StateMachineError::Command`] when the bytes are not a command.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateMachineError> {
        postcard::from_bytes(bytes).map_err(StateMachineError::Command)
    }
}

/// Selection of jobs to cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelSelector {
    /// Jobs by key; the reply lists the unknown keys separately.
    Jobs(Vec<JobKey>),
    /// All unfinished jobs of a tenant, or those in one queue.
    Tenant {
        /// Tenant whose jobs are cancelled.
        tenant: TenantId,
        /// Queue to which the selection is limited; `None` for all queues.
        queue: Option<QueueName>,
    },
}

/// Run to close, with the reason and the last checkpoint.
///
/// To close a run is to record its end and the reason with a
/// [`Command::CloseRuns`] in the replicated log. A closed run no longer holds
/// resources and is never reopened.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedRun {
    /// Identifier of the run; the run may be closed already.
    pub run: RunId,
    /// Reason for which the run closed.
    pub close: RunClose,
    /// Last checkpoint of the run, from which the next run of its task continues.
    /// `None` keeps the task's earlier checkpoint.
    pub checkpoint: Option<String>,
}

impl ClosedRun {
    /// Returns a run to close that reports no checkpoint.
    pub fn new(run: RunId, close: RunClose) -> Self {
        Self {
            run,
            close,
            checkpoint: None,
        }
    }
}

/// Result of applying a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Reply to the proposer of the command.
    pub reply: CommandReply,
    /// Changes of the state that the leader acts on, in order.
    pub changes: Vec<Change>,
}

/// Reply to the proposer of a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The job is stored under this number.
    Submitted {
        /// Number of the job; rises in order of submission.
        number: JobNumber,
        /// Whether the job was already stored by an earlier submission.
        known: bool,
    },
    /// Result of a cancellation.
    Cancelled {
        /// Number of jobs cancelled by this command.
        cancelled: u64,
        /// Number of selected jobs that were already in a final state.
        finished: u64,
        /// Selected keys that belong to no stored job.
        unknown: Vec<JobKey>,
    },
    /// Result of each reservation.
    Reserved {
        /// Runs that were opened, in order of the reservations.
        accepted: Vec<RunId>,
        /// Runs that were not opened, each with the reason.
        rejected: Vec<(RunId, ReservationRejection)>,
    },
    /// Result of closing runs.
    Closed {
        /// Runs that were open until this command, in its order.
        runs: Vec<RunId>,
    },
    /// The configuration was applied under this version.
    Configured {
        /// Version that the configuration got.
        version: ConfigurationVersion,
        /// Whether an earlier command had already applied the configuration.
        known: bool,
    },
    /// The command was applied and returns no result.
    Accepted,
    /// The command was rejected and changed nothing.
    Rejected(CommandRejection),
}

/// Reason why a command was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// The stored job with the same key has other content.
    #[error("job {key} is known with other content")]
    OtherContent {
        /// Key that both jobs have.
        key: JobKey,
    },
    /// The job can never succeed.
    #[error("{error}")]
    InvalidJob {
        /// Message of the first validation error.
        #[serde(rename = "problem")]
        error: String,
    },
    /// The tenant is not configured.
    #[error("tenant {tenant} has no contract")]
    UnknownTenant {
        /// Tenant that the job names.
        tenant: TenantId,
    },
    /// The queue is not configured.
    #[error("queue {queue} does not exist")]
    UnknownQueue {
        /// Queue that the job names.
        queue: QueueName,
    },
    /// The queue is draining and accepts no jobs.
    #[error("queue {queue} is draining")]
    QueueDraining {
        /// Queue that the job names.
        queue: QueueName,
    },
    /// The tenant or queue has its maximum number of unfinished jobs.
    #[error("{what} holds its most unfinished jobs ({limit})")]
    Full {
        /// Owner of the limit, as `tenant NAME` or `queue NAME`.
        what: String,
        /// Maximum number of unfinished jobs.
        limit: u64,
        /// Time after which the caller may retry.
        retry_after: Milliseconds,
    },
    /// The version to replace is not in force, or the proposed version is not
    /// higher; nor was the same content applied under the proposed version.
    #[error("version {wanted} was not applied: the current version is {current}")]
    VersionConflict {
        /// Version that the command proposed.
        wanted: ConfigurationVersion,
        /// Version that is in force.
        current: ConfigurationVersion,
    },
    /// The configuration is not valid.
    #[error("the configuration has {} problems", problems.len())]
    InvalidConfiguration {
        /// All validation errors.
        problems: Vec<ConfigurationError>,
    },
    /// A job that the caller may not see has the same identifier.
    #[error("the identifier {job} is in use")]
    IdentifierInUse {
        /// Identifier of both jobs.
        job: JobId,
    },
}

/// Reason why a reservation was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReservationRejection {
    /// The task is unknown, blocked or finished, or has its maximum number of open
    /// runs; or the reservations of a gang do not cover each task once.
    #[error("the task may not start")]
    NotReady,
    /// The run identifier was used before.
    #[error("the run identifier was used before")]
    KnownRun,
    /// An operator drains the runner.
    #[error("the runner is draining")]
    RunnerDraining,
    /// The queue is paused, in shadow mode or not configured.
    #[error("the queue is not active")]
    QueueNotActive,
    /// The tenant would exceed its resource limit.
    #[error("the tenant is at its ceiling")]
    TenantAtLimit,
    /// The runner has as many open runs of the step as the step allows.
    #[error("the runner has as many runs of the step as the step allows")]
    RunnerAtStepLimit,
    /// No seat of the licence is free.
    #[error("no seat of the licence is free")]
    NoSeat,
}

/// Change of the state that the leader acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A task may start, now or at its `not_before`, until it has as many open runs
    /// as the step allows copies. Reported once, not for each opened run.
    TaskReady(TaskMeta),
    /// A task is done, failed or cancelled and never starts again.
    TaskEnded {
        /// Task that reached the final state.
        task: TaskRef,
        /// Open runs of the task, which must be stopped.
        open_runs: Vec<OpenRun>,
    },
    /// Open runs must be stopped, since another run of their gang closed before the
    /// gang was done.
    RunsObsolete(Vec<RunId>),
    /// A run was opened.
    RunOpened(OpenRun),
    /// A run was closed.
    RunClosed {
        /// Run as it was while open.
        run: OpenRun,
        /// Reason for which the run closed.
        close: RunClose,
        /// Task of the run, if it may have another run now or at its `not_before`;
        /// otherwise `None`.
        retry: Option<TaskMeta>,
    },
    /// A job reached a final state.
    JobEnded {
        /// Key by which callers name the job.
        key: JobKey,
        /// Number that the job got at its submission.
        number: JobNumber,
        /// Final state of the job.
        state: JobState,
        /// Time from the submission to the first reservation; `None` if no run was
        /// reserved.
        waited: Option<Milliseconds>,
    },
    /// Another configuration is in force, under this version.
    ConfigurationChanged(ConfigurationVersion),
    /// An operator changed whether a runner drains.
    RunnerDrainingChanged {
        /// Runner that the operator named.
        runner: RunnerId,
        /// Whether the runner drains from now on.
        draining: bool,
    },
}
