//! Health of a runner, by the outcomes of its runs of different jobs.
//!
//! Failures of many jobs on one runner count against the runner. Failures of one
//! job on many runners count against the job, by its allowed failures.

use std::collections::{BTreeSet, VecDeque};
use types::{JobNumber, Milliseconds, Monotonic};

/// Recent outcomes of runs on a runner, and its probation.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    /// Different jobs with a failed run since the last success, oldest first.
    failed_jobs: VecDeque<JobNumber>,
    /// End of the probation, after which the runner is on trial until a run succeeds
    /// or outlives the trial; `None` when it is neither on probation nor on trial.
    probation_until: Option<Monotonic>,
    /// Outcomes of the most recent runs, oldest first.
    recent: VecDeque<RecentOutcome>,
}

/// Outcome of one run.
#[derive(Debug, Clone, Copy)]
struct RecentOutcome {
    at: Monotonic,
    /// Job of a failed run; `None` for a success.
    failed_job: Option<JobNumber>,
}

/// Maximum number of outcomes kept for a runner.
const MAX_RECENT_OUTCOMES: usize = 12;
/// Age up to which an outcome counts as recent.
const RECENT_WINDOW: Milliseconds = Milliseconds(3_000);
/// A runner is suspect when at least this many different jobs, and at least half
/// of all runs, failed on it recently.
const MIN_SUSPECT_JOBS: usize = 2;

impl Health {
    /// Records a successful run, which ends the trial after a probation.
    pub(crate) fn record_done(&mut self, now: Monotonic) {
        self.record_outcome(now, None);
        self.end_trial();
    }

    /// Ends the trial after a probation: the runner works, so its earlier failures no
    /// longer count.
    pub(crate) fn end_trial(&mut self) {
        self.failed_jobs.clear();
        self.probation_until = None;
    }

    /// Records a failed run of `job`. Returns whether the runner has reached the
    /// threshold of failed jobs and is not on probation yet.
    pub(crate) fn record_failed(&mut self, job: JobNumber, threshold: u32, now: Monotonic) -> bool {
        self.record_outcome(now, Some(job));
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

    fn record_outcome(&mut self, at: Monotonic, failed_job: Option<JobNumber>) {
        self.recent.push_back(RecentOutcome { at, failed_job });
        if self.recent.len() > MAX_RECENT_OUTCOMES {
            self.recent.pop_front();
        }
    }

    /// Returns whether many recent runs failed, so that other runners get work
    /// first.
    pub(crate) fn is_suspect(&self, now: Monotonic) -> bool {
        let recent = self.recent.iter();
        let recent = recent.filter(|outcome| now.since(outcome.at) <= RECENT_WINDOW);
        let failed = recent.clone().filter_map(|outcome| outcome.failed_job);
        // This check runs for every runner in every placement. Nearly all calls
        // return here, before the set of jobs is built.
        let failures = failed.clone().count();
        if failures < MIN_SUSPECT_JOBS || failures * 2 < recent.count() {
            return false;
        }
        let jobs: BTreeSet<JobNumber> = failed.collect();
        jobs.len() >= MIN_SUSPECT_JOBS
    }

    /// Puts the runner on probation for the given duration.
    pub(crate) fn start_probation(&mut self, now: Monotonic, duration: Milliseconds) {
        self.probation_until = Some(now + duration);
    }

    /// Returns whether the runner is on probation and may start nothing.
    pub(crate) fn on_probation(&self, now: Monotonic) -> bool {
        self.probation_until.is_some_and(|until| now < until)
    }

    /// Returns when the trial began: at the end of the probation, unless a run has
    /// succeeded since. A runner on trial starts one run at a time. `None` when it is
    /// not on trial.
    pub(crate) fn trial_began_at(&self, now: Monotonic) -> Option<Monotonic> {
        self.probation_until.filter(|until| now >= *until)
    }
}
