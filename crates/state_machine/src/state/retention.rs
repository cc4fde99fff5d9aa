//! Forgetting finished jobs.

use super::StateMachine;
use crate::CommandReply;
use types::{JobNumber, WallTime};

impl StateMachine {
    /// Forgets final jobs that ended at or before a time, oldest first. A job
    /// with open runs stays until they are closed: its runs hold resources.
    pub(super) fn forget(&mut self, ended_before: WallTime, limit: u32) -> CommandReply {
        for _ in 0..limit {
            match self.indexes.forgettable.first() {
                Some((ended_at, number)) if *ended_at <= ended_before => {
                    let number = *number;
                    self.indexes.forgettable.pop_first();
                    self.forget_job(number);
                }
                _ => break,
            }
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
