//! Cancellation of jobs.

use super::StateMachine;
use crate::{CancelSelector, Change, CommandReply};
use types::{JobAccess, JobId, JobKey, JobNumber, JobState, QueueName, TenantId, WallTime};

impl StateMachine {
    /// Cancels the selected jobs that are not in a final state. Finished jobs are
    /// counted, and unknown keys are listed in the reply.
    pub(super) fn cancel(
        &mut self,
        selector: &CancelSelector,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut unknown = Vec::new();
        let mut selected = Vec::new();
        match selector {
            CancelSelector::Jobs(keys) => {
                for key in keys {
                    match self.indexes.numbers.get(key) {
                        Some(number) => selected.push(*number),
                        None => unknown.push(key.clone()),
                    }
                }
            }
            CancelSelector::Tenant { tenant, queue } => {
                selected = self.unfinished_numbers(tenant, queue.as_ref());
            }
        }
        self.cancel_jobs(selected, unknown, at, changes)
    }

    /// Cancels the job with this identifier that the caller may end. The reply counts no
    /// job if there is none.
    pub(super) fn cancel_accessible(
        &mut self,
        job: &JobId,
        access: &JobAccess,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let selected = self.find_accessible(job, access);
        self.cancel_jobs(selected, Vec::new(), at, changes)
    }

    fn cancel_jobs(
        &mut self,
        selected: impl IntoIterator<Item = JobNumber>,
        unknown: Vec<JobKey>,
        at: WallTime,
        changes: &mut Vec<Change>,
    ) -> CommandReply {
        let mut cancelled = 0;
        let mut finished = 0;
        for number in selected {
            if self.cancel_job(number, at, changes) {
                cancelled += 1;
            } else {
                finished += 1;
            }
        }
        CommandReply::Cancelled {
            cancelled,
            finished,
            unknown,
        }
    }

    /// Cancels a job if it is unfinished, and returns whether it was.
    fn cancel_job(&mut self, number: JobNumber, at: WallTime, changes: &mut Vec<Change>) -> bool {
        let job = self.jobs.get(&number);
        let unfinished = job.is_some_and(|job| !job.state.is_final());
        if unfinished {
            self.end_job(number, JobState::Cancelled, None, at, changes);
        }
        unfinished
    }

    /// Returns the unfinished jobs of a tenant, or of one of its queues, in order of
    /// submission.
    fn unfinished_numbers(&self, tenant: &TenantId, queue: Option<&QueueName>) -> Vec<JobNumber> {
        let Some(queues) = self.indexes.unfinished.get(tenant) else {
            return Vec::new();
        };
        let mut numbers: Vec<JobNumber> = queues
            .iter()
            .filter(|(name, _)| queue.is_none_or(|queue| queue == *name))
            .flat_map(|(_, numbers)| numbers.iter().copied())
            .collect();
        numbers.sort_unstable();
        numbers
    }
}
