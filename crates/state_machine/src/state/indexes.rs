//! Indexes and counters over jobs and open runs.

use super::job::Job;
use super::usage::Usage;
use std::collections::{BTreeMap, BTreeSet};
use types::{
    JobId, JobKey, JobNumber, LicenceName, OpenRun, QueueName, RunId, TaskRef, TenantId, WallTime,
};

/// Lowest run identifier.
const LOWEST_RUN: RunId = RunId {
    term: types::Term(0),
    sequence: 0,
};

/// Indexes and counters that are derived from the state and not stored.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Indexes {
    /// Numbers of jobs by key.
    pub numbers: BTreeMap<JobKey, JobNumber>,
    /// Numbers of the jobs that were submitted by entries, by identifier.
    pub numbers_by_entry: BTreeMap<JobId, JobNumber>,
    /// Stored jobs by tenant, finished ones included.
    pub of_tenant: BTreeMap<TenantId, BTreeSet<JobNumber>>,
    /// Jobs not in a final state, by tenant and queue.
    pub unfinished: BTreeMap<TenantId, BTreeMap<QueueName, BTreeSet<JobNumber>>>,
    /// Number of unfinished jobs by queue.
    pub unfinished_of_queue: BTreeMap<QueueName, u64>,
    /// Number of unfinished jobs of all tenants.
    pub unfinished_count: u64,
    /// Jobs with a task that may start, now or at its `not_before`.
    pub startable: BTreeSet<JobNumber>,
    /// Finished jobs without open runs, by end time.
    pub forgettable: BTreeSet<(WallTime, JobNumber)>,
    /// Closed runs of all stored jobs.
    pub closed_runs: BTreeSet<RunId>,
    /// Open runs by task.
    pub runs_of_task: BTreeSet<(TaskRef, RunId)>,
    /// Resources used by the open runs of each tenant.
    pub usage: BTreeMap<TenantId, Usage>,
    /// Number of seats occupied by open runs, by licence.
    pub seats: BTreeMap<LicenceName, u32>,
}

impl Indexes {
    /// Adds a job that is not in a final state.
    pub fn insert_unfinished(&mut self, number: JobNumber, job: &Job) {
        let queue = &job.spec.queue;
        self.unfinished
            .entry(job.spec.tenant.clone())
            .or_default()
            .entry(queue.clone())
            .or_default()
            .insert(number);
        *self.unfinished_of_queue.entry(queue.clone()).or_default() += 1;
        self.unfinished_count += 1;
    }

    /// Removes a job that reached a final state from the unfinished jobs.
    pub fn remove_unfinished(&mut self, number: JobNumber, job: &Job) {
        let queue = &job.spec.queue;
        if let Some(queues) = self.unfinished.get_mut(&job.spec.tenant) {
            if let Some(numbers) = queues.get_mut(queue) {
                numbers.remove(&number);
                if numbers.is_empty() {
                    queues.remove(queue);
                }
            }
            if queues.is_empty() {
                self.unfinished.remove(&job.spec.tenant);
            }
        }
        if let Some(count) = self.unfinished_of_queue.get_mut(queue) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.unfinished_of_queue.remove(queue);
            }
        }
        self.unfinished_count = self.unfinished_count.saturating_sub(1);
    }

    /// Adds a job to all indexes that its state requires.
    pub fn insert_job(&mut self, number: JobNumber, job: &Job) {
        self.numbers.insert(job.key(), number);
        if job.entry.is_some() {
            self.numbers_by_entry.insert(job.spec.job.clone(), number);
        }
        self.of_tenant
            .entry(job.spec.tenant.clone())
            .or_default()
            .insert(number);
        if !job.state.is_final() {
            self.insert_unfinished(number, job);
        }
        self.closed_runs.extend(&job.closed_runs);
        self.refresh(number, job);
    }

    /// Removes a forgotten job and its closed runs.
    pub fn remove_job(&mut self, number: JobNumber, job: &Job) {
        self.numbers.remove(&job.key());
        if job.entry.is_some() {
            self.numbers_by_entry.remove(&job.spec.job);
        }
        if let Some(numbers) = self.of_tenant.get_mut(&job.spec.tenant) {
            numbers.remove(&number);
            if numbers.is_empty() {
                self.of_tenant.remove(&job.spec.tenant);
            }
        }
        for run in &job.closed_runs {
            self.closed_runs.remove(run);
        }
    }

    /// Updates the indexes of startable and forgettable jobs after a job changed.
    pub fn refresh(&mut self, number: JobNumber, job: &Job) {
        if job.has_startable() {
            self.startable.insert(number);
        } else {
            self.startable.remove(&number);
        }
        if let (Some(ended_at), 0) = (job.ended_at, job.open_runs) {
            self.forgettable.insert((ended_at, number));
        }
    }

    /// Adds an open run with its resources and its licence seat.
    pub fn insert_run(&mut self, run: &OpenRun) {
        self.runs_of_task.insert((run.task, run.run));
        let usage = self.usage.entry(run.tenant.clone()).or_default();
        *usage = usage.plus(run.resources);
        if let Some(licence) = &run.licence {
            *self.seats.entry(licence.clone()).or_default() += 1;
        }
    }

    /// Moves a run from the open to the closed runs, and releases its resources and
    /// its licence seat.
    pub fn close_run(&mut self, run: &OpenRun) {
        self.runs_of_task.remove(&(run.task, run.run));
        self.closed_runs.insert(run.run);
        if let Some(licence) = &run.licence
            && let Some(used) = self.seats.get_mut(licence)
        {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.seats.remove(licence);
            }
        }
        if let Some(usage) = self.usage.get_mut(&run.tenant) {
            *usage = usage.minus(run.resources);
            if *usage == Usage::default() {
                self.usage.remove(&run.tenant);
            }
        }
    }

    /// Returns the open runs of a task.
    pub fn runs_of(&self, task: TaskRef) -> impl Iterator<Item = RunId> + '_ {
        let highest = RunId {
            term: types::Term(u64::MAX),
            sequence: u64::MAX,
        };
        self.runs_of_task
            .range((task, LOWEST_RUN)..=(task, highest))
            .map(|(_, run)| *run)
    }

    /// Returns the open runs of all tasks in the step of `task`.
    pub fn runs_of_step(&self, task: TaskRef) -> impl Iterator<Item = RunId> + '_ {
        let first = TaskRef { task: 0, ..task };
        let runs = self.runs_of_task.range((first, LOWEST_RUN)..);
        runs.take_while(move |(other, _)| (other.job, other.step) == (task.job, task.step))
            .map(|(_, run)| *run)
    }

    /// Returns the number of unfinished jobs of a tenant.
    pub fn unfinished_of_tenant(&self, tenant: &TenantId) -> u64 {
        let queues = self.unfinished.get(tenant);
        queues.map_or(0, |queues| {
            queues.values().map(|numbers| numbers.len() as u64).sum()
        })
    }
}
