//! Random fleets, jobs and events.

use crate::support::fleet::{add_queue, lift_limits};
use crate::support::{contract, document, queue, tenant};
use configuration::{ClusterConfiguration, LicenceSettings, PoolSettings};
use proptest::prelude::*;
use types::*;

/// Time until which jobs arrive and events happen, in milliseconds.
pub const ARRIVALS_MS: u64 = 8_000;
pub const TENANTS: [&str; 3] = ["a", "b", "c"];
/// Queues with their priorities; the last one belongs to the pool `other`.
pub const QUEUES: [(&str, u8); 4] = [("live", 0), ("main", 1), ("late", 2), ("apart", 1)];
pub const OTHER_POOL: &str = "other";
/// Seats of the licence that some jobs need.
const SEATS: u32 = 4;
/// Number of runners of a pool from which on one of them may go on probation.
const MIN_POOL_WITH_PROBATION: usize = 3;
/// Start of the failures of a failing runner.
const FAILS_FROM_MS: u64 = 1_000;
/// Number of failures after which a job that always fails has failed.
pub const MAX_FAILURES: u32 = 2;

pub fn licence() -> LicenceName {
    LicenceName::new("finishing").unwrap()
}

/// Runner of a random fleet.
#[derive(Debug, Clone)]
pub struct RunnerPlan {
    pub in_other_pool: bool,
    pub cores: u32,
    pub gpus: u32,
    pub has_label: bool,
    pub rack: u8,
}

/// How the runs of a job end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Done after this time, in milliseconds.
    Done(u64),
    /// Not before the job is cancelled.
    Never,
    /// Failed after this time, in milliseconds, whatever the runner.
    Failed(u64),
}

/// Random job of one or two equal steps.
#[derive(Debug, Clone)]
pub struct JobPlan {
    pub at_ms: u64,
    pub tenant: usize,
    pub queue: usize,
    pub tasks: u32,
    pub cores: u32,
    pub gpus: u32,
    pub needs_label: bool,
    /// Whether no runner has the label that the job needs.
    pub is_impossible: bool,
    pub rack: Option<u8>,
    pub is_gang: bool,
    pub copies: u32,
    pub max_per_runner: Option<u32>,
    pub is_licensed: bool,
    pub has_estimate: bool,
    pub start_delay_ms: u64,
    pub ending: Ending,
    pub has_second_step: bool,
}

/// Random event. Runners and jobs are chosen by the remainder of the number.
#[derive(Debug, Clone)]
pub enum Event {
    FailAll { runner: usize, for_ms: u64 },
    Leave { runner: usize },
    Return { runner: usize, cores: u32 },
    Freeze { runner: usize, for_ms: u64 },
    Drain { runner: usize },
    Cancel { job: usize },
    ChangeLimit { tenant: usize, cores: u32 },
    ChangeLeader,
}

/// Random fleet with its load and events.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub runners: Vec<RunnerPlan>,
    /// Resource limit of each tenant in cores; 0 is no limit.
    pub limits: Vec<u32>,
    pub jobs: Vec<JobPlan>,
    pub events: Vec<(u64, Event)>,
}

/// Returns resources of this many cores and accelerators.
pub fn resources(cores: u32, gpus: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli: 1_000 * cores,
        memory_mib: 512 * cores,
        gpus,
    }
}

/// Returns the resource limit of so many cores; 0 is no limit.
fn limit(cores: u32) -> Resources {
    if cores == 0 {
        return Resources::UNLIMITED;
    }
    Resources {
        cpu_milli: 1_000 * cores,
        ..Resources::UNLIMITED
    }
}

/// Returns the configuration of a scenario.
pub fn configuration(limits: &[u32]) -> ClusterConfiguration {
    let mut document = document(&[]);
    lift_limits(&mut document, &TENANTS);
    for (name, cores) in TENANTS.iter().zip(limits) {
        let settings = contract(100, limit(*cores));
        document.tenants.insert(tenant(name), settings);
    }
    let seats = LicenceSettings { seats: SEATS };
    document.licences.insert(licence(), seats);
    for (name, priority) in QUEUES {
        add_queue(&mut document, name, priority);
    }
    let other = PoolName::new(OTHER_POOL).unwrap();
    let settings = PoolSettings {
        largest_runner: Resources::UNLIMITED,
    };
    document.pools.insert(other.clone(), settings);
    let (apart, _) = QUEUES[QUEUES.len() - 1];
    document.queues.get_mut(&queue(apart)).unwrap().pool = other;
    document
}

fn any_runner() -> impl Strategy<Value = RunnerPlan> {
    let cores = prop_oneof![Just(8_u32), Just(16), Just(32)];
    let gpus = prop_oneof![2 => Just(0_u32), 1 => Just(8)];
    (
        prop::bool::weighted(0.2),
        cores,
        gpus,
        prop::bool::weighted(0.3),
        0..3_u8,
    )
        .prop_map(|(in_other_pool, cores, gpus, has_label, rack)| RunnerPlan {
            in_other_pool,
            cores,
            gpus,
            has_label,
            rack,
        })
}

fn any_ending() -> impl Strategy<Value = Ending> {
    prop_oneof![
        6 => (200..2_000_u64).prop_map(Ending::Done),
        3 => (2_000..6_000_u64).prop_map(Ending::Done),
        2 => (15_000..90_000_u64).prop_map(Ending::Done),
        3 => Just(Ending::Never),
        1 => (100..600_u64).prop_map(Ending::Failed),
    ]
}

fn any_job() -> impl Strategy<Value = JobPlan> {
    let tasks = prop_oneof![6 => 1..3_u32, 3 => 3..8_u32, 1 => 8..40_u32];
    let cores = prop_oneof![4 => 1..3_u32, 3 => 3..9_u32, 2 => 9..33_u32];
    let gpus = prop_oneof![3 => Just(0_u32), 1 => 1..9_u32];
    let size = (tasks, cores, gpus);
    let place = (
        prop::bool::weighted(0.3),
        prop::bool::weighted(0.06),
        prop::option::weighted(0.2, 0..3_u8),
        prop::option::weighted(0.15, 1..3_u32),
    );
    let kind = (
        prop::bool::weighted(0.25),
        prop_oneof![8 => Just(1_u32), 1 => Just(2)],
        prop::bool::weighted(0.15),
        prop::bool::weighted(0.6),
        prop::bool::weighted(0.2),
    );
    let start_delay_ms = prop_oneof![5 => Just(0_u64), 1 => 500..4_000_u64];
    (
        (0..ARRIVALS_MS, 0..TENANTS.len(), 0..QUEUES.len()),
        size,
        place,
        kind,
        start_delay_ms,
        any_ending(),
    )
        .prop_map(|(origin, size, place, kind, start_delay_ms, ending)| {
            let (at_ms, tenant, queue) = origin;
            let (tasks, cores, gpus) = size;
            let (needs_label, is_impossible, rack, max_per_runner) = place;
            let (is_gang, copies, is_licensed, has_estimate, has_second_step) = kind;
            JobPlan {
                at_ms,
                tenant,
                queue,
                tasks,
                cores,
                gpus,
                needs_label,
                is_impossible,
                rack,
                is_gang,
                copies: if is_gang || ending == Ending::Never {
                    1
                } else {
                    copies
                },
                max_per_runner,
                is_licensed,
                has_estimate,
                start_delay_ms,
                ending,
                has_second_step,
            }
        })
}

fn any_event() -> impl Strategy<Value = Event> {
    let runner = 0..60_usize;
    prop_oneof![
        3 => (runner.clone(), 500..7_000_u64)
            .prop_map(|(runner, for_ms)| Event::FailAll { runner, for_ms }),
        2 => runner.clone().prop_map(|runner| Event::Leave { runner }),
        2 => (runner.clone(), prop_oneof![Just(8_u32), Just(16), Just(32)])
            .prop_map(|(runner, cores)| Event::Return { runner, cores }),
        1 => (runner.clone(), 500..4_000_u64)
            .prop_map(|(runner, for_ms)| Event::Freeze { runner, for_ms }),
        1 => runner.prop_map(|runner| Event::Drain { runner }),
        2 => (0..40_usize).prop_map(|job| Event::Cancel { job }),
        1 => (0..TENANTS.len(), prop_oneof![Just(0_u32), 16..200_u32])
            .prop_map(|(tenant, cores)| Event::ChangeLimit { tenant, cores }),
        1 => Just(Event::ChangeLeader),
    ]
}

/// Returns random scenarios, most of them small.
pub fn any_scenario() -> impl Strategy<Value = Scenario> {
    let runners = prop_oneof![
        8 => prop::collection::vec(any_runner(), 1..8),
        3 => prop::collection::vec(any_runner(), 8..20),
        1 => prop::collection::vec(any_runner(), 20..61),
    ];
    let limit = prop_oneof![2 => Just(0_u32), 1 => 32..300_u32];
    let limits = prop::collection::vec(limit, TENANTS.len());
    let jobs = prop::collection::vec(any_job(), 1..25);
    let events = prop::collection::vec((0..ARRIVALS_MS, any_event()), 0..8);
    let focus = prop_oneof![
        12 => Just(Focus::Any),
        6 => Just(Focus::OneRunner),
        2 => Just(Focus::FailingRunner),
    ];
    (runners, limits, jobs, events, focus).prop_map(|(runners, limits, jobs, events, focus)| {
        let scenario = Scenario {
            runners,
            limits,
            jobs,
            events,
        };
        match focus {
            Focus::Any => scenario,
            Focus::OneRunner => narrow(scenario),
            Focus::FailingRunner => fail_first_runner(narrow(scenario)),
        }
    })
}

/// What a scenario is about.
#[derive(Debug, Clone, Copy)]
enum Focus {
    Any,
    /// Most jobs fit on one runner only.
    OneRunner,
    /// That runner fails all it starts for a while, beside a lasting run.
    FailingRunner,
}

/// Gives the first runner a lasting run, and lets it fail all it starts after that while
/// short jobs arrive.
fn fail_first_runner(mut scenario: Scenario) -> Scenario {
    let Some(first) = scenario.runners.first().cloned() else {
        return scenario;
    };
    let other = RunnerPlan {
        has_label: false,
        ..first
    };
    while scenario.runners.len() < MIN_POOL_WITH_PROBATION {
        scenario.runners.push(other.clone());
    }
    for (number, job) in scenario.jobs.iter_mut().enumerate() {
        job.is_gang = false;
        job.is_impossible = false;
        job.is_licensed = false;
        job.start_delay_ms = 0;
        job.ending = match job.ending {
            _ if number == 0 => Ending::Never,
            Ending::Failed(duration) => Ending::Failed(duration),
            Ending::Done(duration) => Ending::Done(duration.min(2_000)),
            Ending::Never => Ending::Done(500),
        };
        let window = job.at_ms % (ARRIVALS_MS / 2);
        job.at_ms = if number == 0 {
            0
        } else {
            FAILS_FROM_MS + window
        };
        job.cores = job.cores.min(2);
        job.tasks = job.tasks.min(2);
    }
    let fails = Event::FailAll {
        runner: 0,
        for_ms: ARRIVALS_MS / 2,
    };
    scenario.events = vec![(FAILS_FROM_MS, fails)];
    scenario
}

/// Makes the first runner the only one that may run most jobs, which are small, and lets it
/// be struck by half of the events.
fn narrow(mut scenario: Scenario) -> Scenario {
    for (number, runner) in scenario.runners.iter_mut().enumerate() {
        runner.has_label = number == 0;
        runner.in_other_pool = false;
    }
    for (number, job) in scenario.jobs.iter_mut().enumerate() {
        if number % 4 == 3 {
            continue;
        }
        job.queue %= QUEUES.len() - 1;
        job.needs_label = true;
        job.tasks = job.tasks.min(4);
        job.cores = job.cores.min(4);
        job.gpus = 0;
    }
    for (_, event) in &mut scenario.events {
        if let Event::FailAll { runner, .. }
        | Event::Freeze { runner, .. }
        | Event::Leave { runner }
        | Event::Return { runner, .. } = event
        {
            *runner *= *runner % 2;
        }
    }
    scenario
}
