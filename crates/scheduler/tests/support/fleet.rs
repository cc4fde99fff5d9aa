//! A fleet of runners on a virtual clock, driven step by step.

#![allow(dead_code)]

use super::{at, queue, report, runner, tenant};
use configuration::ClusterConfiguration;
use scheduler::{Scheduler, SchedulerOptions};
use std::collections::BTreeMap;
use types::*;

/// Time between two steps, in milliseconds.
pub const STEP_MS: u64 = 50;

/// Options of the first users' platform, with the urgent part of each runner.
pub fn platform_options() -> SchedulerOptions {
    SchedulerOptions {
        reserve_after: Milliseconds(1_000),
        probation_failures: 3,
        probation: Milliseconds(3_000),
        unresponsive_after: Milliseconds(1_800),
        locality_wait: Milliseconds(300),
        urgent_reserve_percent: 15,
        urgent_headroom_percent: 25,
        ..SchedulerOptions::default()
    }
}

/// Runner of a fleet.
#[derive(Debug, Clone)]
pub struct FleetRunner {
    pub labels: Labels,
    pub rack: RackName,
    pub capacity: Resources,
    /// Whether the runner sends heartbeats.
    pub is_up: bool,
    pub draining: bool,
    incarnation: u64,
    sequence: u64,
}

/// Run on a runner of the fleet.
#[derive(Debug, Clone)]
pub struct FleetRun {
    pub task: TaskRef,
    pub runner: String,
    pub resources: Resources,
    pub started_at: u64,
    /// Time of its end; `None` for a lasting run.
    pub ends_at: Option<u64>,
}

/// Task as published, with the duration of its runs.
#[derive(Debug, Clone)]
pub struct FleetTask {
    pub meta: TaskMeta,
    /// Duration of a run in milliseconds; `None` for a lasting one.
    pub duration: Option<u64>,
}

/// Runners, tasks and runs round one scheduler.
pub struct Fleet {
    pub scheduler: Scheduler,
    pub document: ClusterConfiguration,
    pub options: SchedulerOptions,
    pub now: u64,
    pub runners: BTreeMap<String, FleetRunner>,
    pub tasks: BTreeMap<TaskRef, FleetTask>,
    pub runs: BTreeMap<RunId, FleetRun>,
    /// Time of the first start of each task that has started.
    pub starts: BTreeMap<TaskRef, u64>,
    term: u64,
}

impl Fleet {
    pub fn new(document: ClusterConfiguration, options: SchedulerOptions) -> Self {
        let mut scheduler = Scheduler::new(options.clone(), Term(3), 7);
        scheduler.configure(&document);
        Self {
            scheduler,
            document,
            options,
            now: 0,
            runners: BTreeMap::new(),
            tasks: BTreeMap::new(),
            runs: BTreeMap::new(),
            starts: BTreeMap::new(),
            term: 3,
        }
    }

    pub fn add_runner(&mut self, name: &str, capacity: Resources, label: Option<&str>) {
        let labels = label.map(|label| (label.to_owned(), String::new()));
        let runner = FleetRunner {
            labels: labels.into_iter().collect(),
            rack: RackName::new("rack").unwrap(),
            capacity,
            is_up: true,
            draining: false,
            incarnation: 1,
            sequence: 0,
        };
        self.runners.insert(name.to_owned(), runner);
    }

    pub fn publish(&mut self, meta: TaskMeta, duration: Option<u64>) {
        self.scheduler.publish(meta.clone(), at(self.now));
        self.tasks.insert(meta.task, FleetTask { meta, duration });
    }

    /// Cancels a task: removes it and its runs.
    pub fn cancel(&mut self, task: TaskRef) {
        self.scheduler.remove(task);
        let runs = self.runs.iter().filter(|(_, run)| run.task == task);
        let runs: Vec<RunId> = runs.map(|(id, _)| *id).collect();
        for run in runs {
            self.runs.remove(&run);
            self.scheduler.remove_run(run);
        }
        self.tasks.remove(&task);
    }

    /// Replaces the scheduler by that of a new leader, which adopts the open runs and gets
    /// the waiting tasks again.
    pub fn change_leader(&mut self) {
        self.term += 1;
        let options = self.options.clone();
        self.scheduler = Scheduler::new(options, Term(self.term), self.term);
        self.scheduler.configure(&self.document);
        for (id, run) in &self.runs {
            let meta = &self.tasks[&run.task].meta;
            let open = open_run(*id, run, meta, &self.runners[&run.runner]);
            self.scheduler.adopt_run(open, meta.rules.endless);
        }
        let running: Vec<TaskRef> = self.runs.values().map(|run| run.task).collect();
        for (task, entry) in &self.tasks {
            if !running.contains(task) {
                self.scheduler.publish(entry.meta.clone(), at(self.now));
            }
        }
    }

    /// Advances the clock by one step: ends the runs that are due, sends the heartbeats
    /// and places tasks.
    pub fn step(&mut self) {
        self.now += STEP_MS;
        self.end_due_runs();
        self.send_heartbeats();
        let decisions = self.scheduler.place(at(self.now), 200);
        for reservation in super::all_placed(decisions) {
            self.start(&reservation);
        }
    }

    pub fn run_until(&mut self, milliseconds: u64) {
        while self.now < milliseconds {
            self.step();
        }
    }

    /// Returns whether the task has an open run.
    pub fn is_running(&self, task: TaskRef) -> bool {
        self.runs.values().any(|run| run.task == task)
    }

    /// Returns the resources that runs use on a runner.
    pub fn used(&self, name: &str) -> Resources {
        let runs = self.runs.values().filter(|run| run.runner == name);
        runs.fold(Resources::ZERO, |sum, run| sum.plus(&run.resources))
    }

    fn start(&mut self, reservation: &Reservation) {
        let entry = &self.tasks[&reservation.task];
        self.starts.entry(reservation.task).or_insert(self.now);
        let run = FleetRun {
            task: reservation.task,
            runner: reservation.runner.as_str().to_owned(),
            resources: entry.meta.resources,
            started_at: self.now,
            ends_at: entry.duration.map(|duration| self.now + duration),
        };
        self.runs.insert(reservation.run, run);
    }

    fn end_due_runs(&mut self) {
        let now = self.now;
        let is_due = |run: &FleetRun| run.ends_at.is_some_and(|end| end <= now);
        let due = self.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<RunId> = due.map(|(id, _)| *id).collect();
        for id in due {
            let run = self.runs.remove(&id).unwrap();
            let name = runner(&run.runner);
            self.scheduler
                .record_outcome(&name, run.task, false, at(now));
            self.scheduler.remove_run(id);
            self.scheduler.remove(run.task);
            self.tasks.remove(&run.task);
        }
    }

    fn send_heartbeats(&mut self) {
        let names: Vec<String> = self.runners.keys().cloned().collect();
        for name in names {
            let used = self.used(&name);
            let active = self.runs.iter().filter(|(_, run)| run.runner == name);
            let active = active.map(|(id, _)| super::active_run(*id)).collect();
            let state = self.runners.get_mut(&name).unwrap();
            if !state.is_up {
                continue;
            }
            state.sequence += 1;
            let report = RunnerReport {
                incarnation: RunnerIncarnation(state.incarnation),
                labels: state.labels.clone(),
                rack: state.rack.clone(),
                capacity: state.capacity,
                free: state.capacity.minus(&used),
                draining: state.draining,
                active,
                ..report(&name, state.sequence, 0, 0)
            };
            self.scheduler.heartbeat(&report, at(self.now));
        }
    }
}

fn open_run(id: RunId, run: &FleetRun, meta: &TaskMeta, on: &FleetRunner) -> OpenRun {
    OpenRun {
        run: id,
        task: run.task,
        attempt: 1,
        tenant: meta.tenant.clone(),
        queue: meta.queue.clone(),
        runner: runner(&run.runner),
        incarnation: RunnerIncarnation(on.incarnation),
        endpoint: None,
        resources: run.resources,
        time_limit: Milliseconds(604_800_000),
        expected: meta.rules.expected,
        licence: meta.rules.licence.clone(),
        reserved_at: at(run.started_at).wall,
        self_stop: true,
    }
}

/// Adds a queue of pool `pool` with a priority; a lower number is more urgent.
pub fn add_queue(document: &mut ClusterConfiguration, name: &str, priority: u8) {
    super::add_queue(document, name, configuration::QueueMode::Active);
    document.queues.get_mut(&queue(name)).unwrap().priority = priority;
}

/// Sets the resource limit of each tenant to no limit.
pub fn lift_limits(document: &mut ClusterConfiguration, tenants: &[&str]) {
    for name in tenants {
        let settings = super::contract(100, Resources::UNLIMITED);
        document.tenants.insert(tenant(name), settings);
    }
}
