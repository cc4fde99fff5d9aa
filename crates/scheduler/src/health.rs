//! Health of a runner, judged by how runs of different jobs end on it.
//!
//! A runner on which many jobs fail is to blame; a job that fails on many
//! runners is not the runners' fault and uses up its own allowed failures.

use std::collections::{BTreeSet, VecDeque};
use types::{JobNumber, Milliseconds, Monotonic};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum TaskStatus {
    #[default]
    Trusted,
    OnProbation {
        until: Monotonic,
    },
}

/// Failures since the last success, and where that has put the runner.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Different jobs with a failed run since the last done one, oldest first.
    failed_jobs: VecDeque<JobNumber>,
    status: TaskStatus,
    /// How the newest runs ended, oldest first.
    recent: VecDeque<Ended>,
}

/// How a run ended.
#[derive(Debug, Clone, Copy)]
struct Ended {
    at: Monotonic,
    /// The job, where the run failed.
    failed: Option<JobNumber>,
}

/// Ends remembered.
const RECENT_ENDS: usize = 12;
/// Ends longer ago say nothing of a runner any more.
const RECENT_WITHIN: Milliseconds = Milliseconds(3_000);
/// A runner is suspect when runs of this many jobs failed on it lately, and at
/// least half of all that ended there.
const SUSPECT_JOBS: usize = 2;

impl Health {
    /// A run ended done: the runner is trusted again.
    pub(crate) fn record_done(&mut self, now: Monotonic) {
        self.remember(now, None);
        self.failed_jobs.clear();
        self.status = TaskStatus::Trusted;
    }

    /// A run of `job` failed. True when the runner should go on probation.
    pub(crate) fn record_failed(&mut self, job: JobNumber, threshold: u32, now: Monotonic) -> bool {
        self.remember(now, Some(job));
        if self.failed_jobs.contains(&job) {
            return false;
        }
        self.failed_jobs.push_back(job);
        let threshold = threshold.max(1) as usize;
        while self.failed_jobs.len() > threshold {
            self.failed_jobs.pop_front();
        }
        self.failed_jobs.len() == threshold && !self.on_probation(now)
    }

    fn remember(&mut self, at: Monotonic, failed: Option<JobNumber>) {
        self.recent.push_back(Ended { at, failed });
        if self.recent.len() > RECENT_ENDS {
            self.recent.pop_front();
        }
    }

    /// Returns whether much of what ended on the runner lately has failed: others
    /// are given work first.
    pub(crate) fn is_suspect(&self, now: Monotonic) -> bool {
        let recent = self.recent.iter();
        let recent = recent.filter(|ended| now.since(ended.at) <= RECENT_WITHIN);
        let failed = recent.clone().filter_map(|ended| ended.failed);
        // Asked for every runner in every placement, and nearly always no.
        let failures = failed.clone().count();
        if failures < SUSPECT_JOBS || failures * 2 < recent.count() {
            return false;
        }
        let jobs: BTreeSet<JobNumber> = failed.collect();
        jobs.len() >= SUSPECT_JOBS
    }

    /// Puts the runner on probation.
    pub(crate) fn start_probation(&mut self, now: Monotonic, length: Milliseconds) {
        self.status = TaskStatus::OnProbation {
            until: now + length,
        };
    }

    /// Returns whether nothing may start on the runner.
    pub(crate) fn on_probation(&self, now: Monotonic) -> bool {
        matches!(self.status, TaskStatus::OnProbation { until } if now < until)
    }

    /// True from the end of probation to the first success: one run at a time.
    pub(crate) fn on_trial(&self, now: Monotonic) -> bool {
        matches!(self.status, TaskStatus::OnProbation { until } if now >= until)
    }
}
