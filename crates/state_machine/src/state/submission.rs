//! Validation of submitted jobs: a job that can never succeed is rejected with the
//! reason.

use configuration::ClusterConfiguration;
use std::collections::BTreeSet;
use thiserror::Error;
use types::{
    JobSpec, LicenceName, Milliseconds, QueueName, Resources, StepName, StepSpec, TenantId,
};

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 1_024;
/// Maximum number of tasks of a job over all its steps.
pub const MAX_TASKS: u64 = 10_000;
/// Maximum number of copies of one task that may run at the same time.
pub const MAX_COPIES: u32 = 8;
/// Maximum number of failed runs that a step may allow each task.
pub const MAX_ALLOWED_FAILURES: u32 = 100;
/// Maximum time limit of a run: seven days.
pub const MAX_TIME_LIMIT: Milliseconds = Milliseconds::from_seconds(7 * 24 * 60 * 60);
/// Maximum length of the payload of a step, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// Maximum number of labels that a step may require.
pub const MAX_LABELS: usize = 32;
/// Maximum length of the key or value of a label, in bytes.
pub const MAX_LABEL_BYTES: usize = 128;

/// Reason for which a job can never succeed. The message is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub(crate) enum JobError {
    /// The number of steps is zero or above [`MAX_STEPS`].
    #[error("a job has 1 to {MAX_STEPS} steps, this one has {steps}")]
    StepCount { steps: usize },
    /// The number of tasks is above [`MAX_TASKS`].
    #[error("a job has at most {MAX_TASKS} tasks, this one has {tasks}")]
    TooManyTasks { tasks: u64 },
    /// A step has no tasks.
    #[error("step {step} has no tasks")]
    NoTasks { step: StepName },
    /// The number of copies is zero or above [`MAX_COPIES`].
    #[error("step {step} must allow 1 to {MAX_COPIES} copies")]
    CopyCount { step: StepName },
    /// The allowed failures are above [`MAX_ALLOWED_FAILURES`].
    #[error("step {step} may allow at most {MAX_ALLOWED_FAILURES} failures")]
    TooManyAllowedFailures { step: StepName },
    /// A gang allows more than one copy of a task.
    #[error("step {step} is a gang and must allow exactly one copy of each task")]
    GangWithCopies { step: StepName },
    /// `max_per_runner` is zero.
    #[error("step {step} can run on no runner: max_per_runner must be at least 1")]
    NoRunsPerRunner { step: StepName },
    /// The time limit is zero or above [`MAX_TIME_LIMIT`].
    #[error("the time limit of step {step} must be 1 ms to {MAX_TIME_LIMIT}")]
    TimeLimit { step: StepName },
    /// A task requests no slot.
    #[error("a task of step {step} must request at least one slot")]
    NoSlots { step: StepName },
    /// The payload is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("the payload of step {step} is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadTooLong { step: StepName },
    /// The number of labels is above [`MAX_LABELS`], or a key or value is longer
    /// than [`MAX_LABEL_BYTES`].
    #[error(
        "step {step} may require at most {MAX_LABELS} labels, \
         with keys and values of at most {MAX_LABEL_BYTES} bytes"
    )]
    Labels { step: StepName },
    /// Two steps have the same name.
    #[error("two steps are named {step}")]
    DuplicateStep { step: StepName },
    /// A step depends on one that does not exist.
    #[error("step {step} depends on step {dependency}, which does not exist")]
    UnknownDependency {
        step: StepName,
        dependency: StepName,
    },
    /// A step lists a dependency twice.
    #[error("step {step} lists the dependency {dependency} twice")]
    DuplicateDependency {
        step: StepName,
        dependency: StepName,
    },
    /// A step is on a cycle of dependencies, or depends on such a step.
    #[error("step {step} depends on a cycle of steps")]
    DependencyCycle { step: StepName },
    /// A step needs a licence that is not configured.
    #[error("step {step} needs the licence {licence}, which does not exist")]
    UnknownLicence {
        step: StepName,
        licence: LicenceName,
    },
    /// A task is larger than every runner of the queue's pool.
    #[error("a task of step {step} is larger than every runner of queue {queue}")]
    LargerThanRunner { step: StepName, queue: QueueName },
    /// A task is larger than the tenant's resource limit.
    #[error("a task of step {step} exceeds the resource limit of tenant {tenant}")]
    AboveResourceLimit { step: StepName, tenant: TenantId },
}

/// Validates a job whose tenant and queue are configured.
///
/// # Errors
///
/// Returns the first [`JobError`] that the job has.
pub(crate) fn validate_job(
    spec: &JobSpec,
    document: &ClusterConfiguration,
) -> Result<(), JobError> {
    check_size(spec)?;
    spec.steps.iter().try_for_each(check_step)?;
    check_dependencies(&spec.steps)?;
    check_capacity(spec, document)
}

/// Returns the error unless the condition holds.
fn require(condition: bool, error: impl FnOnce() -> JobError) -> Result<(), JobError> {
    if condition { Ok(()) } else { Err(error()) }
}

fn check_size(spec: &JobSpec) -> Result<(), JobError> {
    let steps = spec.steps.len();
    require((1..=MAX_STEPS).contains(&steps), || JobError::StepCount {
        steps,
    })?;
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    require(tasks <= MAX_TASKS, || JobError::TooManyTasks { tasks })
}

fn check_step(spec: &StepSpec) -> Result<(), JobError> {
    let step = || spec.name.clone();
    let rules = &spec.rules;
    require(spec.tasks >= 1, || JobError::NoTasks { step: step() })?;
    require((1..=MAX_COPIES).contains(&spec.max_copies), || {
        JobError::CopyCount { step: step() }
    })?;
    require(spec.allowed_failures <= MAX_ALLOWED_FAILURES, || {
        JobError::TooManyAllowedFailures { step: step() }
    })?;
    require(!rules.gang || spec.max_copies == 1, || {
        JobError::GangWithCopies { step: step() }
    })?;
    require(rules.max_per_runner != Some(0), || {
        JobError::NoRunsPerRunner { step: step() }
    })?;
    require((1..=MAX_TIME_LIMIT.0).contains(&spec.time_limit.0), || {
        JobError::TimeLimit { step: step() }
    })?;
    require(spec.resources.slots >= 1, || JobError::NoSlots {
        step: step(),
    })?;
    require(spec.payload.len() <= MAX_PAYLOAD_BYTES, || {
        JobError::PayloadTooLong { step: step() }
    })?;
    require(has_valid_labels(spec), || JobError::Labels { step: step() })
}

fn has_valid_labels(spec: &StepSpec) -> bool {
    let is_short = |text: &String| text.len() <= MAX_LABEL_BYTES;
    let mut labels = spec.labels.iter();
    spec.labels.len() <= MAX_LABELS && labels.all(|(key, value)| is_short(key) && is_short(value))
}

fn check_dependencies(steps: &[StepSpec]) -> Result<(), JobError> {
    let mut names: BTreeSet<&StepName> = BTreeSet::new();
    for step in steps {
        require(names.insert(&step.name), || JobError::DuplicateStep {
            step: step.name.clone(),
        })?;
    }
    for step in steps {
        let mut seen = BTreeSet::new();
        for dependency in &step.after {
            require(names.contains(dependency), || JobError::UnknownDependency {
                step: step.name.clone(),
                dependency: dependency.clone(),
            })?;
            require(seen.insert(dependency), || JobError::DuplicateDependency {
                step: step.name.clone(),
                dependency: dependency.clone(),
            })?;
        }
    }
    check_cycle(steps)
}

/// Checks that the dependencies have no cycle. Repeatedly removes the steps whose
/// dependencies are all removed; steps that remain are on a cycle or depend on one.
fn check_cycle(steps: &[StepSpec]) -> Result<(), JobError> {
    let mut remaining: Vec<&StepSpec> = steps.iter().collect();
    let mut removed: BTreeSet<&StepName> = BTreeSet::new();
    loop {
        let (unblocked, blocked): (Vec<_>, Vec<_>) = remaining
            .into_iter()
            .partition(|step| step.after.iter().all(|name| removed.contains(name)));
        let Some(first) = blocked.first() else {
            return Ok(());
        };
        require(!unblocked.is_empty(), || JobError::DependencyCycle {
            step: first.name.clone(),
        })?;
        removed.extend(unblocked.into_iter().map(|step| &step.name));
        remaining = blocked;
    }
}

/// Checks that each step's licence exists, and that its tasks fit a runner and the
/// tenant's resource limit.
fn check_capacity(spec: &JobSpec, document: &ClusterConfiguration) -> Result<(), JobError> {
    let queue = document.queues.get(&spec.queue);
    let pool = queue.and_then(|queue| document.pools.get(&queue.pool));
    let largest = pool.map_or(Resources::ZERO, |pool| pool.largest_runner);
    let tenant = document.tenants.get(&spec.tenant);
    let resource_limit = tenant.map_or(Resources::ZERO, |tenant| tenant.resource_limit);
    for step in &spec.steps {
        if let Some(licence) = &step.rules.licence {
            require(document.licences.contains_key(licence), || {
                JobError::UnknownLicence {
                    step: step.name.clone(),
                    licence: licence.clone(),
                }
            })?;
        }
        require(step.resources.fits_in(&largest), || {
            JobError::LargerThanRunner {
                step: step.name.clone(),
                queue: spec.queue.clone(),
            }
        })?;
        require(step.resources.fits_in(&resource_limit), || {
            JobError::AboveResourceLimit {
                step: step.name.clone(),
                tenant: spec.tenant.clone(),
            }
        })?;
    }
    Ok(())
}
