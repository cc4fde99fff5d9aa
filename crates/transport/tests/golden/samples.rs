//! Sample values in which each field differs from its default and from adjacent
//! fields, so that swapping two fields changes the bytes. No field is filled from a
//! default, so a new field does not compile until it has a sample value.

use configuration::{
    ClusterConfiguration, ConfigurationUpdate, ErrorBudget, Key, KeyHash, KeyRole, LeftOutQueues,
    LicenceSettings, PoolSettings, QueueMode, QueueSettings, RemovedItems, TenantSettings, Timings,
    UpsertedItems,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::str::FromStr;
use types::*;

pub const QUEUE_MODES: [QueueMode; 4] = [
    QueueMode::Shadow,
    QueueMode::Active,
    QueueMode::Paused,
    QueueMode::Draining,
];

/// Parses a name of any type.
pub fn name<Name: FromStr<Err = InvalidName>>(text: &str) -> Name {
    text.parse().unwrap()
}

pub fn key(tenant: &str, job: &str) -> JobKey {
    JobKey {
        tenant: name(tenant),
        job: name(job),
    }
}

pub fn resources(first: u32) -> Resources {
    Resources {
        slots: first,
        cpu_milli: first + 1_000,
        memory_mib: first + 70_000,
        gpus: first + 2,
    }
}

pub fn run(sequence: u64) -> RunId {
    RunId {
        term: Term(sequence + 300),
        sequence,
    }
}

pub fn task(number: u64) -> TaskRef {
    TaskRef {
        job: JobNumber(number),
        step: 5,
        task: 77,
    }
}

fn rules() -> StepRules {
    StepRules {
        start_at: Some(WallTime(1_700_000_000_111)),
        preferred_rack: Some(name("beech")),
        max_per_runner: Some(13),
        gang: false,
        same_rack: false,
        endless: false,
        expected: Some(Milliseconds(14_000)),
        licence: Some(name("cedar")),
    }
}

fn step(step_name: &str, rules: StepRules) -> StepSpec {
    StepSpec {
        name: name(step_name),
        after: vec![name("elm"), name("fir")],
        tasks: 21,
        resources: resources(3),
        labels: BTreeMap::from([("wood".to_owned(), "hard".to_owned())]),
        max_copies: 6,
        allowed_failures: 44,
        time_limit: Milliseconds(90_000),
        payload: "cut it".to_owned(),
        rules,
    }
}

/// Returns a job with a step for each flag of the rules, and one with no flag set.
pub fn job(urgency: Urgency) -> JobSpec {
    JobSpec {
        tenant: name("acorn"),
        job: name("birch-1"),
        queue: name("hazel"),
        urgency,
        start_at: Some(WallTime(1_700_000_000_222)),
        payload: "plant it".to_owned(),
        steps: vec![
            step("oak", rules()),
            step(
                "gum",
                StepRules {
                    gang: true,
                    ..rules()
                },
            ),
            step(
                "ivy",
                StepRules {
                    same_rack: true,
                    ..rules()
                },
            ),
            step(
                "yew",
                StepRules {
                    endless: true,
                    ..rules()
                },
            ),
        ],
    }
}

/// Returns a job without optional values, with the minimum of each number.
pub fn plain_job() -> JobSpec {
    JobSpec {
        tenant: name("acorn"),
        job: name("birch-2"),
        queue: name("hazel"),
        urgency: Urgency::Normal,
        start_at: None,
        payload: String::new(),
        steps: vec![StepSpec {
            name: name("oak"),
            after: Vec::new(),
            tasks: 1,
            resources: Resources::ZERO,
            labels: Labels::new(),
            max_copies: 1,
            allowed_failures: 0,
            time_limit: Milliseconds(1),
            payload: String::new(),
            rules: StepRules {
                start_at: None,
                preferred_rack: None,
                max_per_runner: None,
                gang: false,
                same_rack: false,
                endless: false,
                expected: None,
                licence: None,
            },
        }],
    }
}

fn pool() -> PoolSettings {
    PoolSettings {
        largest_runner: resources(64),
    }
}

fn queue(mode: QueueMode) -> QueueSettings {
    QueueSettings {
        pool: name("maple"),
        mode,
        max_unfinished_jobs: 500,
        priority: 9,
    }
}

fn tenant_settings() -> TenantSettings {
    TenantSettings {
        share_percent: 35,
        resource_limit: resources(200),
        error_budget: ErrorBudget {
            late_after: Milliseconds(60_000),
            late_per_thousand: 15,
            failed_per_thousand: 25,
        },
        submits_per_second: 40,
        submit_burst: 80,
        max_unfinished_jobs: 700,
    }
}

fn licence() -> LicenceSettings {
    LicenceSettings { seats: 11 }
}

pub fn key_roles(tenant: &str) -> Vec<KeyRole> {
    vec![
        KeyRole::Caller(name(tenant)),
        KeyRole::Operator,
        KeyRole::Runner,
    ]
}

/// Returns a key for each role.
pub fn keys(tenant: &str) -> Vec<Key> {
    let numbered = (1..).zip(key_roles(tenant));
    let keys = numbered.map(|(number, role)| Key {
        id: name(&format!("pine.{number}")),
        role,
        hash: KeyHash {
            salt: [number; 16],
            digest: [number + 100; 32],
        },
    });
    keys.collect()
}

pub fn timings() -> Timings {
    Timings {
        run_lease: Milliseconds(18_001),
        run_lease_margin: Milliseconds(2_003),
        retry_backoff: Milliseconds(211),
        max_retry_backoff: Milliseconds(10_007),
        retention: Milliseconds(3_600_011),
    }
}

fn queues() -> BTreeMap<QueueName, QueueSettings> {
    let numbered = (1..).zip(QUEUE_MODES);
    let queues = numbered.map(|(number, mode)| (name(&format!("hazel-{number}")), queue(mode)));
    queues.collect()
}

pub fn document(left_out: LeftOutQueues) -> ClusterConfiguration {
    ClusterConfiguration {
        pools: BTreeMap::from([(name("maple"), pool())]),
        queues: queues(),
        tenants: BTreeMap::from([(name("acorn"), tenant_settings())]),
        licences: BTreeMap::from([(name("cedar"), licence())]),
        keys: keys("acorn"),
        timings: timings(),
        replaces: Some(ConfigurationVersion(16)),
        left_out,
        source: Some("as it was written".to_owned()),
    }
}

pub fn update() -> ConfigurationUpdate {
    ConfigurationUpdate {
        replaces: ConfigurationVersion(18),
        upsert: UpsertedItems {
            pools: BTreeMap::from([(name("maple"), pool())]),
            queues: queues(),
            tenants: BTreeMap::from([(name("acorn"), tenant_settings())]),
            licences: BTreeMap::from([(name("cedar"), licence())]),
            keys: keys("acorn"),
        },
        remove: RemovedItems {
            pools: BTreeSet::from([name("gone-1")]),
            queues: BTreeSet::from([name("gone-2")]),
            tenants: BTreeSet::from([name("gone-3")]),
            licences: BTreeSet::from([name("gone-4")]),
            keys: BTreeSet::from([name("gone-5")]),
        },
        source: Some("as it reads now".to_owned()),
        sent: Some("as it was sent".to_owned()),
    }
}

pub fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Done,
        Outcome::Failed("it broke".to_owned()),
        Outcome::Stopped,
    ]
}

/// Returns every reason to close a run; for an ended run, every outcome.
pub fn run_closes() -> Vec<RunClose> {
    let others = [
        RunClose::Revoked,
        RunClose::Lost,
        RunClose::Rejected,
        RunClose::TimedOut,
    ];
    let ended = outcomes().into_iter().map(RunClose::Ended);
    ended.chain(others).collect()
}

pub fn reservations() -> Vec<Reservation> {
    vec![
        Reservation {
            run: run(41),
            task: task(9),
            runner: name("rowan"),
            incarnation: RunnerIncarnation(6),
            endpoint: Some(name("10.1.2.3:7000")),
            self_stop: true,
        },
        Reservation {
            run: run(42),
            task: task(10),
            runner: name("sorb"),
            incarnation: RunnerIncarnation(7),
            endpoint: None,
            self_stop: false,
        },
    ]
}

pub const ROLES: [Role; 3] = [Role::Coordinator, Role::Gateway, Role::Agent];

pub fn socket(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

pub fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: name("upper-wood"),
        socket: socket("10.20.30.40:7001"),
    }
}

/// Returns the address of a daemon of each role.
pub fn addresses() -> Vec<Address> {
    let numbered = (900..).zip(ROLES);
    numbered.map(|(node, role)| address(node, role)).collect()
}
