//! Random sequences of steps, checked against a reference model that only
//! records open runs, published tasks and heartbeats.

mod support;

use proptest::prelude::*;
use scheduler::{Decision, NotPlacedReason, Scheduler};
use std::collections::{BTreeMap, BTreeSet};
use support::*;
use types::*;

const TENANTS: [(&str, u32); 3] = [("a", 3), ("b", 5), ("c", 100)];
const RUNNERS: [&str; 3] = ["r1", "r2", "r3"];
const CAPACITY: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Publish {
        job: u64,
        needs: u32,
        copies: u32,
        delay: u64,
    },
    Reserve {
        runner: usize,
    },
    Place {
        limit: usize,
    },
    Reschedule {
        selector: usize,
        delay: u64,
    },
    RemoveRun {
        selector: usize,
    },
    RemoveTask {
        job: u64,
    },
    Heartbeat {
        runner: usize,
        draining: bool,
    },
    Drain {
        runner: usize,
        draining: bool,
    },
    Wait {
        length: u64,
    },
}

fn any_step() -> impl Strategy<Value = Step> {
    let job = 1..40_u64;
    let runner = 0..RUNNERS.len();
    prop_oneof![
        4 => (job.clone(), 1..4_u32, 1..3_u32, prop_oneof![Just(0), 1..400_u64])
            .prop_map(|(job, needs, copies, delay)| Step::Publish { job, needs, copies, delay }),
        4 => runner.clone().prop_map(|runner| Step::Reserve { runner }),
        1 => (0..6_usize).prop_map(|limit| Step::Place { limit }),
        1 => (any::<usize>(), 0..300_u64)
            .prop_map(|(selector, delay)| Step::Reschedule { selector, delay }),
        2 => any::<usize>().prop_map(|selector| Step::RemoveRun { selector }),
        1 => job.prop_map(|job| Step::RemoveTask { job }),
        3 => (runner.clone(), prop::bool::weighted(0.1))
            .prop_map(|(runner, draining)| Step::Heartbeat { runner, draining }),
        1 => (runner, any::<bool>()).prop_map(|(runner, draining)| Step::Drain { runner, draining }),
        1 => (0..700_u64).prop_map(|length| Step::Wait { length }),
    ]
}

/// Reference model: open runs, published tasks and the state of the runners.
#[derive(Default)]
struct Reference {
    now: u64,
    sequence: u64,
    metas: BTreeMap<TaskRef, TaskMeta>,
    /// Open runs with the slots that each uses.
    open: BTreeMap<RunId, (Reservation, u32)>,
    known_runs: BTreeSet<RunId>,
    /// Whether each runner is draining by its own report, and by an operator's
    /// order.
    draining: BTreeMap<usize, (bool, bool)>,
    received_at: BTreeMap<usize, u64>,
}

impl Reference {
    /// Returns the tenant of a job and its resource limit in slots.
    fn owner(job: u64) -> (&'static str, u32) {
        TENANTS[usize::try_from(job).unwrap() % TENANTS.len()]
    }

    fn runs_of(&self, task: TaskRef) -> usize {
        let open = self.open.values();
        open.filter(|(reservation, _)| reservation.task == task)
            .count()
    }

    fn used_by_tenant(&self, name: &str) -> u32 {
        let open = self.open.values();
        let own = open.filter(|(reservation, _)| Self::owner(reservation.task.job.0).0 == name);
        own.map(|(_, needs)| needs).sum()
    }

    fn used_on_runner(&self, name: &str) -> u32 {
        let open = self.open.values();
        let here = open.filter(|(reservation, _)| reservation.runner.as_str() == name);
        here.map(|(_, needs)| needs).sum()
    }

    /// Checks that the reservation breaks no rule, and records its run.
    fn record_run(&mut self, reservation: Reservation) {
        let meta = self
            .metas
            .get(&reservation.task)
            .expect("placed a task that is not published");
        let needs = meta.resources.slots;
        let (owner, resource_limit) = Self::owner(reservation.task.job.0);
        let name = reservation.runner.as_str().to_owned();
        let runner = RUNNERS.iter().position(|known| *known == name).unwrap();
        assert!(
            self.known_runs.insert(reservation.run),
            "run identifier used twice"
        );
        assert!(meta.not_before.is_none_or(|time| time <= at(self.now).wall));
        assert_eq!(
            self.draining.get(&runner).copied().unwrap_or_default(),
            (false, false)
        );
        assert!(
            self.now - self.received_at[&runner] <= 1_500,
            "placed on an unresponsive runner"
        );
        let copies = meta.max_copies as usize;
        let task = reservation.task;
        let is_on_runner = self
            .open
            .values()
            .any(|(other, _)| other.task == task && other.runner == reservation.runner);
        assert!(!is_on_runner, "two copies on one runner");
        self.open.insert(reservation.run, (reservation, needs));
        assert!(self.runs_of(task) <= copies, "more runs than copies");
        assert!(
            self.used_by_tenant(owner) <= resource_limit,
            "above the resource limit"
        );
        assert!(
            self.used_on_runner(&name) <= CAPACITY,
            "above the runner's capacity"
        );
    }

    fn heartbeat(&mut self, runner: usize, draining: bool) -> RunnerReport {
        self.sequence += 1;
        self.received_at.insert(runner, self.now);
        self.draining.entry(runner).or_default().0 = draining;
        let name = RUNNERS[runner];
        let used = self.used_on_runner(name);
        let mut heartbeat = report(name, self.sequence, CAPACITY, CAPACITY - used);
        heartbeat.draining = draining;
        let open = self.open.values();
        let here = open.filter(|(reservation, _)| reservation.runner.as_str() == name);
        heartbeat.active = here
            .map(|(reservation, _)| active_run(reservation.run))
            .collect();
        heartbeat
    }

    /// Returns the open run that a random number selects; `None` when none is open.
    fn open_run(&self, selector: usize) -> Option<(RunId, TaskRef)> {
        let count = self.open.len();
        let chosen = self.open.values().nth(selector.checked_rem(count)?)?;
        Some((chosen.0.run, chosen.0.task))
    }
}

fn empty_scheduler() -> Scheduler {
    scheduler(&document(&TENANTS))
}

fn apply(scheduler: &mut Scheduler, reference: &mut Reference, step: Step) -> Vec<Decision> {
    let now = at(reference.now);
    match step {
        Step::Publish {
            job,
            needs,
            copies,
            delay,
        } => {
            let mut new = meta(job, Reference::owner(job).0, needs);
            new.max_copies = copies;
            new.not_before = (delay > 0).then(|| at(reference.now + delay).wall);
            let known = reference.metas.contains_key(&new.task) || reference.runs_of(new.task) > 0;
            if !known {
                reference.metas.insert(new.task, new.clone());
                scheduler.publish(new, now);
            } else if let Some(known) = reference.metas.get(&new.task) {
                scheduler.publish(known.clone(), now);
            }
            Vec::new()
        }
        Step::Reserve { runner: index } => {
            let decision = scheduler.reserve(&runner(RUNNERS[index]), now);
            decision.into_iter().collect()
        }
        Step::Place { limit } => scheduler.place(now, limit),
        Step::Reschedule { selector, delay } => {
            let Some((run, task)) = reference.open_run(selector) else {
                return Vec::new();
            };
            reference.open.remove(&run);
            let Some(known) = reference.metas.get_mut(&task) else {
                scheduler.remove_run(run);
                return Vec::new();
            };
            known.not_before = (delay > 0).then(|| at(reference.now + delay).wall);
            scheduler.reschedule(run, known.clone(), now);
            scheduler.reschedule(run, known.clone(), now);
            Vec::new()
        }
        Step::RemoveRun { selector } => {
            let Some((run, task)) = reference.open_run(selector) else {
                return Vec::new();
            };
            reference.open.remove(&run);
            reference.metas.remove(&task);
            scheduler.remove_run(run);
            scheduler.remove_run(run);
            Vec::new()
        }
        Step::RemoveTask { job } => {
            reference.metas.remove(&task(job));
            scheduler.remove(task(job));
            scheduler.remove(task(job));
            Vec::new()
        }
        Step::Heartbeat { runner, draining } => {
            let heartbeat = reference.heartbeat(runner, draining);
            scheduler.heartbeat(&heartbeat, now);
            Vec::new()
        }
        Step::Drain {
            runner: index,
            draining,
        } => {
            reference.draining.entry(index).or_default().1 = draining;
            scheduler.set_draining(&runner(RUNNERS[index]), draining);
            Vec::new()
        }
        Step::Wait { length } => {
            reference.now += length;
            Vec::new()
        }
    }
}

fn check_usage(scheduler: &Scheduler, reference: &Reference) {
    for (name, _) in TENANTS {
        let usage = scheduler.usage(&tenant(name));
        assert_eq!(usage, slots(reference.used_by_tenant(name)));
    }
    assert_eq!(scheduler.open_run_count(), reference.open.len());
}

fn run_steps(steps: Vec<Step>) -> Vec<Decision> {
    let mut scheduler = empty_scheduler();
    let mut reference = Reference::default();
    let mut all = Vec::new();
    for step in steps {
        for decision in apply(&mut scheduler, &mut reference, step) {
            all.push(decision.clone());
            if let Some(reservation) = placed(Some(decision)) {
                reference.record_run(reservation);
            }
        }
        check_usage(&scheduler, &reference);
    }
    all
}

/// Returns what the view reports on tenants and tasks: pending counts, usage and
/// reasons.
fn observed_state(scheduler: &Scheduler) -> Vec<(usize, Resources, Option<NotPlacedReason>)> {
    let tenants = TENANTS.iter().map(|(name, _)| tenant(name));
    let counts = tenants.map(|tenant| {
        let pending = scheduler.pending_count(&queue("main"), &tenant);
        (pending, scheduler.usage(&tenant), None)
    });
    let reasons = (1..40).map(|job| (0, Resources::ZERO, scheduler.explain(task(job), at(0))));
    counts.chain(reasons).collect()
}

/// Slots, copies and start delay in milliseconds of each job.
type Jobs = BTreeMap<u64, (u32, u32, u64)>;

fn jobs() -> impl Strategy<Value = Jobs> {
    prop::collection::btree_map(1..40_u64, (1..4_u32, 1..3_u32, 0..3_u64), 0..30)
}

fn metas(jobs: &Jobs) -> Vec<TaskMeta> {
    let jobs = jobs.iter();
    jobs.map(|(job, (needs, copies, delay))| {
        let mut new = meta(*job, Reference::owner(*job).0, *needs);
        new.max_copies = *copies;
        new.not_before = (*delay > 0).then(|| at(*delay).wall);
        new
    })
    .collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_steps_keep_limits_and_are_deterministic(
        steps in prop::collection::vec(any_step(), 1..250),
    ) {
        let first = run_steps(steps.clone());
        let second = run_steps(steps);
        prop_assert_eq!(first, second);
    }

    #[test]
    fn order_of_publishing_does_not_affect_view(
        jobs in prop::collection::btree_map(1..40_u64, (1..4_u32, 1..3_u32, 0..2_u64), 1..30)
            .prop_flat_map(|jobs| {
                let jobs: Vec<_> = jobs.into_iter().collect();
                (Just(jobs.clone()), Just(jobs).prop_shuffle())
            }),
    ) {
        let publish = |jobs: &[(u64, (u32, u32, u64))]| {
            let mut scheduler = empty_scheduler();
            scheduler.heartbeat(&report("r1", 1, CAPACITY, CAPACITY), at(0));
            for (job, (needs, copies, delay)) in jobs {
                let mut new = meta(*job, Reference::owner(*job).0, *needs);
                new.max_copies = *copies;
                new.not_before = (*delay > 0).then(|| at(*delay).wall);
                scheduler.publish(new.clone(), at(0));
                scheduler.publish(new, at(0));
            }
            scheduler
        };
        prop_assert_eq!(observed_state(&publish(&jobs.0)), observed_state(&publish(&jobs.1)));
    }

    #[test]
    fn audit_makes_view_equal_to_rebuilt_view(
        viewed in jobs(),
        replicated in jobs(),
    ) {
        let mut scheduler = empty_scheduler();
        for meta in metas(&viewed) {
            scheduler.publish(meta, at(0));
        }
        let ready = metas(&replicated);
        scheduler.audit(JobNumber(0), JobNumber(99), &ready, at(0));
        let mut rebuilt = empty_scheduler();
        for meta in metas(&replicated) {
            rebuilt.publish(meta, at(0));
        }
        prop_assert_eq!(observed_state(&scheduler), observed_state(&rebuilt));
        prop_assert_eq!(scheduler.next_start_time(), rebuilt.next_start_time());
        let again = scheduler.audit(JobNumber(0), JobNumber(99), &ready, at(0));
        prop_assert_eq!((again.republished, again.removed), (0, 0));
        prop_assert_eq!(again.compared, ready.len() as u64);
    }
}
