//! A scenario in progress: the fleet, its jobs and the events that befall it.

use crate::scenario::{
    Ending, Event, JobPlan, MAX_FAILURES, OTHER_POOL, QUEUES, Scenario, TENANTS, configuration,
    licence, resources,
};
use crate::support::fleet::{Fleet, FleetRun, FleetRunner, platform_options};
use crate::support::{at, meta, queue, tenant};
use std::collections::BTreeMap;
use types::*;

/// Time from a failure to the next start of the task, in milliseconds.
const BACKOFF_MS: u64 = 300;
/// Time after which a run counts as long, in milliseconds: the length of a reservation.
const LONG_MS: u64 = 24_000;
/// Time after which the runs of a runner that has left are known to be lost.
const LEASE_MS: u64 = 1_500;

/// Job of the scenario.
#[derive(Debug, Clone)]
pub struct Job {
    pub plan: JobPlan,
    pub failures: u32,
    /// Whether the job is done, cancelled or failed.
    pub is_over: bool,
    /// Number of steps that were published.
    steps_published: u16,
}

/// Step whose tasks may start.
#[derive(Debug, Clone)]
pub struct Step {
    pub pool: PoolName,
    /// Priority of the queue; a lower number is more urgent.
    pub priority: u8,
    pub tenant: TenantId,
    pub needs: Resources,
    pub labels: Labels,
    pub tasks: u32,
    pub is_gang: bool,
    pub is_licensed: bool,
    pub max_per_runner: u32,
}

/// The fleet with its jobs and the events to come.
pub struct World {
    pub fleet: Fleet,
    pub jobs: BTreeMap<u64, Job>,
    arrivals: Vec<JobPlan>,
    events: Vec<(u64, Event)>,
    limits: Vec<u32>,
    names: Vec<String>,
    /// Runners that have left, with the time at which their runs are lost.
    lost_at: BTreeMap<String, u64>,
}

impl World {
    pub fn new(scenario: &Scenario) -> Self {
        let document = configuration(&scenario.limits);
        let mut fleet = Fleet::new(document, platform_options());
        let mut names = Vec::new();
        for (number, plan) in scenario.runners.iter().enumerate() {
            let name = format!("r{number:02}");
            let capacity = Resources {
                slots: 1_000,
                ..resources(plan.cores, plan.gpus)
            };
            fleet.add_runner(&name, capacity, plan.has_label.then_some("b"));
            let runner = fleet.runners.get_mut(&name).unwrap();
            runner.rack = RackName::new(format!("rack-{}", plan.rack)).unwrap();
            if plan.in_other_pool {
                runner.pool = PoolName::new(OTHER_POOL).unwrap();
            }
            names.push(name);
        }
        let mut arrivals = scenario.jobs.clone();
        arrivals.sort_by_key(|job| std::cmp::Reverse(job.at_ms));
        let mut events = scenario.events.clone();
        events.sort_by_key(|(at_ms, _)| std::cmp::Reverse(*at_ms));
        Self {
            fleet,
            jobs: BTreeMap::new(),
            arrivals,
            events,
            limits: scenario.limits.clone(),
            names,
            lost_at: BTreeMap::new(),
        }
    }

    /// Advances by one step of the fleet.
    pub fn step(&mut self) {
        let now = self.fleet.now;
        while self.arrivals.last().is_some_and(|job| job.at_ms <= now) {
            let plan = self.arrivals.pop().unwrap();
            self.submit(plan);
        }
        while self.events.last().is_some_and(|(at_ms, _)| *at_ms <= now) {
            let (_, event) = self.events.pop().unwrap();
            self.apply(&event);
        }
        self.lose_runs();
        self.fleet.step();
        self.handle_ends();
    }

    fn submit(&mut self, plan: JobPlan) {
        let number = self.jobs.len() as u64 + 1;
        let job = Job {
            plan,
            failures: 0,
            is_over: false,
            steps_published: 0,
        };
        self.jobs.insert(number, job);
        self.publish_step(number);
    }

    fn publish_step(&mut self, number: u64) {
        let job = self.jobs.get_mut(&number).unwrap();
        let step = job.steps_published;
        job.steps_published += 1;
        let plan = job.plan.clone();
        for index in 0..plan.tasks {
            let task = TaskRef {
                job: JobNumber(number),
                step,
                task: index,
            };
            let delay = if step == 0 { plan.start_delay_ms } else { 0 };
            let mut meta = task_meta(&plan, task);
            meta.not_before = (delay > 0).then(|| at(self.fleet.now + delay).wall);
            let (duration, fails) = match plan.ending {
                Ending::Done(duration) => (Some(duration), false),
                Ending::Failed(duration) => (Some(duration), true),
                Ending::Never => (None, false),
            };
            self.fleet.publish(meta, duration);
            self.fleet.tasks.get_mut(&task).unwrap().fails = fails;
        }
    }

    /// Handles what ended in the last step: failures of jobs, and steps that are done.
    fn handle_ends(&mut self) {
        for task in std::mem::take(&mut self.fleet.failed) {
            let job = self.jobs.get_mut(&task.job.0).unwrap();
            job.failures += 1;
            if job.failures > MAX_FAILURES && matches!(job.plan.ending, Ending::Failed(_)) {
                self.end_job(task.job.0);
            } else if let Some(entry) = self.fleet.tasks.get_mut(&task) {
                entry.meta.not_before = Some(at(self.fleet.now + BACKOFF_MS).wall);
                let meta = entry.meta.clone();
                self.fleet.retry(task, meta);
            }
        }
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let has_tasks = self.fleet.has_tasks(JobNumber(number));
            let job = &self.jobs[&number];
            if job.is_over || has_tasks {
                continue;
            }
            if job.plan.has_second_step && job.steps_published < 2 {
                self.publish_step(number);
            } else {
                self.jobs.get_mut(&number).unwrap().is_over = true;
            }
        }
    }

    fn end_job(&mut self, number: u64) {
        let tasks: Vec<TaskRef> = self.fleet.tasks.keys().copied().collect();
        for task in tasks.into_iter().filter(|task| task.job.0 == number) {
            self.fleet.cancel(task);
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.is_over = true;
        }
    }

    fn apply(&mut self, event: &Event) {
        let now = self.fleet.now;
        let count = self.names.len();
        let name = |index: usize| self.names[index % count].clone();
        match event {
            Event::FailAll { runner, for_ms } => {
                let runner = self.fleet.runners.get_mut(&name(*runner)).unwrap();
                runner.failing_until = now + for_ms;
            }
            Event::Freeze { runner, for_ms } => {
                let runner = self.fleet.runners.get_mut(&name(*runner)).unwrap();
                runner.frozen_until = now + for_ms;
            }
            Event::Drain { runner } => {
                let runner = self.fleet.runners.get_mut(&name(*runner)).unwrap();
                runner.draining = true;
            }
            Event::Leave { runner } => {
                let name = name(*runner);
                self.fleet.runners.get_mut(&name).unwrap().is_up = false;
                self.lost_at.insert(name, now + LEASE_MS);
            }
            Event::Return { runner, cores } => self.return_runner(&name(*runner), *cores),
            Event::Cancel { job } => {
                let numbers: Vec<u64> = self.jobs.keys().copied().collect();
                if !numbers.is_empty() {
                    self.end_job(numbers[job % numbers.len()]);
                }
            }
            Event::ChangeLimit { tenant, cores } => {
                self.limits[*tenant] = *cores;
                self.fleet.document = configuration(&self.limits);
                self.fleet.scheduler.configure(&self.fleet.document);
            }
            Event::ChangeLeader => self.fleet.change_leader(),
        }
    }

    /// Starts a runner that has left or drains anew, with another size.
    fn return_runner(&mut self, name: &str, cores: u32) {
        let runner = &self.fleet.runners[name];
        if runner.is_up && !runner.draining {
            return;
        }
        self.fleet.lose_runs_of(name);
        self.lost_at.remove(name);
        let runner = self.fleet.runners.get_mut(name).unwrap();
        runner.restart();
        runner.capacity = Resources {
            slots: 1_000,
            ..resources(cores, runner.capacity.gpus)
        };
    }

    fn lose_runs(&mut self) {
        let now = self.fleet.now;
        let due = self.lost_at.iter().filter(|(_, lost_at)| **lost_at <= now);
        let due: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        for name in due {
            self.lost_at.remove(&name);
            self.fleet.lose_runs_of(&name);
        }
    }

    /// Returns the steps of a job with a task that may start now, gangs only as a whole.
    pub fn due_steps(&self, number: u64) -> Vec<Step> {
        let plan = &self.jobs[&number].plan;
        let now = at(self.fleet.now).wall;
        let mut due: BTreeMap<u16, u32> = BTreeMap::new();
        for (task, entry) in &self.fleet.tasks {
            let is_due = entry.meta.not_before.is_none_or(|time| time <= now);
            if task.job.0 == number && is_due && !self.fleet.is_running(*task) {
                *due.entry(task.step).or_default() += 1;
            }
        }
        let is_startable = |count: u32| !plan.is_gang || count == plan.tasks;
        let startable = due.values().filter(|count| is_startable(**count));
        startable.map(|_| step_of(plan)).collect()
    }

    /// Returns the resources in use and the capacity of the runners of the step's pool that
    /// take work.
    pub fn pool_usage(&self, step: &Step) -> (Resources, Resources) {
        let runners = self.fleet.runners.iter();
        let working = runners.filter(|(_, runner)| is_working(runner) && runner.pool == step.pool);
        working.fold(
            (Resources::ZERO, Resources::ZERO),
            |(used, all), (name, runner)| {
                (
                    used.plus(&self.fleet.used(name)),
                    all.plus(&runner.capacity),
                )
            },
        )
    }

    /// Returns the resources that the step's tenant uses, and its resource limit.
    pub fn tenant_usage(&self, step: &Step) -> (Resources, Resources) {
        let runs = self.fleet.runs.values();
        let of_tenant = runs.filter(|run| run.tenant == step.tenant);
        let used = of_tenant.fold(Resources::ZERO, |sum, run| sum.plus(&run.resources));
        let settings = &self.fleet.document.tenants[&step.tenant];
        (used, settings.resource_limit)
    }

    pub fn free_seats(&self) -> u32 {
        let runs = self.fleet.runs.values();
        let used = runs.filter(|run| run.is_licensed).count();
        let seats = self.fleet.document.licences[&licence()].seats;
        seats.saturating_sub(u32::try_from(used).unwrap())
    }

    /// Returns the seats for which more urgent steps wait that could start in a while.
    pub fn seats_claimed_before(&self, priority: u8) -> u32 {
        let running = self.jobs.keys().filter(|number| !self.jobs[number].is_over);
        let steps = running.flat_map(|number| self.due_steps(*number));
        let claims = steps.filter(|step| {
            step.is_licensed && step.priority < priority && self.could_start_in_a_while(step)
        });
        claims.map(|step| step.tasks).sum()
    }

    /// Returns whether a step could start once all runs have ended but those that are known
    /// to go on for long.
    fn could_start_in_a_while(&self, step: &Step) -> bool {
        let wanted = if step.is_gang { step.tasks } else { 1 };
        let going_on = |run: &&FleetRun| self.is_known_to_go_on(run);
        let lasting_seats = self.fleet.runs.values().filter(going_on);
        let lasting_seats = lasting_seats.filter(|run| run.is_licensed).count();
        let seats = self.fleet.document.licences[&licence()].seats;
        let has_seats = u32::try_from(lasting_seats).unwrap() + wanted <= seats;
        let (used, limit) = self.tenant_usage(step);
        let needs = step.needs.times(wanted);
        has_seats && used.plus(&needs).fits_in(&limit) && self.room_in_a_while(step) >= wanted
    }

    fn room_in_a_while(&self, step: &Step) -> u32 {
        let runners = self.fleet.runners.iter();
        let eligible = runners.filter(|(_, runner)| is_eligible(runner, step));
        let room = eligible.map(|(name, runner)| {
            let runs = self.fleet.runs.values().filter(|run| run.runner == *name);
            let lasting = runs.filter(|run| self.is_known_to_go_on(run));
            let free = lasting.fold(runner.capacity, |free, run| free.minus(&run.resources));
            u32::try_from(step.needs.count_in(&free)).unwrap_or(u32::MAX)
        });
        room.map(|count| count.min(step.max_per_runner))
            .fold(0, u32::saturating_add)
    }

    /// Returns whether a run lasts, or goes on for more than [`LONG_MS`] by its estimate or,
    /// without one, by its age.
    fn is_known_to_go_on(&self, run: &FleetRun) -> bool {
        let now = self.fleet.now;
        let age = now - run.started_at;
        let estimate = self.fleet.tasks[&run.task].meta.rules.expected;
        match (run.ends_at, estimate) {
            (None, _) => true,
            (Some(_), Some(estimate)) if estimate.0 > age => estimate.0 - age > LONG_MS,
            (Some(_), _) => age > LONG_MS,
        }
    }

    /// Returns what is free on each runner that may take the step's tasks.
    pub fn free_of_eligible(&self, step: &Step) -> Vec<Resources> {
        let runners = self.fleet.runners.iter();
        let eligible = runners.filter(|(_, runner)| is_eligible(runner, step));
        eligible
            .map(|(name, runner)| runner.capacity.minus(&self.fleet.used(name)))
            .collect()
    }
}

fn is_working(runner: &FleetRunner) -> bool {
    runner.is_up && !runner.draining
}

/// Returns whether a runner takes work and may run the step's tasks.
fn is_eligible(runner: &FleetRunner, step: &Step) -> bool {
    let mut labels = step.labels.iter();
    let has_labels = labels.all(|(name, value)| runner.labels.get(name) == Some(value));
    is_working(runner) && runner.pool == step.pool && has_labels
}

fn step_of(plan: &JobPlan) -> Step {
    let meta = task_meta(
        plan,
        TaskRef {
            job: JobNumber(0),
            step: 0,
            task: 0,
        },
    );
    let in_other_pool = plan.queue == QUEUES.len() - 1;
    Step {
        priority: QUEUES[plan.queue].1,
        pool: PoolName::new(if in_other_pool { OTHER_POOL } else { "pool" }).unwrap(),
        tenant: meta.tenant,
        needs: meta.resources,
        labels: meta.labels,
        tasks: plan.tasks,
        is_gang: plan.is_gang,
        is_licensed: plan.is_licensed,
        max_per_runner: plan.max_per_runner.unwrap_or(u32::MAX),
    }
}

fn task_meta(plan: &JobPlan, task: TaskRef) -> TaskMeta {
    let mut meta = meta(task.job.0, TENANTS[plan.tenant], 1);
    meta.task = task;
    meta.tenant = tenant(TENANTS[plan.tenant]);
    meta.queue = queue(QUEUES[plan.queue].0);
    meta.resources = resources(plan.cores, plan.gpus);
    meta.step_tasks = plan.tasks;
    meta.max_copies = plan.copies;
    let label = match (plan.is_impossible, plan.needs_label) {
        (true, _) => Some("nowhere"),
        (false, true) => Some("b"),
        (false, false) => None,
    };
    let label = label.map(|label| (label.to_owned(), String::new()));
    meta.labels = label.into_iter().collect();
    let rules = &mut meta.rules;
    rules.gang = plan.is_gang;
    rules.endless = plan.ending == Ending::Never;
    rules.preferred_rack = plan
        .rack
        .map(|rack| RackName::new(format!("rack-{rack}")).unwrap());
    rules.max_per_runner = plan.max_per_runner;
    rules.licence = plan.is_licensed.then(licence);
    rules.expected = match plan.ending {
        Ending::Done(duration) if plan.has_estimate => Some(Milliseconds(duration)),
        _ => None,
    };
    meta
}
