//! Removal of finished jobs after their retention.

use super::StateMachine;
use crate::CommandReply;
use types::{JobNumber, WallTime};

impl StateMachine {
    /// Removes at most `limit` finished jobs that ended at or before `ended_before`,
    /// oldest first. A job with open runs is kept until they are closed, because
    /// they still use resources.
    pub(super) fn forget(&mut self, ended_before: WallTime, limit: u32) -> CommandReply {
        for _ in 0..limit {
            let Some(&(ended_at, number)) = self.indexes.forgettable.first() else {
                break;
            };
            if ended_at > ended_before {
                break;
            }
            self.indexes.forgettable.pop_first();
            self.forget_job(number);
        }
        CommandReply::Accepted
    }

    fn forget_job(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        self.indexes.remove_job(number, &job);
        for run in &job.closed_runs {
            self.lost_runs.remove(run);
        }
        let highest = job.closed_runs.iter().max().copied();
        self.highest_forgotten_run = self.highest_forgotten_run.max(highest);
    }
}
