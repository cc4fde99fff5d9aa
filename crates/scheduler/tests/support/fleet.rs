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
    pub pool: PoolName,
    pub labels: Labels,
    pub rack: RackName,
    pub capacity: Resources,
    /// Whether the runner sends heartbeats.
    pub is_up: bool,
    pub draining: bool,
    /// Time until which every run that starts here fails.
    pub failing_until: u64,
    /// Time until which the runner stands still: it sends nothing and its runs do not end.
    pub frozen_until: u64,
    incarnation: u64,
    sequence: u64,
}

impl FleetRunner {
    /// Starts the runner as a new incarnation without runs.
    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.is_up = true;
        self.draining = false;
        self.failing_until = 0;
        self.frozen_until = 0;
    }
}

/// Run on a runner of the fleet.
#[derive(Debug, Clone)]
pub struct FleetRun {
    pub task: TaskRef,
    pub runner: String,
    pub tenant: TenantId,
    pub resources: Resources,
    pub is_licensed: bool,
    pub fails: bool,
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
    /// Whether every run fails.
    pub fails: bool,
}

/// Time after which a run fails on a runner that fails all it starts, in milliseconds.
const FAILURE_MS: u64 = 150;

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
    /// Tasks whose run has failed in the last step.
    pub failed: Vec<TaskRef>,
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
            failed: Vec::new(),
            term: 3,
        }
    }

    pub fn add_runner(&mut self, name: &str, capacity: Resources, label: Option<&str>) {
        let labels = label.map(|label| (label.to_owned(), String::new()));
        let runner = FleetRunner {
            pool: PoolName::new("pool").unwrap(),
            labels: labels.into_iter().collect(),
            rack: RackName::new("rack").unwrap(),
            capacity,
            is_up: true,
            draining: false,
            failing_until: 0,
            frozen_until: 0,
            incarnation: 1,
            sequence: 0,
        };
        self.runners.insert(name.to_owned(), runner);
    }

    pub fn publish(&mut self, meta: TaskMeta, duration: Option<u64>) {
        self.scheduler.publish(meta.clone(), at(self.now));
        let fails = false;
        let entry = FleetTask {
            meta,
            duration,
            fails,
        };
        self.tasks.insert(entry.meta.task, entry);
    }

    /// Publishes a task again whose run has failed.
    pub fn retry(&mut self, task: TaskRef, meta: TaskMeta) {
        self.scheduler.remove(task);
        self.scheduler.publish(meta, at(self.now));
    }

    /// Returns whether a job has unfinished tasks.
    pub fn has_tasks(&self, job: JobNumber) -> bool {
        self.tasks.keys().any(|task| task.job == job)
    }

    /// Closes the runs of a runner as lost, with the rest of their gangs, and publishes their
    /// tasks again.
    pub fn lose_runs_of(&mut self, name: &str) {
        let lost = self.runs.values().filter(|run| run.runner == name);
        let lost: Vec<TaskRef> = lost.map(|run| run.task).collect();
        for task in lost {
            self.close_runs(task, name);
        }
    }

    /// Closes the runs of a task on a runner, or all runs of its gang.
    fn close_runs(&mut self, task: TaskRef, name: &str) {
        let is_gang = self.tasks[&task].meta.rules.gang;
        let is_closed = |run: &FleetRun| {
            let is_same_step = run.task.job == task.job && run.task.step == task.step;
            (is_gang && is_same_step) || (run.task == task && run.runner == name)
        };
        let closed = self.runs.iter().filter(|(_, run)| is_closed(run));
        let closed: Vec<RunId> = closed.map(|(id, _)| *id).collect();
        for id in closed {
            let run = self.runs.remove(&id).unwrap();
            let meta = self.tasks[&run.task].meta.clone();
            self.scheduler.reschedule(id, meta, at(self.now));
        }
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
        for (task, entry) in &self.tasks {
            let runs = self.runs.values().filter(|run| run.task == *task).count();
            if runs < entry.meta.max_copies as usize {
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
        let name = reservation.runner.as_str();
        let is_failing = self.runners[name].failing_until > self.now;
        let duration = if is_failing {
            Some(FAILURE_MS)
        } else {
            entry.duration
        };
        self.starts.entry(reservation.task).or_insert(self.now);
        let run = FleetRun {
            task: reservation.task,
            runner: name.to_owned(),
            tenant: entry.meta.tenant.clone(),
            resources: entry.meta.resources,
            is_licensed: entry.meta.rules.licence.is_some(),
            fails: is_failing || entry.fails,
            started_at: self.now,
            ends_at: duration.map(|duration| self.now + duration),
        };
        self.runs.insert(reservation.run, run);
    }

    fn end_due_runs(&mut self) {
        let now = self.now;
        let is_due = |run: &FleetRun| {
            let is_frozen = self.runners[&run.runner].frozen_until > now;
            !is_frozen && run.ends_at.is_some_and(|end| end <= now)
        };
        let due = self.runs.iter().filter(|(_, run)| is_due(run));
        let due: Vec<RunId> = due.map(|(id, _)| *id).collect();
        for id in due {
            // The end of another run may have closed this one.
            if let Some(run) = self.runs.remove(&id) {
                self.end(id, &run);
            }
        }
    }

    /// Ends a run: a failure breaks its gang and leaves its task waiting, a success ends the
    /// task.
    fn end(&mut self, id: RunId, run: &FleetRun) {
        let name = runner(&run.runner);
        self.scheduler
            .record_outcome(&name, run.task, run.fails, at(self.now));
        let meta = self.tasks[&run.task].meta.clone();
        if run.fails {
            self.scheduler.reschedule(id, meta, at(self.now));
            self.close_runs(run.task, &run.runner);
            self.failed.push(run.task);
            return;
        }
        self.scheduler.remove_run(id);
        self.finish(run.task, meta.rules.gang);
    }

    /// Ends a task that is done, with its other copies. The tasks of a gang are done together.
    fn finish(&mut self, task: TaskRef, is_gang: bool) {
        let is_done = |other: &TaskRef| {
            let is_same_step = other.job == task.job && other.step == task.step;
            *other == task || (is_gang && is_same_step)
        };
        let runs = self.runs.iter().filter(|(_, run)| is_done(&run.task));
        let runs: Vec<RunId> = runs.map(|(id, _)| *id).collect();
        for run in runs {
            self.runs.remove(&run);
            self.scheduler.remove_run(run);
        }
        let tasks: Vec<TaskRef> = self.tasks.keys().copied().filter(is_done).collect();
        for task in tasks {
            self.scheduler.remove(task);
            self.tasks.remove(&task);
        }
    }

    fn send_heartbeats(&mut self) {
        let names: Vec<String> = self.runners.keys().cloned().collect();
        for name in names {
            let used = self.used(&name);
            let active = self.runs.iter().filter(|(_, run)| run.runner == name);
            let active = active.map(|(id, _)| super::active_run(*id)).collect();
            let state = self.runners.get_mut(&name).unwrap();
            if !state.is_up || state.frozen_until > self.now {
                continue;
            }
            state.sequence += 1;
            let report = RunnerReport {
                incarnation: RunnerIncarnation(state.incarnation),
                pool: state.pool.clone(),
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
