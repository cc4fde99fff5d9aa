//! Job mixes of the two example deployments, drawn from a seed.
//!
//! Re-exports the fleet and the configuration that the mixes are sized for.

use crate::fleet::{ACCELERATED_LICENCE, ACCELERATOR_LABEL, ACCELERATOR_VALUE, checked_name};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::RangeInclusive;
use types::{JobSpec, Labels, LicenceName, Milliseconds, Resources, StepRules, StepSpec, Urgency};

pub use crate::fleet::{RunnerTemplate, example_configuration, pool_runners};
pub use crate::mix::Mix;

/// Time limit of every run of the mixes.
const TIME_LIMIT: Milliseconds = Milliseconds(30_000);
/// Failed runs that each task may have without failing its job.
const ALLOWED_FAILURES: u32 = 3;

/// Returns the kinds of job that a mix draws from.
fn job_kinds(mix: Mix) -> &'static [JobKind] {
    match mix {
        Mix::Media => MEDIA_JOBS,
        Mix::Documents => DOCUMENTS_JOBS,
    }
}

/// Kind of job in a mix.
struct JobKind {
    jobs_per_second: f64,
    queue: &'static str,
    urgency: Urgency,
    /// Tenants that submit this kind, with their relative weights.
    tenants: &'static [(&'static str, u32)],
    steps: &'static [StepKind],
}

/// Step of a kind of job. Starts after the previous step is done.
struct StepKind {
    name: &'static str,
    tasks: RangeInclusive<u32>,
    duration_ms: RangeInclusive<u64>,
    resources: Resources,
}

const fn cores(cpu_milli: u32, memory_mib: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli,
        memory_mib,
        gpus: 0,
    }
}

const ONE_GPU: Resources = Resources {
    slots: 1,
    cpu_milli: 2_000,
    memory_mib: 4_096,
    gpus: 1,
};

const fn step(
    name: &'static str,
    tasks: RangeInclusive<u32>,
    duration_ms: RangeInclusive<u64>,
    resources: Resources,
) -> StepKind {
    StepKind {
        name,
        tasks,
        duration_ms,
        resources,
    }
}

/// Kinds of the media mix. At the ordinary load they occupy about 17 of the
/// pool's 40 slots.
const MEDIA_JOBS: &[JobKind] = &[
    JobKind {
        jobs_per_second: 36.0,
        queue: "hover",
        urgency: Urgency::Urgent,
        tenants: &[("editors", 8), ("poster", 1), ("finishing", 1)],
        steps: &[step("frame", 1..=1, 30..=120, cores(500, 256))],
    },
    JobKind {
        jobs_per_second: 3.0,
        queue: "batch",
        urgency: Urgency::Normal,
        tenants: &[("poster", 3), ("finishing", 1)],
        steps: &[
            step("cells", 4..=8, 150..=450, cores(1_000, 512)),
            step("assemble", 1..=1, 300..=600, cores(1_000, 1_024)),
        ],
    },
    JobKind {
        jobs_per_second: 1.5,
        queue: "batch",
        urgency: Urgency::Normal,
        tenants: &[("poster", 1), ("finishing", 1)],
        steps: &[step("strip", 2..=4, 400..=800, cores(2_000, 1_024))],
    },
    JobKind {
        jobs_per_second: 1.2,
        queue: "gpu",
        urgency: Urgency::Normal,
        tenants: &[("finishing", 2), ("poster", 1)],
        steps: &[step("upscale", 1..=1, 500..=3_500, ONE_GPU)],
    },
    JobKind {
        jobs_per_second: 1.3,
        queue: "gpu",
        urgency: Urgency::Normal,
        tenants: &[("finishing", 3), ("editors", 1)],
        steps: &[step("colour", 1..=1, 500..=5_000, ONE_GPU)],
    },
];

/// Kinds of the documents mix. At the ordinary load they occupy about 21 of the
/// pool's 48 slots.
const DOCUMENTS_JOBS: &[JobKind] = &[
    JobKind {
        jobs_per_second: 44.0,
        queue: "lookup",
        urgency: Urgency::Urgent,
        tenants: &[
            ("status-desk", 8),
            ("bid-review", 1),
            ("document-intelligence", 1),
        ],
        steps: &[step("lookup", 1..=1, 30..=90, cores(250, 128))],
    },
    JobKind {
        jobs_per_second: 4.0,
        queue: "checks",
        urgency: Urgency::Normal,
        tenants: &[("bid-review", 3), ("document-intelligence", 1)],
        steps: &[
            step("read", 3..=5, 200..=400, cores(1_000, 512)),
            step("check", 1..=3, 300..=500, cores(1_000, 1_024)),
            step("report", 1..=1, 100..=300, cores(500, 512)),
        ],
    },
    JobKind {
        jobs_per_second: 2.0,
        queue: "checks",
        urgency: Urgency::Normal,
        tenants: &[("bid-review", 1), ("document-intelligence", 1)],
        steps: &[
            step("compare", 3..=7, 300..=500, cores(1_000, 512)),
            step("summarise", 1..=1, 200..=400, cores(1_000, 512)),
        ],
    },
    JobKind {
        jobs_per_second: 2.0,
        queue: "scan",
        urgency: Urgency::Normal,
        tenants: &[("document-intelligence", 3), ("bid-review", 1)],
        steps: &[step("scan", 1..=1, 500..=5_000, ONE_GPU)],
    },
];

/// Generator of the jobs of a mix. Equal seeds give equal jobs.
#[derive(Debug)]
pub struct Workload {
    mix: Mix,
    prefix: String,
    random: ChaCha8Rng,
    jobs_drawn: u64,
}

impl Workload {
    /// Creates a workload. `prefix` starts every job identifier.
    ///
    /// # Panics
    ///
    /// [`Workload::next_job`] panics if `prefix` cannot start a valid name.
    pub fn new(mix: Mix, prefix: &str, seed: u64) -> Self {
        Self {
            mix,
            prefix: prefix.to_owned(),
            random: ChaCha8Rng::seed_from_u64(seed),
            jobs_drawn: 0,
        }
    }

    /// Returns the mean number of jobs per second at the ordinary load.
    pub fn jobs_per_second(&self) -> f64 {
        let kinds = job_kinds(self.mix).iter();
        kinds.map(|kind| kind.jobs_per_second).sum()
    }

    /// Draws a job. Its identifier is the prefix and a number that counts up from 1.
    pub fn next_job(&mut self) -> JobSpec {
        let kind = self.draw_kind();
        let tenant = self.draw_tenant(kind);
        self.jobs_drawn += 1;
        JobSpec {
            payload: String::new(),
            tenant: checked_name(tenant),
            job: checked_name(&format!("{}-{}", self.prefix, self.jobs_drawn)),
            queue: checked_name(kind.queue),
            urgency: kind.urgency,
            start_at: None,
            steps: self.draw_steps(kind),
        }
    }

    fn draw_kind(&mut self) -> &'static JobKind {
        let kinds = job_kinds(self.mix);
        let mut drawn = self.random.random_range(0.0..self.jobs_per_second());
        for kind in kinds {
            if drawn < kind.jobs_per_second {
                return kind;
            }
            drawn -= kind.jobs_per_second;
        }
        &kinds[0]
    }

    fn draw_tenant(&mut self, kind: &JobKind) -> &'static str {
        let total: u32 = kind.tenants.iter().map(|(_, weight)| weight).sum();
        let mut drawn = self.random.random_range(0..total);
        for (tenant, weight) in kind.tenants {
            if drawn < *weight {
                return tenant;
            }
            drawn -= weight;
        }
        kind.tenants[0].0
    }

    fn draw_steps(&mut self, kind: &JobKind) -> Vec<StepSpec> {
        let mut steps: Vec<StepSpec> = Vec::with_capacity(kind.steps.len());
        for step in kind.steps {
            let after = steps.last().map(|previous| previous.name.clone());
            let duration = self.random.random_range(step.duration_ms.clone());
            steps.push(StepSpec {
                rules: StepRules {
                    licence: licence_for(step.resources),
                    ..StepRules::default()
                },
                name: checked_name(step.name),
                after: after.into_iter().collect(),
                tasks: self.random.random_range(step.tasks.clone()),
                resources: step.resources,
                labels: labels_for(step.resources),
                max_copies: 1,
                allowed_failures: ALLOWED_FAILURES,
                time_limit: TIME_LIMIT,
                payload: format!(r#"{{"duration_ms":{duration}}}"#),
            });
        }
        steps
    }
}

/// Returns [`ACCELERATED_LICENCE`] for a task with accelerators, otherwise `None`.
fn licence_for(resources: Resources) -> Option<LicenceName> {
    (resources.gpus > 0).then(|| checked_name(ACCELERATED_LICENCE))
}

fn labels_for(resources: Resources) -> Labels {
    if resources.gpus == 0 {
        return Labels::new();
    }
    Labels::from([(ACCELERATOR_LABEL.to_owned(), ACCELERATOR_VALUE.to_owned())])
}
