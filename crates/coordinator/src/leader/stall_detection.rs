//! Detection of runs that are delayed by their runner. They make no progress, or
//! so little that another run of the task would finish earlier.

use crate::leader::run_tracker::{RunTracker, TrackedRun};
use crate::leader::runner_registry::{RunnerRegistry, RunnerState};
use state_machine::StateMachine;
use std::collections::BTreeSet;
use types::{JobNumber, Milliseconds, Monotonic};

/// Divisor of a run's expected time that gives its stall timeout. Even on a slow
/// runner, a run makes a percent of progress in much less time.
const STALL_TIMEOUT_DIVISOR: u64 = 4;
/// Minimum stall timeout.
const MIN_STALL_TIMEOUT: Milliseconds = Milliseconds(500);
/// Minimum time since the first progress report before a run counts as slow.
const MIN_OBSERVATION_TIME: Milliseconds = Milliseconds(300);
/// A run is slow if its remaining time exceeds the expected time of a whole run
/// by more than this factor.
const SLOW_FACTOR: u64 = 3;
/// Minimum number of jobs with slow runs on a runner before the runner counts as
/// slow.
const MIN_SLOW_JOBS: usize = 3;

/// Detects stalled and slow runs from the progress that runners report.
pub(super) struct StallDetector<'a> {
    /// Maximum time without progress. `None` if no run is moved.
    pub(super) stalled_after: Option<Milliseconds>,
    /// Whether runs on a slow runner are moved as well.
    pub(super) move_slow: bool,
    pub(super) runs: &'a RunTracker,
    pub(super) runners: &'a RunnerRegistry,
    pub(super) state_machine: &'a StateMachine,
}

impl StallDetector<'_> {
    /// Returns whether the run should be stopped and placed on another runner.
    /// This is never the case if its runner reports no progress.
    pub(super) fn is_stalled(&self, tracked: &TrackedRun) -> bool {
        let (Some(max_timeout), Some(progress)) = (self.stalled_after, tracked.progress()) else {
            return false;
        };
        let run = tracked.open_run();
        let Some(runner) = self.runners.get(&run.runner) else {
            return false;
        };
        if tracked.is_stop_requested() || self.state_machine.is_endless(run.task) {
            return false;
        }
        let expected = run.expected.unwrap_or(max_timeout);
        let timeout = if progress.is_at_start() && self.may_progress_late(tracked) {
            max_timeout
        } else {
            stall_timeout(expected).min(max_timeout)
        };
        let has_stalled = progress.since_progress(runner.last_seen()) >= timeout;
        let may_move = self.move_slow && is_slow(tracked, runner.last_seen());
        has_stalled || (may_move && self.is_on_slow_runner(tracked))
    }

    /// Returns whether most of the observed runs on the runner are slow, and the
    /// slow runs belong to at least [`MIN_SLOW_JOBS`] jobs. The expected times
    /// that callers give are too inaccurate to rely on a single job.
    fn is_on_slow_runner(&self, tracked: &TrackedRun) -> bool {
        let runner = &tracked.open_run().runner;
        let Some(last_seen) = self.runners.get(runner).map(RunnerState::last_seen) else {
            return false;
        };
        let runs = self.runs.of_runner(runner);
        let observed: Vec<&TrackedRun> = runs
            .iter()
            .filter_map(|run| self.runs.get(*run))
            .filter(|run| is_observed(run, last_seen))
            .collect();
        let slow = observed.iter().filter(|run| is_slow(run, last_seen));
        let jobs: BTreeSet<JobNumber> = slow.clone().map(|run| run.open_run().task.job).collect();
        jobs.len() >= MIN_SLOW_JOBS && slow.count() * 2 > observed.len()
    }

    /// Returns whether a run may need a long time until its first progress: a run
    /// with a checkpoint restores it first, and a member of a gang waits for the
    /// other members.
    fn may_progress_late(&self, tracked: &TrackedRun) -> bool {
        let run = tracked.open_run();
        let restores_checkpoint = self
            .state_machine
            .run_spec(run.run)
            .is_some_and(|spec| spec.checkpoint.is_some());
        restores_checkpoint || self.state_machine.is_gang(run.task)
    }
}

fn stall_timeout(expected: Milliseconds) -> Milliseconds {
    Milliseconds(expected.0 / STALL_TIMEOUT_DIVISOR).max(MIN_STALL_TIMEOUT)
}

fn is_observed(tracked: &TrackedRun, now: Monotonic) -> bool {
    let progress = tracked.progress();
    progress.is_some_and(|progress| progress.observation_time(now) >= MIN_OBSERVATION_TIME)
}

fn is_slow(tracked: &TrackedRun, now: Monotonic) -> bool {
    let (Some(progress), Some(expected)) = (tracked.progress(), tracked.open_run().expected) else {
        return false;
    };
    let remaining = progress.time_left();
    is_observed(tracked, now)
        && remaining.is_some_and(|time| time.0 > expected.0.saturating_mul(SLOW_FACTOR))
}
