//! Submission of jobs, and their transition to a final state.

use super::StateMachine;
use super::job::{Job, Progress};
use super::submission;
use crate::mutation::Mutation;
use crate::{Change, CommandRejection, CommandReply};
use configuration::{ClusterConfiguration, QueueMode, QueueSettings, TenantSettings};
use types::{
    EntryAddress, JobAccess, JobKey, JobNumber, JobSpec, JobState, Milliseconds, OpenRun,
    QueueName, TaskRef, TenantId, WallTime,
};

/// Time after which a caller may retry that was rejected for too many unfinished
/// jobs.
pub const FULL_RETRY_AFTER: Milliseconds = Milliseconds(1_000);

/// Maximum length of the reason of a failed job, in bytes; a longer one is
/// truncated.
const MAX_REASON_BYTES: usize = 1_024;

impl StateMachine {
    /// Accepts a job, or acknowledges a resent one again. A resent job is
    /// acknowledged before any other check, since it was accepted under the
    /// configuration then in force.
    pub(super) fn submit(
        &mut self,
        spec: &JobSpec,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let known = self.indexes.numbers.get(&key);
        if let Some(number) = known
            && self.mutation != Some(Mutation::ResentSubmitIsNew)
        {
            return self.reply_to_resent(*number, key, spec);
        }
        let spec = self.check_submission(spec)?;
        Ok(self.store_job(Job::new(spec, None, at), changes))
    }

    /// Accepts a job that is submitted by an entry, or acknowledges a resent one again.
    pub(super) fn submit_by_entry(
        &mut self,
        spec: &JobSpec,
        entry: &EntryAddress,
        access: &JobAccess,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> Result<CommandReply, CommandRejection> {
        if let Some(reply) = self.reply_to_resent_by_entry(spec, access) {
            return reply;
        }
        let spec = self.check_submission(spec)?;
        Ok(self.store_job(Job::new(spec, Some(entry.clone()), at), changes))
    }

    /// Returns the reply to a job submitted by an entry whose identifier is known; `None`
    /// if it is not known.
    ///
    /// The identifier alone decides whether the job is known. The tenant of the caller
    /// and the queue follow from the configuration in force and may have changed since
    /// the job was accepted. They decide whether the caller may see the stored job, and
    /// so whether it is acknowledged.
    pub fn reply_to_resent_by_entry(
        &self,
        spec: &JobSpec,
        access: &JobAccess,
    ) -> Option<Result<CommandReply, CommandRejection>> {
        let key = JobKey {
            tenant: spec.tenant.clone(),
            job: spec.job.clone(),
        };
        let of_tenant = || self.job_number(&key);
        if let Some(number) = self.find_accessible(&spec.job, access).or_else(of_tenant) {
            return Some(self.reply_to_resent(number, key, spec));
        }
        let is_used = self.indexes.numbers_by_entry.contains_key(&spec.job);
        is_used.then(|| {
            Err(CommandRejection::IdentifierInUse {
                job: spec.job.clone(),
            })
        })
    }

    /// Stores a new job and reports its tasks that may start.
    fn store_job(&mut self, job: Job, changes: &mut Vec<Change>) -> CommandReply {
        let number = self.last_number.next();
        self.last_number = number;
        self.indexes.insert_job(number, &job);
        changes.extend(startable_changes(&job, job.tasks(number)));
        self.jobs.insert(number, job);
        CommandReply::Submitted {
            number,
            known: false,
        }
    }

    /// Acknowledges a resent job if its content equals that of the stored job.
    fn reply_to_resent(
        &self,
        number: JobNumber,
        key: JobKey,
        spec: &JobSpec,
    ) -> Result<CommandReply, CommandRejection> {
        let same = self.jobs.get(&number).is_some_and(|job| job.spec == *spec);
        if !same {
            return Err(CommandRejection::OtherContent { key });
        }
        Ok(CommandReply::Submitted {
            number,
            known: true,
        })
    }

    /// Validates a new job and returns the job to store. The tenant and queue names
    /// of that job share their memory with the configuration.
    fn check_submission(&self, spec: &JobSpec) -> Result<JobSpec, CommandRejection> {
        let (tenant, contract) = find_tenant(&self.document, &spec.tenant)?;
        let (queue, settings) = find_queue(&self.document, &spec.queue)?;
        if settings.mode == QueueMode::Draining {
            return Err(CommandRejection::QueueDraining {
                queue: queue.clone(),
            });
        }
        submission::validate_job(spec, &self.document).map_err(|error| {
            CommandRejection::InvalidJob {
                error: error.to_string(),
            }
        })?;
        check_limit(
            || format!("tenant {tenant}"),
            self.indexes.unfinished_of_tenant(tenant),
            contract.max_unfinished_jobs,
        )?;
        check_limit(
            || format!("queue {queue}"),
            self.unfinished_of_queue(queue),
            settings.max_unfinished_jobs,
        )?;
        Ok(JobSpec {
            tenant: tenant.clone(),
            queue: queue.clone(),
            ..spec.clone()
        })
    }

    /// Moves an unfinished job to a final state. Every unfinished task is cancelled
    /// and reported with its open runs, so that the leader stops them.
    pub(super) fn end_job(
        &mut self,
        number: JobNumber,
        state: JobState,
        reason: Option<String>,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let unfinished: Vec<TaskRef> = job
            .tasks(number)
            .filter(|task| is_unfinished(job, *task))
            .collect();
        for task in &unfinished {
            job.change_task(*task, |task| task.progress = Progress::Cancelled);
        }
        job.state = state;
        job.reason = reason.map(truncate_reason);
        job.ended_at = Some(at);
        let ended = Change::JobEnded {
            key: job.key(),
            number,
            state,
            waited: waiting_time(job),
        };
        self.indexes.remove_unfinished(number, job);
        self.indexes.refresh(number, job);
        for task in unfinished {
            changes.push(self.task_ended(task));
        }
        changes.push(ended);
    }

    /// Returns the change that reports the end of a task, with its open runs.
    pub(super) fn task_ended(&self, task: TaskRef) -> Change {
        let runs = self.indexes.runs_of(task);
        let open_runs: Vec<OpenRun> = runs
            .filter_map(|run| self.open_runs.get(&run).cloned())
            .collect();
        Change::TaskEnded { task, open_runs }
    }

    /// Records that a step is done. Reports the tasks that may start now, and ends
    /// the job if all its steps are done.
    pub(super) fn complete_step(
        &mut self,
        number: JobNumber,
        step: u16,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        for unblocked in job.complete_step(step) {
            changes.extend(startable_changes(job, job.step_tasks(number, unblocked)));
        }
        self.indexes.refresh(number, job);
        if job.all_done() {
            self.end_job(number, JobState::Done, None, at, changes);
        }
    }
}

/// Returns whether the task may still have further runs.
pub(super) fn is_unfinished(job: &Job, task: TaskRef) -> bool {
    job.task(task)
        .is_some_and(|entry| entry.task.progress == Progress::Unfinished)
}

fn startable_changes<'a>(
    job: &'a Job,
    tasks: impl Iterator<Item = TaskRef> + 'a,
) -> impl Iterator<Item = Change> + 'a {
    tasks
        .filter_map(|task| job.startable_meta(task))
        .map(Change::TaskReady)
}

fn find_tenant<'a>(
    document: &'a ClusterConfiguration,
    name: &TenantId,
) -> Result<(&'a TenantId, &'a TenantSettings), CommandRejection> {
    let unknown = || CommandRejection::UnknownTenant {
        tenant: name.clone(),
    };
    document.tenants.get_key_value(name).ok_or_else(unknown)
}

fn find_queue<'a>(
    document: &'a ClusterConfiguration,
    name: &QueueName,
) -> Result<(&'a QueueName, &'a QueueSettings), CommandRejection> {
    let unknown = || CommandRejection::UnknownQueue {
        queue: name.clone(),
    };
    document.queues.get_key_value(name).ok_or_else(unknown)
}

/// Checks that a tenant or queue, described by `owner`, has fewer unfinished jobs
/// than its limit.
fn check_limit(
    owner: impl FnOnce() -> String,
    unfinished: u64,
    limit: u64,
) -> Result<(), CommandRejection> {
    if unfinished < limit {
        return Ok(());
    }
    Err(CommandRejection::Full {
        what: owner(),
        limit,
        retry_after: FULL_RETRY_AFTER,
    })
}

/// Returns the time from the submission to the first reservation; `None` if no run
/// was reserved.
fn waiting_time(job: &Job) -> Option<Milliseconds> {
    let reserved_at = job.first_reserved_at?;
    Some(Milliseconds(
        reserved_at.0.saturating_sub(job.submitted_at.0),
    ))
}

fn truncate_reason(mut reason: String) -> String {
    if reason.len() > MAX_REASON_BYTES {
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        reason.truncate(end);
    }
    reason
}
