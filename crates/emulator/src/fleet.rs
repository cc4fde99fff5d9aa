//! Runners and cluster configuration that the two mixes are sized for.

use crate::mix::{DOCUMENTS_POOL, MEDIA_POOL, Mix};
use configuration::{
    ClusterConfiguration, ErrorBudget, LeftOutQueues, LicenceSettings, PoolSettings, QueueMode,
    QueueSettings, TenantSettings, Timings,
};
use std::fmt::Debug;
use std::str::FromStr;
use types::{InvalidName, Labels, Milliseconds, PoolName, RackName, Resources};

/// Key of the label on runners with accelerators.
pub const ACCELERATOR_LABEL: &str = "gpu";
/// Value of [`ACCELERATOR_LABEL`] on runners with accelerators.
pub const ACCELERATOR_VALUE: &str = "true";

/// Licence that every accelerated task needs.
pub const ACCELERATED_LICENCE: &str = "accelerated";
/// Seats of [`ACCELERATED_LICENCE`].
///
/// Fewer than the accelerators, so that the seats run out at times, but more
/// than the mean use of both mixes together (11.5), so that no backlog grows.
pub const ACCELERATED_SEATS: u32 = 14;

const SLOTS: u32 = 8;
const GPUS: u32 = 8;
const MEMORY_MIB_PER_CORE: u32 = 4_096;
const LARGEST_CORES: u32 = 128;
const RACKS: [&str; 3] = ["rack-1", "rack-2", "rack-3"];
/// Cores of each runner of the media mix, and whether it has accelerators.
const MEDIA_RUNNERS: [(u32, bool); 5] = [
    (16, false),
    (32, false),
    (64, true),
    (64, false),
    (128, true),
];
/// Cores of each runner of the documents mix, and whether it has accelerators.
const DOCUMENTS_RUNNERS: [(u32, bool); 6] = [
    (16, false),
    (16, false),
    (32, false),
    (64, true),
    (64, false),
    (128, true),
];

/// Properties of a runner of the fleet, without its name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnerTemplate {
    /// Pool that the runner belongs to.
    pub pool: PoolName,
    /// Rack that the runner is in.
    pub rack: RackName,
    /// Labels that a task may ask for; accelerated runners carry [`ACCELERATOR_LABEL`].
    pub labels: Labels,
    /// Total resources of the runner.
    pub capacity: Resources,
}

/// Returns the runners of a mix: 5 for media and 6 for documents.
///
/// Each has 8 slots and 16 to 128 cores; two of them have 8 accelerators.
pub fn pool_runners(mix: Mix) -> Vec<RunnerTemplate> {
    let sizes: &[(u32, bool)] = match mix {
        Mix::Media => &MEDIA_RUNNERS,
        Mix::Documents => &DOCUMENTS_RUNNERS,
    };
    let racks = RACKS.iter().cycle();
    sizes
        .iter()
        .zip(racks)
        .map(|((cores, accelerated), rack)| template(mix, rack, *cores, *accelerated))
        .collect()
}

fn template(mix: Mix, rack: &str, cores: u32, accelerated: bool) -> RunnerTemplate {
    let mut labels = Labels::new();
    if accelerated {
        labels.insert(ACCELERATOR_LABEL.to_owned(), ACCELERATOR_VALUE.to_owned());
    }
    RunnerTemplate {
        pool: checked_name(mix.pool()),
        rack: checked_name(rack),
        labels,
        capacity: capacity(cores, accelerated),
    }
}

const fn capacity(cores: u32, accelerated: bool) -> Resources {
    Resources {
        slots: SLOTS,
        cpu_milli: cores * 1_000,
        memory_mib: cores * MEMORY_MIB_PER_CORE,
        gpus: if accelerated { GPUS } else { 0 },
    }
}

/// Returns the configuration that both mixes need: two pools of 5 and 6
/// runners, their queues, six tenants and no keys.
pub fn example_configuration() -> ClusterConfiguration {
    ClusterConfiguration {
        replaces: None,
        left_out: LeftOutQueues::Refuse,
        source: None,
        licences: [(
            checked_name(ACCELERATED_LICENCE),
            LicenceSettings {
                seats: ACCELERATED_SEATS,
            },
        )]
        .into(),
        pools: [MEDIA_POOL, DOCUMENTS_POOL]
            .map(|pool| (checked_name(pool), pool_settings()))
            .into(),
        queues: [
            ("hover", MEDIA_POOL),
            ("batch", MEDIA_POOL),
            ("gpu", MEDIA_POOL),
            ("lookup", DOCUMENTS_POOL),
            ("checks", DOCUMENTS_POOL),
            ("scan", DOCUMENTS_POOL),
        ]
        .map(|(queue, pool)| (checked_name(queue), queue_settings(pool)))
        .into(),
        tenants: [
            ("poster", tenant(40, 28, 12)),
            ("finishing", tenant(40, 28, 12)),
            ("editors", tenant(20, 24, 8)),
            ("bid-review", tenant(40, 36, 8)),
            ("document-intelligence", tenant(40, 36, 14)),
            ("status-desk", tenant(20, 24, 4)),
        ]
        .map(|(name, settings)| (checked_name(name), settings))
        .into(),
        keys: Vec::new(),
        timings: Timings::default(),
    }
}

fn pool_settings() -> PoolSettings {
    PoolSettings {
        largest_runner: capacity(LARGEST_CORES, true),
    }
}

fn queue_settings(pool: &str) -> QueueSettings {
    QueueSettings {
        priority: 0,
        pool: checked_name(pool),
        mode: QueueMode::Active,
        max_unfinished_jobs: 50_000,
    }
}

fn tenant(share_percent: u32, slots: u32, gpus: u32) -> TenantSettings {
    TenantSettings {
        share_percent,
        resource_limit: Resources {
            slots,
            gpus,
            ..Resources::UNLIMITED
        },
        error_budget: ErrorBudget {
            late_after: Milliseconds::from_seconds(5),
            late_per_thousand: 10,
            failed_per_thousand: 10,
        },
        submits_per_second: 200,
        submit_burst: 400,
        max_unfinished_jobs: 20_000,
    }
}

/// Parses a name that this crate spells out.
///
/// # Panics
///
/// Panics if the name is not valid, which is a fault of the trial itself.
pub(crate) fn checked_name<Name>(text: &str) -> Name
where
    Name: FromStr<Err = InvalidName> + Debug,
{
    match Name::from_str(text) {
        Ok(name) => name,
        Err(problem) => panic!("{text:?} is not a valid name: {problem}"),
    }
}
