//! Commands of the replicated log, their replies and the changes that they make.

use crate::StateMachineError;
use configuration::{ClusterConfiguration, ConfigurationError, ConfigurationUpdate};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use types::{
    ConfigurationVersion, JobKey, JobNumber, JobSpec, JobState, Milliseconds, OpenRun, QueueName,
    Reservation, RunClose, RunId, RunnerId, TaskMeta, TaskRef, TenantId, WallTime,
};

/// One entry of the log. `at` is the leader's wall time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Submit a job. Idempotent by its key: equal content gets the same number.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Cancel jobs: their tasks do not start again.
    Cancel {
        /// Which jobs.
        selector: CancelSelector,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Bind tasks to runners. Each reservation is checked against the state on its
    /// own; only accepted ones are sent to their runners.
    Reserve {
        /// The reservations of the scheduler.
        reservations: Vec<Reservation>,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Close runs. For a run that is closed already or unknown it does nothing,
    /// except that a late report of a run closed as lost decides on its task, if
    /// that is unfinished.
    CloseRuns {
        /// The runs.
        runs: Vec<ClosedRun>,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Apply a configuration if `version` is the current one plus one. The same
    /// configuration under the same version is acknowledged again while that
    /// version is among the last 1,024.
    PutConfiguration {
        /// The proposed version.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Set whether an operator drains a runner.
    SetRunnerDraining {
        /// The runner.
        runner: RunnerId,
        /// Whether it drains.
        draining: bool,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Forget finished jobs whose retention has passed.
    Forget {
        /// Jobs that ended at or before this time.
        ended_before: WallTime,
        /// Maximum number of jobs.
        limit: u32,
    },
    /// Change named items of the configuration, if the version that the update
    /// replaces is in force. The same update under the same version is
    /// acknowledged again, as with [`Command::PutConfiguration`].
    UpdateConfiguration {
        /// The proposed version; higher than the one in force.
        version: ConfigurationVersion,
        /// The changes.
        update: ConfigurationUpdate,
        /// Leader's wall time.
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

/// Which jobs to cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelSelector {
    /// These jobs; the reply lists unknown ones apart.
    Jobs(Vec<JobKey>),
    /// All unfinished jobs of a tenant, within one queue if it is given.
    Tenant {
        /// The tenant.
        tenant: TenantId,
        /// The queue, or all.
        queue: Option<QueueName>,
    },
}

/// A run to close.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedRun {
    /// The run.
    pub run: RunId,
    /// How the run closed.
    pub close: RunClose,
    /// Last checkpoint of the run, for the next run of its task.
    pub checkpoint: Option<String>,
}

impl ClosedRun {
    /// Creates a closed run without a checkpoint.
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
    /// The reply to the proposer.
    pub reply: CommandReply,
    /// Changes of the state, for the leader.
    pub changes: Vec<Change>,
}

/// Reply to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The job has this number.
    Submitted {
        /// Number of the job.
        number: JobNumber,
        /// Whether the job was submitted before.
        known: bool,
    },
    /// Result of a cancellation.
    Cancelled {
        /// Number of jobs cancelled by this command.
        cancelled: u64,
        /// Number of jobs that were in a final state before.
        finished: u64,
        /// Keys of unknown jobs.
        unknown: Vec<JobKey>,
    },
    /// Result of each reservation.
    Reserved {
        /// Runs that were opened.
        accepted: Vec<RunId>,
        /// Runs that were rejected, and why.
        rejected: Vec<(RunId, ReservationRejection)>,
    },
    /// Runs closed by this command, in order.
    Closed {
        /// The runs.
        runs: Vec<RunId>,
    },
    /// The configuration has this version.
    Configured {
        /// The version.
        version: ConfigurationVersion,
        /// Whether the configuration was applied before.
        known: bool,
    },
    /// The command was applied and has no result.
    Accepted,
    /// The command was rejected and changed nothing.
    Rejected(CommandRejection),
}

/// Reason why a command was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// A job of the same key has other content.
    #[error("job {key} is known with other content")]
    OtherContent {
        /// The key.
        key: JobKey,
    },
    /// The job can never succeed.
    #[error("{error}")]
    InvalidJob {
        /// Message of the first error found.
        #[serde(rename = "problem")]
        error: String,
    },
    /// The tenant has no contract.
    #[error("tenant {tenant} has no contract")]
    UnknownTenant {
        /// The tenant.
        tenant: TenantId,
    },
    /// The queue is not configured.
    #[error("queue {queue} does not exist")]
    UnknownQueue {
        /// The queue.
        queue: QueueName,
    },
    /// The queue is draining and accepts no jobs.
    #[error("queue {queue} is draining")]
    QueueDraining {
        /// The queue.
        queue: QueueName,
    },
    /// The tenant or queue has its maximum number of unfinished jobs.
    #[error("{what} holds its most unfinished jobs ({limit})")]
    Full {
        /// `tenant NAME` or `queue NAME`.
        what: String,
        /// The limit.
        limit: u64,
        /// Time after which to retry.
        retry_after: Milliseconds,
    },
    /// The version is not the current one plus one, and was not applied with this
    /// content.
    #[error("version {wanted} was not taken: the current one is {current}")]
    VersionConflict {
        /// The proposed version.
        wanted: ConfigurationVersion,
        /// The version in force.
        current: ConfigurationVersion,
    },
    /// The configuration is not valid.
    #[error("the configuration has {} problems", problems.len())]
    InvalidConfiguration {
        /// Every error found.
        problems: Vec<ConfigurationError>,
    },
}

/// Reason why a reservation was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReservationRejection {
    /// The task is unknown, blocked or finished, or has as many runs as it may have.
    #[error("the task may not start")]
    NotReady,
    /// The run identifier has been used.
    #[error("the run is known")]
    KnownRun,
    /// An operator drains the runner.
    #[error("the runner is draining")]
    RunnerDraining,
    /// The queue is not active.
    #[error("the queue is not active")]
    QueueNotActive,
    /// The tenant would exceed its resource limit.
    #[error("the tenant is at its ceiling")]
    TenantAtLimit,
    /// The runner has as many runs of the step as the step allows.
    #[error("the runner holds as many runs of the step as it may")]
    RunnerAtStepLimit,
    /// No seat of the licence is free.
    #[error("no seat of the licence is free")]
    NoSeat,
}

/// Change of the state that the leader acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A task may start now or at its `not_before`, until it has as many open runs
    /// as copies. Reported once, not at each opened run.
    TaskReady(TaskMeta),
    /// A task will never start again: done, failed or cancelled. Its open
    /// runs, if any, are to be stopped.
    TaskEnded {
        /// The task.
        task: TaskRef,
        /// Open runs of the task.
        open_runs: Vec<OpenRun>,
    },
    /// Open runs are obsolete since another run of their gang closed without
    /// success. They are to be stopped.
    RunsObsolete(Vec<RunId>),
    /// A run was opened.
    RunOpened(OpenRun),
    /// A run was closed.
    RunClosed {
        /// The run.
        run: OpenRun,
        /// How the run closed.
        close: RunClose,
        /// The task, if it may have another run now or at its `not_before`.
        again: Option<TaskMeta>,
    },
    /// A job reached a final state.
    JobEnded {
        /// The job.
        key: JobKey,
        /// Its number.
        number: JobNumber,
        /// The final state.
        state: JobState,
        /// Time from the submission to the first reservation, if there was one.
        waited: Option<Milliseconds>,
    },
    /// Another configuration is in force.
    ConfigurationChanged(ConfigurationVersion),
    /// An operator has changed whether a runner drains.
    RunnerDrainingChanged {
        /// The runner.
        runner: RunnerId,
        /// Whether it drains.
        draining: bool,
    },
}
