//! Reads, answered from the state machine while the lease holds. All committed
//! entries are applied before an input is handled, so an answer includes every
//! change that was acknowledged before.

use crate::leader::Leader;
use crate::leader::rejections::{not_found, rejection_from};
use crate::leader::run_tracker::TrackedRun;
use configuration::ConfigurationUpdate;
use scheduler::NotPlacedReason;
use state_machine::{CommandRejection, StateMachine};
use std::collections::BTreeMap;
use transport::{
    JobFilter, LicenceView, Operation, OperationReply, QueueView, Rejection, TenantView,
};
use types::{ConfigurationVersion, JobKey, Now, QueueName, TaskRef, TaskState, TenantId};

/// Maximum number of jobs on one page.
const MAX_PAGE: usize = 1_000;
/// Maximum number of lines of an explanation.
const MAX_EXPLAINED: usize = 50;

/// Numbers of ready tasks and open runs of a queue or tenant.
#[derive(Debug, Clone, Copy, Default)]
struct TaskCounts {
    ready_tasks: u64,
    open_runs: u64,
}

impl Leader {
    /// Answers a read.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the requested job is unknown, or if the expected
    /// configuration update was not applied.
    pub(super) fn read(
        &mut self,
        state_machine: &StateMachine,
        operation: Operation,
        now: Now,
    ) -> Result<OperationReply, Rejection> {
        match operation {
            Operation::GetJob(key) => get_job(state_machine, &key),
            Operation::ListJobs(filter) => Ok(list_jobs(state_machine, &filter)),
            Operation::Explain(key) => self.explain(state_machine, &key, now),
            Operation::GetJobState(key) => get_job_state(state_machine, &key),
            Operation::GetAccessibleJobState { job, access } => {
                let state = state_machine.accessible_job_state(&job, &access);
                let unknown = || not_found(format!("job {job} is not known"));
                state.map(OperationReply::JobState).ok_or_else(unknown)
            }
            Operation::CountJobs(queue) => Ok(OperationReply::Count(
                state_machine.unfinished_of_queue(&queue),
            )),
            Operation::GetConfiguration | Operation::GetNewestConfiguration => {
                let (version, document) = state_machine.configuration();
                let document = document.clone();
                Ok(OperationReply::Configuration { version, document })
            }
            Operation::ConfirmUpdate { version, update } => {
                confirm_update(state_machine, version, &update)
            }
            Operation::ListRunners => Ok(OperationReply::Runners(self.scheduler.runners(now))),
            Operation::ListQueues => Ok(OperationReply::Queues(self.list_queues(state_machine))),
            Operation::ListTenants => Ok(OperationReply::Tenants(self.list_tenants(state_machine))),
            Operation::ListLicences => {
                Ok(OperationReply::Licences(self.list_licences(state_machine)))
            }
            Operation::Decisions { after, limit } => {
                let entries = self.decisions.after(after, limit as usize);
                Ok(OperationReply::Decisions(entries))
            }
            Operation::Submit(_)
            | Operation::SubmitByEntry { .. }
            | Operation::Cancel(_)
            | Operation::CancelAccessible { .. }
            | Operation::PutConfiguration { .. }
            | Operation::UpdateConfiguration { .. }
            | Operation::DrainRunner { .. }
            | Operation::DeclareRunnerLost { .. }
            | Operation::ListMembers => Err(not_found("the operation is not a read".to_owned())),
        }
    }

    /// Explains the state of a job with one line for each waiting task and for
    /// each open run.
    ///
    /// # Errors
    ///
    /// Returns a rejection if the job is unknown.
    fn explain(
        &self,
        state_machine: &StateMachine,
        key: &JobKey,
        now: Now,
    ) -> Result<OperationReply, Rejection> {
        let (Some(number), Some(job)) = (state_machine.job_number(key), state_machine.job(key))
        else {
            return Err(job_not_found(key));
        };
        let mut lines = Vec::new();
        if job.state.is_final() {
            let reason = job.reason.unwrap_or_default();
            lines.push(
                format!("the job is {:?} {reason}", job.state)
                    .trim()
                    .to_owned(),
            );
        }
        for status in state_machine.task_states(key).unwrap_or_default() {
            let task = status.task;
            let reason = match status.state {
                TaskState::Blocked => NotPlacedReason::WaitingForStep.to_string(),
                TaskState::Ready => self.waiting_reason(task, now),
                _ => continue,
            };
            lines.push(format!("task {task} waits: {reason}"));
            if lines.len() >= MAX_EXPLAINED {
                break;
            }
        }
        let open_runs = self.runs.iter().map(TrackedRun::open_run);
        for open_run in open_runs.filter(|open_run| open_run.task.job == number) {
            let (task, run, runner) = (open_run.task, open_run.run, &open_run.runner);
            lines.push(format!("task {task} has run {run} on runner {runner}"));
        }
        lines.truncate(MAX_EXPLAINED);
        Ok(OperationReply::Explained { lines })
    }

    fn waiting_reason(&self, task: TaskRef, now: Now) -> String {
        if let Some(since) = self.scheduler.unmet_since(task, now) {
            return format!(
                "no runner of the pool can meet its needs, at least since {}",
                since.0
            );
        }
        match self.scheduler.explain(task, now) {
            Some(reason) => reason.to_string(),
            None => "it is about to be placed".to_owned(),
        }
    }

    fn list_queues(&self, state_machine: &StateMachine) -> Vec<QueueView> {
        let counts: BTreeMap<QueueName, TaskCounts> =
            self.count(state_machine, |_, queue| queue.clone());
        let document = state_machine.configuration().1;
        document
            .queues
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                QueueView {
                    queue: name.clone(),
                    pool: settings.pool.clone(),
                    mode: settings.mode,
                    unfinished_jobs: state_machine.unfinished_of_queue(name),
                    ready_tasks: counts.ready_tasks,
                    open_runs: counts.open_runs,
                }
            })
            .collect()
    }

    fn list_licences(&self, state_machine: &StateMachine) -> Vec<LicenceView> {
        let licences = state_machine.configuration().1.licences.iter();
        licences
            .map(|(licence, settings)| LicenceView {
                licence: licence.clone(),
                seats: settings.seats,
                used: state_machine.seats_used(licence),
                waiting: self.scheduler.seat_usage(licence).waiting_tasks as u64,
            })
            .collect()
    }

    fn list_tenants(&self, state_machine: &StateMachine) -> Vec<TenantView> {
        let counts: BTreeMap<TenantId, TaskCounts> =
            self.count(state_machine, |tenant, _| tenant.clone());
        let document = state_machine.configuration().1;
        document
            .tenants
            .iter()
            .map(|(name, settings)| {
                let counts = counts.get(name).copied().unwrap_or_default();
                let ended = self.budgets.ended_jobs(name);
                TenantView {
                    tenant: name.clone(),
                    unfinished_jobs: state_machine.unfinished_of_tenant(name),
                    ready_tasks: counts.ready_tasks,
                    usage: state_machine.tenant_usage(name),
                    resource_limit: settings.resource_limit,
                    ended_jobs: ended.total,
                    late_jobs: ended.late,
                    failed_jobs: ended.failed,
                    budget_exceeded: ended.exceeds(&settings.error_budget),
                }
            })
            .collect()
    }

    /// Counts ready tasks and open runs, grouped by the key that `key` returns
    /// for a tenant and a queue. It iterates over all of them, so it is meant
    /// for operators' reads only.
    fn count<K: Ord>(
        &self,
        state_machine: &StateMachine,
        key: impl Fn(&TenantId, &QueueName) -> K,
    ) -> BTreeMap<K, TaskCounts> {
        let mut counts: BTreeMap<K, TaskCounts> = BTreeMap::new();
        for meta in state_machine.ready_tasks(None, usize::MAX) {
            let entry = counts.entry(key(&meta.tenant, &meta.queue)).or_default();
            entry.ready_tasks += 1;
        }
        for tracked in self.runs.iter() {
            let run = tracked.open_run();
            let entry = counts.entry(key(&run.tenant, &run.queue)).or_default();
            entry.open_runs += 1;
        }
        counts
    }
}

fn get_job(state_machine: &StateMachine, key: &JobKey) -> Result<OperationReply, Rejection> {
    state_machine
        .job(key)
        .map(|job| OperationReply::Job(Box::new(job)))
        .ok_or_else(|| job_not_found(key))
}

fn get_job_state(state_machine: &StateMachine, key: &JobKey) -> Result<OperationReply, Rejection> {
    state_machine
        .job_state(key)
        .map(OperationReply::JobState)
        .ok_or_else(|| job_not_found(key))
}

fn job_not_found(key: &JobKey) -> Rejection {
    not_found(format!("job {key} is not known"))
}

fn confirm_update(
    state_machine: &StateMachine,
    version: ConfigurationVersion,
    update: &ConfigurationUpdate,
) -> Result<OperationReply, Rejection> {
    if state_machine.has_applied(version, update) {
        let known = true;
        return Ok(OperationReply::Configured { version, known });
    }
    let (current, _) = state_machine.configuration();
    Err(rejection_from(CommandRejection::VersionConflict {
        wanted: version,
        current,
    }))
}

fn list_jobs(state_machine: &StateMachine, filter: &JobFilter) -> OperationReply {
    let limit = (filter.limit as usize).clamp(1, MAX_PAGE);
    let page = state_machine.jobs(filter.tenant.as_ref(), filter.state, filter.after, limit);
    let is_full = page.len() == limit;
    let next = page.last().map(|(number, _)| *number).filter(|_| is_full);
    let jobs = page.into_iter().map(|(_, job)| job).collect();
    OperationReply::Jobs { jobs, next }
}
