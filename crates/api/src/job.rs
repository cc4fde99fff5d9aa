//! JSON bodies of jobs, as callers submit them.

use serde::{Deserialize, Serialize};
use types::{
    JobId, JobSpec, Labels, LicenceName, Milliseconds, QueueName, RackName, Resources, StepName,
    StepRules, StepSpec, TenantId, WallTime,
};

/// Time limit of a run whose step gives none, in milliseconds.
pub const DEFAULT_TIME_LIMIT_MS: u64 = 60_000;

/// Urgency of a job: an order within the work of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Starts before the tenant's other work.
    Urgent,
    /// Starts in order of submission.
    #[default]
    Normal,
}

impl From<types::Urgency> for Urgency {
    fn from(urgency: types::Urgency) -> Self {
        match urgency {
            types::Urgency::Urgent => Self::Urgent,
            types::Urgency::Normal => Self::Normal,
        }
    }
}

impl From<Urgency> for types::Urgency {
    fn from(urgency: Urgency) -> Self {
        match urgency {
            Urgency::Urgent => Self::Urgent,
            Urgency::Normal => Self::Normal,
        }
    }
}

/// State of a job; the last three are final.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has had a run yet.
    Waiting,
    /// At least one task has had a run.
    Running,
    /// Every task succeeded.
    Done,
    /// A task used up its allowed failures.
    Failed,
    /// Cancelled by its caller or an operator.
    Cancelled,
}

impl From<types::JobState> for JobState {
    fn from(state: types::JobState) -> Self {
        match state {
            types::JobState::Waiting => Self::Waiting,
            types::JobState::Running => Self::Running,
            types::JobState::Done => Self::Done,
            types::JobState::Failed => Self::Failed,
            types::JobState::Cancelled => Self::Cancelled,
        }
    }
}

impl From<JobState> for types::JobState {
    fn from(state: JobState) -> Self {
        match state {
            JobState::Waiting => Self::Waiting,
            JobState::Running => Self::Running,
            JobState::Done => Self::Done,
            JobState::Failed => Self::Failed,
            JobState::Cancelled => Self::Cancelled,
        }
    }
}

/// Resources that one task needs. An absent kind gets its default.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedsBody {
    /// Number of task slots. Default 1.
    pub slots: u32,
    /// Processor time, in thousandths of a core. Default 0.
    pub cpu_milli: u32,
    /// Memory, in MiB. Default 0.
    pub memory_mib: u32,
    /// Number of whole accelerators. Default 0.
    pub gpus: u32,
}

impl Default for NeedsBody {
    fn default() -> Self {
        Self {
            slots: 1,
            cpu_milli: 0,
            memory_mib: 0,
            gpus: 0,
        }
    }
}

impl From<Resources> for NeedsBody {
    fn from(resources: Resources) -> Self {
        Self {
            slots: resources.slots,
            cpu_milli: resources.cpu_milli,
            memory_mib: resources.memory_mib,
            gpus: resources.gpus,
        }
    }
}

impl From<NeedsBody> for Resources {
    fn from(body: NeedsBody) -> Self {
        Self {
            slots: body.slots,
            cpu_milli: body.cpu_milli,
            memory_mib: body.memory_mib,
            gpus: body.gpus,
        }
    }
}

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// Tenant that submits the job; its runs count against the tenant's contract.
    pub tenant: TenantId,
    /// Identifier given by the caller, unique within the tenant.
    pub job: JobId,
    /// Queue that the job enters, and so the pool whose runners run its tasks.
    pub queue: QueueName,
    /// Order of the job within the tenant's work. Default `normal`.
    #[serde(default)]
    pub urgency: Urgency,
    /// Earliest start of any task by the leader's clock, in milliseconds since
    /// the epoch. Absent for no lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_at_ms: Option<u64>,
    /// Opaque text for the runner, used for every step whose own payload is
    /// empty. Default empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
    /// Steps of the job. Dependencies among them must not form a cycle.
    pub steps: Vec<StepBody>,
}

/// A group of equal tasks that may run in parallel.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// Name of the step, unique within the job.
    pub name: StepName,
    /// Steps that must be done before any task of this one starts. Default none.
    #[serde(default)]
    pub after: Vec<StepName>,
    /// Number of tasks, at least 1. Default 1.
    #[serde(default = "one")]
    pub tasks: u32,
    /// Resources that one task needs. Default one slot.
    #[serde(default)]
    pub resources: NeedsBody,
    /// Labels that a runner must have to run the tasks. Default none.
    #[serde(default)]
    pub labels: Labels,
    /// Maximum number of copies of one task that run at once. Default 1.
    #[serde(default = "one")]
    pub twice: u32,
    /// Number of failed runs after which one task is still retried. Default 0.
    #[serde(default)]
    pub allowed_failures: u32,
    /// Time limit of a run, in milliseconds. A run that exceeds it is stopped
    /// and counts as failed. Default [`DEFAULT_TIME_LIMIT_MS`].
    #[serde(default = "default_time_limit")]
    pub time_limit_ms: u64,
    /// Opaque text for the runner. If empty, the payload of the job is used.
    #[serde(default)]
    pub payload: String,
    /// Earliest start of any task of the step by the leader's clock, in
    /// milliseconds since the epoch. Applies in addition to that of the job.
    /// Absent for no lower bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_at_ms: Option<u64>,
    /// Rack where the tasks run best. Other racks are used if it has no free
    /// capacity. Absent for no preference.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<RackName>,
    /// Maximum number of runs of the step on one runner at once. Absent for no
    /// limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_runner: Option<u32>,
    /// Whether the tasks form a gang: they are reserved together, and the end
    /// of one run ends all of them. Default `false`.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Whether the tasks of a gang run best within one rack. Default `false`.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// Whether the tasks run until the job is cancelled and start again however
    /// a run ends. Default `false`.
    #[serde(default, skip_serializing_if = "is_false")]
    pub endless: bool,
    /// Duration of one run as estimated by the caller, in milliseconds. Absent
    /// if unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
    /// Licence of which each run takes a seat, from its reservation until it is
    /// certain to have ended. Absent if no licence is needed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub licence: Option<LicenceName>,
}

fn is_false(value: &bool) -> bool {
    !value
}

fn one() -> u32 {
    1
}

fn default_time_limit() -> u64 {
    DEFAULT_TIME_LIMIT_MS
}

impl From<JobBody> for JobSpec {
    fn from(body: JobBody) -> Self {
        Self {
            tenant: body.tenant,
            job: body.job,
            queue: body.queue,
            urgency: body.urgency.into(),
            start_at: body.start_at_ms.map(WallTime),
            payload: body.payload,
            steps: body.steps.into_iter().map(StepSpec::from).collect(),
        }
    }
}

impl From<JobSpec> for JobBody {
    fn from(spec: JobSpec) -> Self {
        Self {
            tenant: spec.tenant,
            job: spec.job,
            queue: spec.queue,
            urgency: spec.urgency.into(),
            start_at_ms: spec.start_at.map(|time| time.0),
            payload: spec.payload,
            steps: spec.steps.into_iter().map(StepBody::from).collect(),
        }
    }
}

impl From<StepBody> for StepSpec {
    fn from(body: StepBody) -> Self {
        Self {
            name: body.name,
            after: body.after,
            tasks: body.tasks,
            resources: body.resources.into(),
            labels: body.labels,
            max_copies: body.twice,
            allowed_failures: body.allowed_failures,
            time_limit: Milliseconds(body.time_limit_ms),
            payload: body.payload,
            rules: StepRules {
                start_at: body.start_at_ms.map(WallTime),
                preferred_rack: body.preferred_rack,
                max_per_runner: body.max_per_runner,
                gang: body.gang,
                same_rack: body.same_rack,
                endless: body.endless,
                expected: body.expected_ms.map(Milliseconds),
                licence: body.licence,
            },
        }
    }
}

impl From<StepSpec> for StepBody {
    fn from(spec: StepSpec) -> Self {
        Self {
            name: spec.name,
            after: spec.after,
            tasks: spec.tasks,
            resources: spec.resources.into(),
            labels: spec.labels,
            twice: spec.max_copies,
            allowed_failures: spec.allowed_failures,
            time_limit_ms: spec.time_limit.0,
            payload: spec.payload,
            start_at_ms: spec.rules.start_at.map(|time| time.0),
            preferred_rack: spec.rules.preferred_rack,
            max_per_runner: spec.rules.max_per_runner,
            gang: spec.rules.gang,
            same_rack: spec.rules.same_rack,
            endless: spec.rules.endless,
            expected_ms: spec.rules.expected.map(|duration| duration.0),
            licence: spec.rules.licence,
        }
    }
}
