//! The indexes of waiting tasks change no decision: a scheduler that examines
//! the first task of every shape decides the same.

mod support;

use configuration::{ClusterConfiguration, LicenceSettings};
use proptest::prelude::*;
use scheduler::{Decision, Scheduler};
use support::*;
use types::*;

const TENANTS: [&str; 2] = ["a", "b"];
const RUNNERS: [&str; 3] = ["r1", "r2", "r3"];
/// Time between two steps, in milliseconds. Tasks starve after some 20 steps.
const STEP_MS: u64 = 250;

/// Task of one random job. Small ranges, so that shapes repeat.
#[derive(Debug, Clone)]
struct RandomTask {
    tenant: usize,
    urgent: bool,
    cpu: u32,
    memory: u32,
    kind: Option<u8>,
    zone: Option<u8>,
    rack: Option<u8>,
    licensed: bool,
    copies: u32,
    max_per_runner: Option<u32>,
    /// Number of tasks of the gang; 1 for a task that is no gang.
    gang: u32,
}

#[derive(Debug, Clone)]
enum Step {
    Publish(RandomTask),
    Place,
    Reserve(usize),
    /// Closes an open run; its task runs again if `again` is true.
    Close {
        selector: usize,
        again: bool,
        failed: bool,
    },
    /// Changes what a runner has and reports.
    Heartbeat {
        runner: usize,
        kind: u8,
        zone: u8,
        large: bool,
    },
}

fn any_task() -> impl Strategy<Value = RandomTask> {
    let labels = (prop::option::of(0..3_u8), prop::option::of(0..3_u8));
    let rules = (
        prop::option::weighted(0.3, 0..3_u8),
        prop::bool::weighted(0.3),
        1..3_u32,
        prop::option::weighted(0.2, 1..3_u32),
        prop_oneof![3 => Just(1), 1 => 2..5_u32],
    );
    let needs = (1..12_u32, 1..12_u32);
    (0..TENANTS.len(), any::<bool>(), needs, labels, rules).prop_map(
        |(tenant, urgent, (cpu, memory), (kind, zone), rules)| RandomTask {
            tenant,
            urgent,
            cpu,
            memory,
            kind,
            zone,
            rack: rules.0,
            licensed: rules.1,
            copies: rules.2,
            max_per_runner: rules.3,
            gang: rules.4,
        },
    )
}

fn any_step() -> impl Strategy<Value = Step> {
    let runner = 0..RUNNERS.len();
    prop_oneof![
        6 => any_task().prop_map(Step::Publish),
        3 => Just(Step::Place),
        2 => runner.clone().prop_map(Step::Reserve),
        3 => (any::<usize>(), any::<bool>(), any::<bool>())
            .prop_map(|(selector, again, failed)| Step::Close { selector, again, failed }),
        3 => (runner, 0..3_u8, 0..3_u8, any::<bool>())
            .prop_map(|(runner, kind, zone, large)| Step::Heartbeat { runner, kind, zone, large }),
    ]
}

fn licence() -> LicenceName {
    LicenceName::new("tool").unwrap()
}

fn label(name: &str, value: u8) -> (String, String) {
    (name.to_owned(), value.to_string())
}

fn rack(number: u8) -> RackName {
    RackName::new(format!("rack-{number}")).unwrap()
}

fn resources(cpu: u32, memory: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli: cpu * 1_000,
        memory_mib: memory * 1_000,
        gpus: 0,
    }
}

fn task_meta(job: u64, index: u32, random: &RandomTask) -> TaskMeta {
    let mut new = meta(job, TENANTS[random.tenant], 1);
    new.task.task = index;
    new.step_tasks = random.gang;
    new.rules.gang = random.gang > 1;
    new.resources = resources(random.cpu, random.memory);
    new.urgency = if random.urgent {
        Urgency::Urgent
    } else {
        Urgency::Normal
    };
    new.labels
        .extend(random.kind.map(|kind| label("kind", kind)));
    new.labels
        .extend(random.zone.map(|zone| label("zone", zone)));
    new.rules.preferred_rack = random.rack.map(rack);
    new.rules.licence = random.licensed.then(licence);
    new.rules.max_per_runner = random.max_per_runner;
    new.max_copies = if new.rules.gang { 1 } else { random.copies };
    new
}

fn configuration() -> ClusterConfiguration {
    let mut document = document(&[("a", 1), ("b", 1)]);
    let settings = LicenceSettings { seats: 2 };
    document.licences.insert(licence(), settings);
    let limit = resources(20, 20).times(1);
    for settings in document.tenants.values_mut() {
        settings.resource_limit = Resources { slots: 64, ..limit };
    }
    document
}

fn heartbeat(runner: usize, sequence: u64, kind: u8, zone: u8, large: bool) -> RunnerReport {
    let size = if large { 16 } else { 8 };
    let capacity = Resources {
        slots: 8,
        ..resources(size, 16 - size / 2)
    };
    RunnerReport {
        labels: Labels::from([label("kind", kind), label("zone", zone)]),
        rack: rack(zone),
        capacity,
        free: capacity,
        ..report(RUNNERS[runner], sequence, 1, 1)
    }
}

fn run_steps(mut scheduler: Scheduler, steps: &[Step]) -> Vec<Decision> {
    let mut metas: Vec<TaskMeta> = Vec::new();
    let mut open: Vec<Reservation> = Vec::new();
    let mut decisions = Vec::new();
    for (number, step) in (1_u64..).zip(steps) {
        let now = at(number * STEP_MS);
        let new = match step {
            Step::Publish(random) => {
                for index in 0..random.gang {
                    let new = task_meta(number, index, random);
                    metas.push(new.clone());
                    scheduler.publish(new, now);
                }
                Vec::new()
            }
            Step::Place => scheduler.place(now, 64),
            Step::Reserve(index) => {
                let decision = scheduler.reserve(&runner(RUNNERS[*index]), now);
                decision.into_iter().collect()
            }
            Step::Close {
                selector,
                again,
                failed,
            } => {
                if !open.is_empty() {
                    let closed = open.remove(selector % open.len());
                    scheduler.record_outcome(&closed.runner, closed.task, *failed, now);
                    match metas.iter().find(|meta| meta.task == closed.task) {
                        Some(meta) if *again => scheduler.reschedule(closed.run, meta.clone(), now),
                        _ => scheduler.remove_run(closed.run),
                    }
                }
                Vec::new()
            }
            Step::Heartbeat {
                runner,
                kind,
                zone,
                large,
            } => {
                scheduler.heartbeat(&heartbeat(*runner, number, *kind, *zone, *large), now);
                Vec::new()
            }
        };
        open.extend(all_placed(new.clone()));
        decisions.extend(new);
    }
    decisions
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decisions_are_those_of_exhaustive_scans(
        steps in prop::collection::vec(any_step(), 1..150),
    ) {
        let indexed = scheduler(&configuration());
        let mut exhaustive = indexed.clone();
        exhaustive.scan_without_indexes();
        prop_assert_eq!(run_steps(indexed, &steps), run_steps(exhaustive, &steps));
    }
}
