//! Tasks that can start while many tasks with other needs wait before them.
//!
//! Guards against the fault of docs/incidents/hidden-jobs.md: a scan examined
//! the first tasks of a list only, always the same ones, so that enough
//! different needs that nothing could take hid every later task of the tenant.

mod support;

use configuration::LicenceSettings;
use scheduler::Scheduler;
use support::*;
use types::*;

/// Number of different needs that wait before the task of interest.
const NEEDS_BEFORE: u64 = 1_000;
/// Number of the job of interest, behind all others.
const LATER_JOB: u64 = 1_000_000;

/// Returns resources of which only CPU and memory differ between tasks.
fn resources(cpu_milli: u32, memory_mib: u32) -> Resources {
    Resources {
        slots: 1,
        cpu_milli,
        memory_mib,
        gpus: 0,
    }
}

const RUNNER_CAPACITY: Resources = Resources {
    slots: 64,
    cpu_milli: 32_000,
    memory_mib: 64_000,
    gpus: 0,
};

fn labels(kind: &str) -> Labels {
    Labels::from([("kind".to_owned(), kind.to_owned())])
}

/// Returns the heartbeat of a runner of a kind that has all its capacity free.
fn runner_of_kind(name: &str, kind: &str, sequence: u64) -> RunnerReport {
    RunnerReport {
        labels: labels(kind),
        capacity: RUNNER_CAPACITY,
        free: RUNNER_CAPACITY,
        ..report(name, sequence, 64, 64)
    }
}

fn unlimited_scheduler() -> Scheduler {
    scheduler(&unlimited_document())
}

fn unlimited_document() -> configuration::ClusterConfiguration {
    let mut document = document(&[("a", 1)]);
    for tenant in document.tenants.values_mut() {
        tenant.resource_limit = Resources::UNLIMITED;
    }
    document
}

/// Returns a small task that any runner could take.
fn later_task() -> TaskMeta {
    TaskMeta {
        resources: resources(250, 500),
        ..meta(LATER_JOB, "a", 1)
    }
}

fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap()
}

/// Returns a task that no runner can take, with needs that no other has: by
/// its labels, its CPU or its memory.
fn impossible_task(number: u64) -> TaskMeta {
    let mut impossible = meta(number, "a", 1);
    match number % 4 {
        0 => {
            impossible.labels = labels("absent");
            impossible.resources = resources(100 + small(number), 500);
        }
        1 => {
            impossible.labels = labels(&format!("absent-{number}"));
            impossible.resources = resources(250, 500);
        }
        2 => impossible.resources = resources(32_001 + small(number), 500),
        _ => impossible.resources = resources(100, 64_001 + small(number)),
    }
    impossible
}

fn publish_impossible_tasks(scheduler: &mut Scheduler, now: Now) {
    for number in 1..=NEEDS_BEFORE {
        scheduler.publish(impossible_task(number), now);
    }
}

fn placed_tasks(scheduler: &mut Scheduler, now: Now) -> Vec<TaskRef> {
    let placed = all_placed(scheduler.place(now, 512));
    placed.into_iter().map(|one| one.task).collect()
}

/// Jobs behind needs that no runner can meet never started.
#[test]
fn task_behind_needs_that_no_runner_can_meet_is_placed() {
    let mut scheduler = unlimited_scheduler();
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    publish_impossible_tasks(&mut scheduler, at(0));
    scheduler.publish(later_task(), at(0));
    assert_eq!(placed_tasks(&mut scheduler, at(0)), [task(LATER_JOB)]);
}

/// The same for one pull, which also searches for starving tasks.
#[test]
fn pull_finds_task_behind_needs_that_no_runner_can_meet() {
    let mut scheduler = unlimited_scheduler();
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    publish_impossible_tasks(&mut scheduler, at(0));
    scheduler.publish(later_task(), at(0));
    scheduler.heartbeat(&runner_of_kind("r1", "a", 2), at(60_000));
    let found = placed(scheduler.reserve(&runner("r1"), at(60_000)));
    assert_eq!(found.map(|one| one.task), Some(task(LATER_JOB)));
}

/// The needs before the task can be met, but not now: their runner is full.
#[test]
fn task_behind_needs_of_full_runner_is_placed_on_other_runner() {
    let mut scheduler = unlimited_scheduler();
    let mut full = runner_of_kind("r2", "b", 1);
    full.free = Resources::ZERO;
    scheduler.heartbeat(&full, at(0));
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    for number in 1..=NEEDS_BEFORE {
        let mut needs_other_runner = meta(number, "a", 1);
        needs_other_runner.labels = labels("b");
        needs_other_runner.resources = resources(small(number), 500);
        scheduler.publish(needs_other_runner, at(0));
    }
    scheduler.publish(later_task(), at(0));
    assert_eq!(placed_tasks(&mut scheduler, at(0)), [task(LATER_JOB)]);
}

/// The needs before the task fit on the empty runner, but not in what is free.
#[test]
fn task_behind_needs_larger_than_free_capacity_is_placed() {
    let mut scheduler = unlimited_scheduler();
    let mut nearly_full = runner_of_kind("r1", "a", 1);
    nearly_full.free = resources(1_000, 1_000);
    scheduler.heartbeat(&nearly_full, at(0));
    for number in 1..=NEEDS_BEFORE {
        let mut large = meta(number, "a", 1);
        large.resources = if number % 2 == 0 {
            resources(1_001 + small(number), 10)
        } else {
            resources(10, 1_001 + small(number))
        };
        scheduler.publish(large, at(0));
    }
    scheduler.publish(later_task(), at(0));
    assert_eq!(placed_tasks(&mut scheduler, at(0)), [task(LATER_JOB)]);
}

/// The steps before the task have as many runs on the runner as they may.
#[test]
fn task_behind_steps_at_their_runner_limit_is_placed() {
    const STEPS: u64 = 100;
    let mut scheduler = unlimited_scheduler();
    let roomy = RunnerReport {
        capacity: Resources::UNLIMITED,
        free: Resources::UNLIMITED,
        ..runner_of_kind("r1", "a", 1)
    };
    scheduler.heartbeat(&roomy, at(0));
    for job in 1..=STEPS {
        for index in 0..2 {
            let mut limited = meta(job, "a", 1);
            limited.task.task = index;
            limited.step_tasks = 2;
            limited.rules.max_per_runner = Some(1);
            scheduler.publish(limited, at(0));
        }
    }
    assert_eq!(placed_tasks(&mut scheduler, at(0)).len() as u64, STEPS);
    scheduler.publish(later_task(), at(10));
    assert_eq!(placed_tasks(&mut scheduler, at(10)), [task(LATER_JOB)]);
}

/// The tasks before the one without a licence wait for its only seat.
#[test]
fn task_behind_needs_without_licence_seat_is_placed() {
    let licence = LicenceName::new("tool").unwrap();
    let mut document = unlimited_document();
    let settings = LicenceSettings { seats: 1 };
    document.licences.insert(licence.clone(), settings);
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    for number in 1..=NEEDS_BEFORE {
        let mut licensed = meta(number, "a", 1);
        licensed.resources = resources(small(number), 500);
        licensed.rules.licence = Some(licence.clone());
        scheduler.publish(licensed, at(0));
    }
    scheduler.publish(later_task(), at(0));
    let placed = placed_tasks(&mut scheduler, at(0));
    assert_eq!(placed, [task(1), task(LATER_JOB)]);
}

/// The needs before the task exceed what is left of the tenant's limit.
#[test]
fn task_behind_needs_above_tenant_limit_is_placed() {
    let mut document = unlimited_document();
    for tenant in document.tenants.values_mut() {
        tenant.resource_limit = resources(1_000, 1_000).times(2);
    }
    let mut scheduler = scheduler(&document);
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    for number in 1..=NEEDS_BEFORE {
        let mut large = meta(number, "a", 1);
        large.resources = resources(2_001 + small(number), 10);
        scheduler.publish(large, at(0));
    }
    scheduler.publish(later_task(), at(0));
    assert_eq!(placed_tasks(&mut scheduler, at(0)), [task(LATER_JOB)]);
}

/// Running tasks whose copies no other runner can take hid later ones.
#[test]
fn copy_of_task_behind_needs_that_other_runner_lacks_is_placed() {
    const COPYABLE: u64 = 100;
    let mut scheduler = unlimited_scheduler();
    let roomy = |name: &str, kind: &str, sequence| RunnerReport {
        capacity: Resources::UNLIMITED,
        free: Resources::UNLIMITED,
        ..runner_of_kind(name, kind, sequence)
    };
    scheduler.heartbeat(&roomy("r2", "b", 1), at(0));
    for number in 1..=COPYABLE {
        let mut only_on_b = meta(number, "a", 1);
        only_on_b.labels = labels("b");
        only_on_b.resources = resources(small(number), 500);
        only_on_b.max_copies = 2;
        scheduler.publish(only_on_b, at(0));
    }
    let mut anywhere = later_task();
    anywhere.max_copies = 2;
    scheduler.publish(anywhere, at(0));
    assert_eq!(
        placed_tasks(&mut scheduler, at(0)).len() as u64,
        COPYABLE + 1
    );
    scheduler.heartbeat(&roomy("r1", "a", 1), at(10));
    assert_eq!(placed_tasks(&mut scheduler, at(10)), [task(LATER_JOB)]);
}

/// The first starving tasks of a list took all searches for a runner to
/// reserve, although no runner could take them.
#[test]
fn starving_task_behind_needs_that_no_runner_can_meet_gets_its_runner() {
    let mut scheduler = unlimited_scheduler();
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    publish_impossible_tasks(&mut scheduler, at(0));
    let mut whole_runner = meta(2 * NEEDS_BEFORE, "a", 1);
    whole_runner.resources = resources(32_000, 500);
    let mut nearly_full = runner_of_kind("r1", "a", 2);
    nearly_full.free = resources(1_000, 1_000);
    scheduler.heartbeat(&nearly_full, at(10));
    scheduler.publish(whole_runner, at(10));
    assert_eq!(placed_tasks(&mut scheduler, at(10)), []);
    nearly_full.sequence = HeartbeatSequence(3);
    scheduler.heartbeat(&nearly_full, at(10_000));
    assert_eq!(placed_tasks(&mut scheduler, at(10_000)), []);
    // The runner is reserved now, so that it takes no smaller task.
    scheduler.publish(later_task(), at(10_000));
    assert_eq!(placed_tasks(&mut scheduler, at(10_010)), []);
    scheduler.heartbeat(&runner_of_kind("r1", "a", 4), at(10_020));
    let placed = placed_tasks(&mut scheduler, at(10_020));
    assert_eq!(placed, [task(2 * NEEDS_BEFORE)]);
}

/// Gangs that no runners can take are no obstacle to gangs and tasks behind
/// them.
#[test]
fn gang_and_task_behind_impossible_gangs_are_placed() {
    let mut scheduler = unlimited_scheduler();
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    let gang = |job: u64, resources: Resources| {
        (0..2).map(move |index| {
            let mut member = meta(job, "a", 1);
            member.task.task = index;
            member.step_tasks = 2;
            member.rules.gang = true;
            member.resources = resources;
            member
        })
    };
    for number in 1..=NEEDS_BEFORE {
        for member in gang(number, resources(32_000 + small(number), 500)) {
            scheduler.publish(member, at(0));
        }
    }
    publish_impossible_tasks(&mut scheduler, at(0));
    for member in gang(2 * NEEDS_BEFORE, resources(250, 500)) {
        scheduler.publish(member, at(0));
    }
    scheduler.publish(later_task(), at(0));
    scheduler.heartbeat(&runner_of_kind("r1", "a", 2), at(10_000));
    let placed = placed_tasks(&mut scheduler, at(10_000));
    let jobs: Vec<u64> = placed.iter().map(|task| task.job.0).collect();
    assert_eq!(jobs, [2 * NEEDS_BEFORE, 2 * NEEDS_BEFORE, LATER_JOB]);
}

/// When the runner that the others wait for comes, they start too.
#[test]
fn needs_are_met_once_a_runner_that_can_meet_them_comes() {
    let mut scheduler = unlimited_scheduler();
    scheduler.heartbeat(&runner_of_kind("r1", "a", 1), at(0));
    publish_impossible_tasks(&mut scheduler, at(0));
    assert_eq!(placed_tasks(&mut scheduler, at(0)), []);
    let roomy = RunnerReport {
        capacity: Resources::UNLIMITED,
        free: Resources::UNLIMITED,
        ..runner_of_kind("r2", "absent", 1)
    };
    scheduler.heartbeat(&roomy, at(10));
    let mut placed = placed_tasks(&mut scheduler, at(10));
    placed.extend(placed_tasks(&mut scheduler, at(10)));
    let possible = (1..=NEEDS_BEFORE).filter(|number| number % 4 != 1);
    assert_eq!(placed, possible.map(task).collect::<Vec<_>>());
}
