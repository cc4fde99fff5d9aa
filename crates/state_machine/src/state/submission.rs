//! Checks of a job at its submission: a job that can never succeed is rejected
//! with the reason.

use configuration::ClusterConfiguration;
use std::collections::BTreeSet;
use types::{JobSpec, Milliseconds, Resources, StepName, StepSpec};

/// Most steps of a job.
pub const MAX_STEPS: usize = 1_024;
/// Most tasks of a job over all its steps.
pub const MAX_TASKS: u64 = 10_000;
/// Most copies of one task that may run at once.
pub const MAX_COPIES: u32 = 8;
/// Most failed runs a task may be allowed.
pub const MAX_ALLOWED_FAILURES: u32 = 100;
/// Longest time limit of a run: seven days.
pub const MAX_TIME_LIMIT: Milliseconds = Milliseconds::from_seconds(7 * 24 * 60 * 60);
/// Longest payload of a step, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;
/// Most labels a step may ask for.
pub const MAX_LABELS: usize = 32;
/// Longest key or value of a label, in bytes.
pub const MAX_LABEL_BYTES: usize = 128;

/// The first thing wrong with a job. The caller has checked that its tenant
/// and queue are configured.
pub(crate) fn find_problem(spec: &JobSpec, document: &ClusterConfiguration) -> Option<String> {
    check_shape(spec)
        .and_then(|()| spec.steps.iter().try_for_each(check_step))
        .and_then(|()| check_order(&spec.steps))
        .and_then(|()| check_capacity(spec, document))
        .err()
}

fn require(good: bool, problem: impl FnOnce() -> String) -> Result<(), String> {
    if good { Ok(()) } else { Err(problem()) }
}

fn check_shape(spec: &JobSpec) -> Result<(), String> {
    let steps = spec.steps.len();
    require((1..=MAX_STEPS).contains(&steps), || {
        format!("a job has 1 to {MAX_STEPS} steps, this one has {steps}")
    })?;
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    require(tasks <= MAX_TASKS, || {
        format!("a job has at most {MAX_TASKS} tasks, this one has {tasks}")
    })
}

fn check_step(step: &StepSpec) -> Result<(), String> {
    let name = &step.name;
    require(step.tasks >= 1, || format!("step {name} has no tasks"))?;
    require((1..=MAX_COPIES).contains(&step.max_copies), || {
        format!("step {name} must allow 1 to {MAX_COPIES} copies")
    })?;
    require(step.allowed_failures <= MAX_ALLOWED_FAILURES, || {
        format!("step {name} may allow at most {MAX_ALLOWED_FAILURES} failures")
    })?;
    let rules = &step.rules;
    require(!rules.gang || step.max_copies == 1, || {
        format!("step {name} is a gang, so its tasks have one copy each")
    })?;
    require(rules.max_per_runner != Some(0), || {
        format!("step {name} may run nowhere: max_per_runner must be at least 1")
    })?;
    let limit = step.time_limit;
    require(limit.0 > 0 && limit <= MAX_TIME_LIMIT, || {
        format!("the time limit of step {name} must be 1 ms to {MAX_TIME_LIMIT}")
    })?;
    require(step.resources.slots >= 1, || {
        format!("a task of step {name} needs at least one slot")
    })?;
    require(step.payload.len() <= MAX_PAYLOAD_BYTES, || {
        format!("the payload of step {name} is longer than {MAX_PAYLOAD_BYTES} bytes")
    })?;
    let bounded = |text: &String| text.len() <= MAX_LABEL_BYTES;
    let labels = &step.labels;
    require(
        labels.len() <= MAX_LABELS && labels.iter().all(|(k, v)| bounded(k) && bounded(v)),
        || {
            format!(
                "step {name} may ask for at most {MAX_LABELS} labels of {MAX_LABEL_BYTES} bytes"
            )
        },
    )
}

fn check_order(steps: &[StepSpec]) -> Result<(), String> {
    let mut names: BTreeSet<&StepName> = BTreeSet::new();
    for step in steps {
        require(names.insert(&step.name), || {
            format!("two steps are named {}", step.name)
        })?;
    }
    for step in steps {
        let mut before = BTreeSet::new();
        for after in &step.after {
            require(names.contains(after), || {
                format!(
                    "step {} comes after {after}, which does not exist",
                    step.name
                )
            })?;
            require(before.insert(after), || {
                format!("step {} names {after} twice", step.name)
            })?;
        }
    }
    check_cycle(steps)
}

/// Takes away steps whose predecessors are gone; what stays is on a cycle or
/// behind one.
fn check_cycle(steps: &[StepSpec]) -> Result<(), String> {
    let mut left: Vec<&StepSpec> = steps.iter().collect();
    let mut gone: BTreeSet<&StepName> = BTreeSet::new();
    loop {
        let (free, blocked): (Vec<_>, Vec<_>) = left
            .into_iter()
            .partition(|step| step.after.iter().all(|name| gone.contains(name)));
        let Some(first) = blocked.first() else {
            return Ok(());
        };
        require(!free.is_empty(), || {
            format!("step {} waits for itself through a cycle", first.name)
        })?;
        gone.extend(free.into_iter().map(|step| &step.name));
        left = blocked;
    }
}

fn check_capacity(spec: &JobSpec, document: &ClusterConfiguration) -> Result<(), String> {
    let queue = document.queues.get(&spec.queue);
    let pool = queue.and_then(|queue| document.pools.get(&queue.pool));
    let largest = pool.map_or(Resources::ZERO, |pool| pool.largest_runner);
    let tenant = document.tenants.get(&spec.tenant);
    let resource_limit = tenant.map_or(Resources::ZERO, |tenant| tenant.resource_limit);
    for step in &spec.steps {
        let name = &step.name;
        if let Some(licence) = &step.rules.licence {
            require(document.licences.contains_key(licence), || {
                format!("step {name} needs the licence {licence}, which does not exist")
            })?;
        }
        require(step.resources.fits_in(&largest), || {
            format!(
                "a task of step {name} fits on no runner of queue {}",
                spec.queue
            )
        })?;
        require(step.resources.fits_in(&resource_limit), || {
            format!(
                "a task of step {name} exceeds the ceiling of tenant {}",
                spec.tenant
            )
        })?;
    }
    Ok(())
}
