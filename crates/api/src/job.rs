//! JSON bodies: jobs as their callers submit them.

use serde::{Deserialize, Serialize};
use types::{
    JobId, JobSpec, Labels, LicenceName, Milliseconds, QueueName, RackName, Resources, StepName,
    StepRules, StepSpec, TenantId, WallTime,
};

/// Time limit of a run when the step names none, in milliseconds.
pub const DEFAULT_TIME_LIMIT_MS: u64 = 60_000;

/// Order within a tenant's own work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Urgency {
    /// Before the tenant's other work.
    Urgent,
    /// In order of submission.
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
    /// Nothing of it has a run yet.
    Waiting,
    /// At least one task has had a run.
    Running,
    /// Every task ended done.
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

/// What one task needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NeedsBody {
    /// Places on a runner; 1 unless asked for.
    pub slots: u32,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
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

/// `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The tenant that pays for it.
    pub tenant: TenantId,
    /// The caller's identifier, unique within the tenant.
    pub job: JobId,
    /// The queue.
    pub queue: QueueName,
    /// Order within the tenant's work.
    #[serde(default)]
    pub urgency: Urgency,
    /// No task starts before this time, in milliseconds since the epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_at_ms: Option<u64>,
    /// Opaque text for the runner, for every step that has none of its own.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub payload: String,
    /// The steps.
    pub steps: Vec<StepBody>,
}

/// A group of equal tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// Name, unique within the job.
    pub name: StepName,
    /// Steps that must be done first.
    #[serde(default)]
    pub after: Vec<StepName>,
    /// Number of tasks.
    #[serde(default = "one")]
    pub tasks: u32,
    /// What one task needs.
    #[serde(default)]
    pub resources: NeedsBody,
    /// Labels its runner must carry.
    #[serde(default)]
    pub labels: Labels,
    /// Copies of one task that may run at once.
    #[serde(default = "one")]
    pub twice: u32,
    /// Failed runs one task may have and still be tried again.
    #[serde(default)]
    pub allowed_failures: u32,
    /// A run still going after this many milliseconds is stopped as failed.
    #[serde(default = "default_time_limit")]
    pub time_limit_ms: u64,
    /// Opaque text for the runner.
    #[serde(default)]
    pub payload: String,
    /// No task of the step starts before this time, in milliseconds since the
    /// epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_at_ms: Option<u64>,
    /// The rack where its tasks run best.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub preferred_rack: Option<RackName>,
    /// Most runs of the step on one runner at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_per_runner: Option<u32>,
    /// The tasks work only all together.
    #[serde(default, skip_serializing_if = "is_false")]
    pub gang: bool,
    /// The tasks of a gang run best within one rack.
    #[serde(default, skip_serializing_if = "is_false")]
    pub same_rack: bool,
    /// The tasks run until the job is cancelled.
    #[serde(default, skip_serializing_if = "is_false")]
    pub endless: bool,
    /// About how long one run takes, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u64>,
    /// Each run takes a seat of this licence.
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
            expected_ms: spec.rules.expected.map(|length| length.0),
            licence: spec.rules.licence,
        }
    }
}
