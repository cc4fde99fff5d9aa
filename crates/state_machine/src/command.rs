//! Commands of the replicated log, their answers and what they change.

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
    /// Take a job. Idempotent by its key: equal content gets the same number.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Cancel jobs: nothing of them starts again.
    Cancel {
        /// Which jobs.
        selector: CancelSelector,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Bind tasks to runners. Each is checked again against the state, on its
    /// own; orders leave only for those taken.
    Reserve {
        /// The scheduler's choices.
        reservations: Vec<Reservation>,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Close runs. A run that is closed already, or unknown, stays as it is;
    /// but the late end of a run given up as lost settles its task, if that is
    /// unfinished.
    CloseRuns {
        /// The runs.
        runs: Vec<ClosedRun>,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Take a configuration if `version` is the current one plus one. The
    /// content a version was taken with is acknowledged again under it, while
    /// the version is among the last 1,024.
    PutConfiguration {
        /// The version wanted.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
        /// Leader's wall time.
        at: WallTime,
    },
    /// Mark a runner as draining by order of an operator, or take that back.
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
        /// Ended at or before this time.
        ended_before: WallTime,
        /// At most this many.
        limit: u32,
    },
    /// Change named items of the configuration, if the version that the update
    /// replaces is in force. The same update under a version that was taken is
    /// acknowledged again, as with [`Command::PutConfiguration`].
    UpdateConfiguration {
        /// The version wanted; higher than the one in force.
        version: ConfigurationVersion,
        /// The changes.
        update: ConfigurationUpdate,
        /// Leader's wall time.
        at: WallTime,
    },
}

impl Command {
    /// The bytes for the log.
    pub fn encode(&self) -> Result<Vec<u8>, StateMachineError> {
        postcard::to_stdvec(self).map_err(StateMachineError::Command)
    }

    /// A command from the log's bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateMachineError> {
        postcard::from_bytes(bytes).map_err(StateMachineError::Command)
    }
}

/// Which jobs to cancel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelSelector {
    /// These jobs; unknown ones are left out of the answer's count.
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
    /// Why.
    pub close: RunClose,
    /// What it saved last, for the next run of its task.
    pub checkpoint: Option<String>,
}

impl ClosedRun {
    /// A run that saved nothing.
    pub fn new(run: RunId, close: RunClose) -> Self {
        Self {
            run,
            close,
            checkpoint: None,
        }
    }
}

/// What applying a command gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// The answer to whoever proposed it.
    pub reply: CommandReply,
    /// What changed, for the leader's scheduler and orders.
    pub changes: Vec<Change>,
}

/// The answer to a command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandReply {
    /// The job is in the record under this number; `known` when it already was.
    Submitted {
        /// Number of the job.
        number: JobNumber,
        /// True for a resent submit.
        known: bool,
    },
    /// Jobs cancelled now, cancelled or finished before, and unknown.
    Cancelled {
        /// Cancelled by this command.
        cancelled: u64,
        /// Already in a final state.
        finished: u64,
        /// Keys that name no job.
        unknown: Vec<JobKey>,
    },
    /// What became of each reservation.
    Reserved {
        /// Bound; their orders may leave.
        accepted: Vec<RunId>,
        /// Not bound.
        rejected: Vec<(RunId, ReservationRejection)>,
    },
    /// Runs closed by this command, in order.
    Closed {
        /// The runs.
        runs: Vec<RunId>,
    },
    /// The configuration stands under this version.
    Configured {
        /// The version.
        version: ConfigurationVersion,
        /// True for a resent order.
        known: bool,
    },
    /// Done, with nothing to tell.
    Accepted,
    /// Nothing was changed, for this reason.
    Rejected(CommandRejection),
}

/// Why the record rejected a command.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum CommandRejection {
    /// Same key, other content.
    #[error("job {key} is known with other content")]
    OtherContent {
        /// The key.
        key: JobKey,
    },
    /// A job that can never succeed.
    #[error("{problem}")]
    InvalidJob {
        /// What is wrong, in one sentence.
        problem: String,
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
    /// The queue drains and takes no more jobs.
    #[error("queue {queue} is draining")]
    QueueDraining {
        /// The queue.
        queue: QueueName,
    },
    /// The tenant or the queue holds its most unfinished jobs.
    #[error("{what} holds its most unfinished jobs ({limit})")]
    Full {
        /// `tenant NAME` or `queue NAME`.
        what: String,
        /// The limit.
        limit: u64,
        /// When to come back.
        retry_after: Milliseconds,
    },
    /// The version is not the current one plus one, and was not taken with
    /// this content.
    #[error("version {wanted} was not taken: the current one is {current}")]
    VersionConflict {
        /// Version in the order.
        wanted: ConfigurationVersion,
        /// Version in force.
        current: ConfigurationVersion,
    },
    /// The document does not make sense.
    #[error("the configuration has {} problems", problems.len())]
    InvalidConfiguration {
        /// Every problem found.
        problems: Vec<ConfigurationError>,
    },
}

/// Why one reservation was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum ReservationRejection {
    /// The task is unknown, blocked, finished, or has all its copies running.
    #[error("the task may not start")]
    NotReady,
    /// The run identifier has been used.
    #[error("the run is known")]
    KnownRun,
    /// The runner drains by order of an operator.
    #[error("the runner is draining")]
    RunnerDraining,
    /// The queue is not active.
    #[error("the queue is not active")]
    QueueNotActive,
    /// The tenant would exceed its resource limit.
    #[error("the tenant is at its ceiling")]
    TenantAtLimit,
    /// The runner holds as many runs of the step as it may.
    #[error("the runner holds as many runs of the step as it may")]
    RunnerAtStepLimit,
    /// No seat of the licence is free.
    #[error("no seat of the licence is free")]
    NoSeat,
}

/// A change of state that the leader acts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// A task may start from now on, or from its `not_before`. It may go on
    /// doing so until its open runs reach its copies; told once, not again at
    /// each opened run.
    TaskReady(TaskMeta),
    /// A task will never start again: done, failed or cancelled. Its open
    /// runs, if any, are to be stopped.
    TaskEnded {
        /// The task.
        task: TaskRef,
        /// Runs still open.
        open_runs: Vec<OpenRun>,
    },
    /// Open runs that are of no more use, since another member of their gang
    /// ended: they are to be stopped.
    RunsUseless(Vec<RunId>),
    /// A run was bound.
    RunOpened(OpenRun),
    /// A run was closed.
    RunClosed {
        /// The run as it was.
        run: OpenRun,
        /// Why.
        close: RunClose,
        /// The task, if it may have another run now or from its `not_before`.
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
        /// Time from submission to its first reservation, if it had one.
        waited: Option<Milliseconds>,
    },
    /// Another configuration is in force.
    ConfigurationChanged(ConfigurationVersion),
    /// An operator's word on a runner.
    RunnerDrainingChanged {
        /// The runner.
        runner: RunnerId,
        /// Whether it drains.
        draining: bool,
    },
}
