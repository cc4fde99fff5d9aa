//! What callers, operators and the leader ask.

use super::StateMachine;
use super::job::Job;
use configuration::ClusterConfiguration;
use std::ops::Bound;
use types::{
    ConfigurationVersion, JobKey, JobNumber, JobSpec, JobState, JobView, LicenceName, OpenRun,
    QueueName, Resources, RunId, RunName, RunSpec, RunnerId, TaskMeta, TaskRef, TaskState,
    TenantId, WallTime,
};

/// Where one task of a job stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskRef,
    /// Its state.
    pub state: TaskState,
    /// Failed runs so far.
    pub failed_runs: u32,
    /// Open runs now; a cancelled task may have some until they are stopped.
    pub open_runs: u32,
    /// Not before this time: the job's start time or a retry's backoff.
    pub not_before: Option<WallTime>,
}

impl StateMachine {
    /// Version and document in force.
    pub fn configuration(&self) -> (ConfigurationVersion, &ClusterConfiguration) {
        (self.version, &self.document)
    }

    /// A job as its caller sees it.
    pub fn job(&self, key: &JobKey) -> Option<JobView> {
        self.find(key).map(Job::view)
    }

    /// Where a job stands.
    pub fn job_state(&self, key: &JobKey) -> Option<JobState> {
        self.find(key).map(|job| job.state)
    }

    /// A job as its caller sees it, by its number.
    pub fn job_view(&self, number: JobNumber) -> Option<JobView> {
        self.jobs.get(&number).map(Job::view)
    }

    /// The job as submitted.
    pub fn job_spec(&self, key: &JobKey) -> Option<&JobSpec> {
        self.find(key).map(|job| &job.spec)
    }

    /// The caller's names of a job.
    pub fn job_key(&self, number: JobNumber) -> Option<JobKey> {
        self.jobs.get(&number).map(Job::key)
    }

    /// The number of a job.
    pub fn job_number(&self, key: &JobKey) -> Option<JobNumber> {
        self.indexes.numbers.get(key).copied()
    }

    fn find(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(&self.job_number(key)?)
    }

    /// Jobs in order of number after `after`, at most `limit`, of one tenant
    /// and one state where they are given.
    pub fn jobs(
        &self,
        tenant: Option<&TenantId>,
        state: Option<JobState>,
        after: Option<JobNumber>,
        limit: usize,
    ) -> Vec<(JobNumber, JobView)> {
        let range = (
            after.map_or(Bound::Unbounded, Bound::Excluded),
            Bound::Unbounded,
        );
        let numbers: Box<dyn Iterator<Item = JobNumber> + '_> = match tenant {
            Some(tenant) => {
                let numbers = self.indexes.of_tenant.get(tenant);
                Box::new(
                    numbers
                        .into_iter()
                        .flat_map(move |set| set.range(range).copied()),
                )
            }
            None => Box::new(self.jobs.range(range).map(|(number, _)| *number)),
        };
        numbers
            .filter_map(|number| self.jobs.get(&number).map(|job| (number, job)))
            .filter(|(_, job)| state.is_none_or(|state| state == job.state))
            .take(limit)
            .map(|(number, job)| (number, job.view()))
            .collect()
    }

    /// Every task that may start now or from its `not_before`, for republish
    /// and audit; from `after` on in order of job number, at most `limit` jobs.
    /// A running task with fewer open runs than its copies is among them.
    pub fn ready_tasks(&self, after: Option<JobNumber>, limit: usize) -> Vec<TaskMeta> {
        let range = (
            after.map_or(Bound::Unbounded, Bound::Excluded),
            Bound::Unbounded,
        );
        self.indexes
            .startable
            .range(range)
            .take(limit)
            .filter_map(|number| self.jobs.get(number).map(|job| (*number, job)))
            .flat_map(|(number, job)| {
                job.tasks(number)
                    .filter_map(move |task| job.startable_meta(task))
            })
            .collect()
    }

    /// Every open run.
    pub fn open_runs(&self) -> Vec<OpenRun> {
        self.open_runs.values().cloned().collect()
    }

    /// One open run.
    pub fn open_run(&self, run: RunId) -> Option<OpenRun> {
        self.open_runs.get(&run).cloned()
    }

    /// What a runner needs to start an open run.
    pub fn run_spec(&self, run: RunId) -> Option<RunSpec> {
        let open = self.open_runs.get(&run)?;
        let job = self.jobs.get(&open.task.job)?;
        let (step, _, _) = job.task(open.task)?;
        let payload = match step.payload.is_empty() {
            true => &job.spec.payload,
            false => &step.payload,
        };
        Some(RunSpec {
            run,
            job: job.key(),
            step: step.name.clone(),
            task: open.task.task,
            attempt: open.attempt,
            checkpoint: job.checkpoint(open.task).cloned(),
            resources: open.resources,
            time_limit: open.time_limit,
            payload: payload.clone(),
        })
    }

    /// A run as callers and runners name it.
    pub fn run_name(&self, open: &OpenRun) -> Option<RunName> {
        let job = self.jobs.get(&open.task.job)?;
        let step = job.spec.steps.get(usize::from(open.task.step))?;
        Some(RunName {
            job: job.spec.job.clone(),
            step: step.name.clone(),
            task: open.task.task,
            attempt: open.attempt,
        })
    }

    /// The open run that callers and runners know by this name.
    pub fn find_open_run(&self, name: &RunName) -> Option<RunId> {
        let of_name = |tenant: &TenantId| {
            let key = JobKey {
                tenant: tenant.clone(),
                job: name.job.clone(),
            };
            let number = self.job_number(&key)?;
            let job = self.jobs.get(&number)?;
            let step = job.spec.steps.iter().position(|s| s.name == name.step)?;
            let task = TaskRef {
                job: number,
                step: u16::try_from(step).ok()?,
                task: name.task,
            };
            let mut runs = self.indexes.runs_of(task);
            runs.find(|run| self.open_runs.get(run).map(|open| open.attempt) == Some(name.attempt))
        };
        self.indexes.of_tenant.keys().find_map(of_name)
    }

    /// Returns whether the run was closed, and its job is not forgotten.
    pub fn is_closed(&self, run: RunId) -> bool {
        self.indexes.closed_runs.contains(&run)
    }

    /// Runners that drain by order of an operator.
    pub fn draining_runners(&self) -> Vec<RunnerId> {
        self.draining_runners.iter().cloned().collect()
    }

    /// Unfinished jobs of all tenants.
    pub fn unfinished_jobs(&self) -> u64 {
        self.indexes.unfinished_count
    }

    /// Unfinished jobs of one tenant.
    pub fn unfinished_of_tenant(&self, tenant: &TenantId) -> u64 {
        self.indexes.unfinished_of_tenant(tenant)
    }

    /// Unfinished jobs of one queue.
    pub fn unfinished_of_queue(&self, queue: &QueueName) -> u64 {
        let count = self.indexes.unfinished_of_queue.get(queue);
        count.copied().unwrap_or(0)
    }

    /// What all open runs of a tenant hold, those of ended jobs among them.
    pub fn tenant_usage(&self, tenant: &TenantId) -> Resources {
        let usage = self.indexes.usage.get(tenant).copied();
        usage.unwrap_or_default().amount()
    }

    /// Seats of a licence that open runs take.
    pub fn seats_used(&self, licence: &LicenceName) -> u32 {
        self.indexes.seats.get(licence).copied().unwrap_or(0)
    }

    /// Where each task of a job stands, in order of step and position.
    pub fn task_states(&self, key: &JobKey) -> Option<Vec<TaskStatus>> {
        let number = self.job_number(key)?;
        let job = self.jobs.get(&number)?;
        let statuses = job.tasks(number).filter_map(|task| task_status(job, task));
        Some(statuses.collect())
    }
}

fn task_status(job: &Job, at: TaskRef) -> Option<TaskStatus> {
    let (step, _, task) = job.task(at)?;
    Some(TaskStatus {
        task: at,
        state: job.task_state(at)?,
        failed_runs: u32::from(task.failed_runs),
        open_runs: u32::from(task.open_runs),
        not_before: job.not_before(step, task),
    })
}
