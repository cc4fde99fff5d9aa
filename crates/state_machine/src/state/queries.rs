//! Queries of the state for callers, operators and the leader.

use super::StateMachine;
use super::job::{Job, Progress, TaskEntry};
use crate::mutation::Mutation;
use configuration::ClusterConfiguration;
use std::ops::Bound;
use types::{
    ConfigurationVersion, JobAccess, JobId, JobKey, JobNumber, JobSpec, JobState, JobView,
    LicenceName, OpenRun, QueueName, Resources, RunId, RunName, RunSpec, RunnerId, TaskMeta,
    TaskRef, TaskState, TenantId, WallTime,
};

/// Status of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskStatus {
    /// Position of the task in its job.
    pub task: TaskRef,
    /// State that follows from the task's progress, its step and its open runs.
    pub state: TaskState,
    /// Number of failed runs that count against the allowed failures.
    pub failed_runs: u32,
    /// Number of open runs. A cancelled task may have some until they are stopped.
    pub open_runs: u32,
    /// Earliest start: the start time or the end of the backoff after a failure.
    /// `None` if the task may start at any time.
    pub not_before: Option<WallTime>,
}

impl StateMachine {
    /// Returns the configuration in force and its version.
    pub fn configuration(&self) -> (ConfigurationVersion, &ClusterConfiguration) {
        (self.version, &self.document)
    }

    /// Returns the view of a job for callers.
    pub fn job(&self, key: &JobKey) -> Option<JobView> {
        self.find_job(key).map(Job::view)
    }

    /// Returns the state of a job.
    pub fn job_state(&self, key: &JobKey) -> Option<JobState> {
        self.find_job(key).map(|job| job.state)
    }

    /// Returns the view of a job for callers, by the job's number.
    pub fn job_view(&self, number: JobNumber) -> Option<JobView> {
        self.jobs.get(&number).map(Job::view)
    }

    /// Returns a job as submitted.
    pub fn job_spec(&self, key: &JobKey) -> Option<&JobSpec> {
        self.find_job(key).map(|job| &job.spec)
    }

    /// Returns the key by which callers name a job.
    pub fn job_key(&self, number: JobNumber) -> Option<JobKey> {
        self.jobs.get(&number).map(Job::key)
    }

    /// Returns the number of a job.
    pub fn job_number(&self, key: &JobKey) -> Option<JobNumber> {
        self.indexes.numbers.get(key).copied()
    }

    /// Returns the number of the job with this identifier that the caller may see.
    pub fn find_accessible(&self, job: &JobId, access: &JobAccess) -> Option<JobNumber> {
        let by_entry = self.indexes.numbers_by_entry.get(job).copied();
        let accessible = by_entry.filter(|number| self.is_accessible(*number, access));
        let of_tenant = |tenant: &TenantId| {
            self.job_number(&JobKey {
                tenant: tenant.clone(),
                job: job.clone(),
            })
        };
        accessible.or_else(|| access.tenants.iter().find_map(of_tenant))
    }

    fn is_accessible(&self, number: JobNumber, access: &JobAccess) -> bool {
        let job = self.jobs.get(&number);
        job.is_some_and(|job| access.allows(&job.spec.tenant, job.entry.as_ref()))
    }

    /// Returns the state of the job with this identifier that the caller may see.
    pub fn accessible_job_state(&self, job: &JobId, access: &JobAccess) -> Option<JobState> {
        let number = self.find_accessible(job, access)?;
        self.jobs.get(&number).map(|job| job.state)
    }

    fn find_job(&self, key: &JobKey) -> Option<&Job> {
        self.jobs.get(&self.job_number(key)?)
    }

    /// Returns at most `limit` jobs above the number `after`, in order of number.
    /// `tenant` and `state` limit them to one tenant and one state.
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

    /// Returns every task that may start now or at its `not_before`, of at most
    /// `limit` jobs above the number `after`, in order of number. A running task
    /// that may have a further copy is included.
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

    /// Returns all open runs in order of identifier.
    pub fn open_runs(&self) -> Vec<OpenRun> {
        self.open_runs.values().cloned().collect()
    }

    /// Returns an open run by its identifier.
    pub fn open_run(&self, run: RunId) -> Option<OpenRun> {
        self.open_runs.get(&run).cloned()
    }

    /// Returns whether an open run must be stopped: its task was cancelled, has failed
    /// or was done by another run, or the run belongs to a gang that cannot complete,
    /// since a run of it closed before the gang was done. `false` if the run is not
    /// open.
    ///
    /// This depends on the state alone, so every leader stops the same runs. The
    /// changes report each run when it becomes obsolete.
    pub fn is_obsolete(&self, run: RunId) -> bool {
        let Some(open) = self.open_runs.get(&run) else {
            return false;
        };
        let job = self.jobs.get(&open.task.job);
        let Some(entry) = job.and_then(|job| job.task(open.task)) else {
            return false;
        };
        let is_gang = entry.spec.rules.gang;
        match entry.task.progress {
            Progress::Cancelled | Progress::Failed => true,
            // The members of a gang end together, and one end reports the others as done.
            Progress::Done => !is_gang,
            Progress::Unfinished => {
                let is_broken = is_gang && !entry.step.is_each_task_running();
                is_broken && self.mutation != Some(Mutation::KeepRestOfGang)
            }
        }
    }

    /// Returns what a runner needs to start an open run.
    pub fn run_spec(&self, run: RunId) -> Option<RunSpec> {
        let open = self.open_runs.get(&run)?;
        let job = self.jobs.get(&open.task.job)?;
        let step = job.task(open.task)?.spec;
        let payload = if step.payload.is_empty() {
            &job.spec.payload
        } else {
            &step.payload
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

    /// Returns the name that callers and runners use for an open run.
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

    /// Returns the open run with this name. The name includes no tenant, so the
    /// tenants are searched in order and the first match is returned.
    pub fn find_open_run(&self, name: &RunName) -> Option<RunId> {
        let find_in_tenant = |tenant: &TenantId| {
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
        self.indexes.of_tenant.keys().find_map(find_in_tenant)
    }

    /// Returns whether the run is closed. `false` once its job is forgotten.
    pub fn is_closed(&self, run: RunId) -> bool {
        self.indexes.closed_runs.contains(&run)
    }

    /// Returns whether the task is a member of a gang.
    pub fn is_gang(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.is_gang(task.step))
    }

    /// Returns whether the task starts again after each run until its job is
    /// cancelled.
    pub fn is_endless(&self, task: TaskRef) -> bool {
        let job = self.jobs.get(&task.job);
        job.and_then(|job| job.task(task))
            .is_some_and(|entry| entry.spec.rules.endless)
    }

    /// Returns the runners that an operator has set to draining.
    pub fn draining_runners(&self) -> Vec<RunnerId> {
        self.draining_runners.iter().cloned().collect()
    }

    /// Returns the number of unfinished jobs of all tenants.
    pub fn unfinished_jobs(&self) -> u64 {
        self.indexes.unfinished_count
    }

    /// Returns the number of unfinished jobs of a tenant.
    pub fn unfinished_of_tenant(&self, tenant: &TenantId) -> u64 {
        self.indexes.unfinished_of_tenant(tenant)
    }

    /// Returns the number of unfinished jobs of a queue.
    pub fn unfinished_of_queue(&self, queue: &QueueName) -> u64 {
        let count = self.indexes.unfinished_of_queue.get(queue);
        count.copied().unwrap_or(0)
    }

    /// Returns the resources used by all open runs of a tenant, including those of
    /// finished jobs.
    pub fn tenant_usage(&self, tenant: &TenantId) -> Resources {
        let usage = self.indexes.usage.get(tenant).copied();
        usage.unwrap_or_default().to_resources()
    }

    /// Returns the number of seats of a licence that open runs occupy.
    pub fn seats_used(&self, licence: &LicenceName) -> u32 {
        self.indexes.seats.get(licence).copied().unwrap_or(0)
    }

    /// Returns the status of each task of a job, in order of step and position.
    pub fn task_states(&self, key: &JobKey) -> Option<Vec<TaskStatus>> {
        let number = self.job_number(key)?;
        let job = self.jobs.get(&number)?;
        let statuses = job.tasks(number).filter_map(|task| task_status(job, task));
        Some(statuses.collect())
    }
}

fn task_status(job: &Job, task_ref: TaskRef) -> Option<TaskStatus> {
    let TaskEntry { spec, task, .. } = job.task(task_ref)?;
    Some(TaskStatus {
        task: task_ref,
        state: job.task_state(task_ref)?,
        failed_runs: u32::from(task.failed_runs),
        open_runs: u32::from(task.open_runs),
        not_before: job.not_before(spec, task),
    })
}
