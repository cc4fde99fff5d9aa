//! Detection of runs that their runner holds up: they make no progress, or so
//! little that another run of the task would be done before.

use crate::leader::run_tracker::{RunTracker, TrackedRun};
use crate::leader::runner_registry::{RunnerRegistry, RunnerState};
use state_machine::StateMachine;
use std::collections::BTreeSet;
use types::{JobNumber, Milliseconds, Monotonic};

/// A run has made a percent of progress long before this part of its expected
/// time is over, even on a slow runner.
const STALL_PART: u64 = 4;
/// No run counts as stalled before this time.
const MIN_STALL: Milliseconds = Milliseconds(500);
/// No run counts as slow before it was observed for this time.
const MIN_OBSERVATION: Milliseconds = Milliseconds(300);
/// A run is slow when what is left would take this many times as long as a
/// whole run is expected to.
const SLOW_FACTOR: u64 = 3;
/// A runner is slow when runs of this many jobs on it are.
const SLOW_JOBS: usize = 3;

/// Detects stalled and slow runs from the progress that runners report.
pub(super) struct StallDetector<'a> {
    /// Longest time without progress; none where no run is moved.
    pub(super) stalled_after: Option<Milliseconds>,
    /// Whether runs on a slow runner are moved as well.
    pub(super) move_slow: bool,
    pub(super) runs: &'a RunTracker,
    pub(super) runners: &'a RunnerRegistry,
    pub(super) state_machine: &'a StateMachine,
}

impl StallDetector<'_> {
    /// Returns whether the run should be stopped and placed elsewhere. A run
    /// whose runner reports no progress never is.
    pub(super) fn is_stalled(&self, tracked: &TrackedRun) -> bool {
        let (Some(allowed), Some(progress)) = (self.stalled_after, tracked.progress()) else {
            return false;
        };
        let run = tracked.open();
        let Some(runner) = self.runners.get(&run.runner) else {
            return false;
        };
        if tracked.is_stop_requested() || self.state_machine.is_endless(run.task) {
            return false;
        }
        let expected = run.expected.unwrap_or(allowed);
        let timeout = if progress.is_at_start() && self.may_begin_late(tracked) {
            allowed
        } else {
            stall_timeout(expected).min(allowed)
        };
        let has_stalled = progress.since_progress(runner.last_seen()) >= timeout;
        let may_move = self.move_slow && is_slow(tracked, runner.last_seen());
        has_stalled || (may_move && self.is_on_slow_runner(tracked))
    }

    /// Returns whether most of the observed runs on the runner are slow, and
    /// those of several jobs: callers' expectations are too rough to go by one.
    fn is_on_slow_runner(&self, tracked: &TrackedRun) -> bool {
        let runner = &tracked.open().runner;
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
        let jobs: BTreeSet<JobNumber> = slow.clone().map(|run| run.open().task.job).collect();
        jobs.len() >= SLOW_JOBS && slow.count() * 2 > observed.len()
    }

    /// Returns whether a run may take long to its first progress: one that goes
    /// on from a checkpoint first restores it, and a member of a gang waits for
    /// the others.
    fn may_begin_late(&self, tracked: &TrackedRun) -> bool {
        let run = tracked.open();
        let restores_checkpoint = self
            .state_machine
            .run_spec(run.run)
            .is_some_and(|spec| spec.checkpoint.is_some());
        restores_checkpoint || self.state_machine.is_gang(run.task)
    }
}

fn stall_timeout(expected: Milliseconds) -> Milliseconds {
    Milliseconds(expected.0 / STALL_PART).max(MIN_STALL)
}

fn is_observed(tracked: &TrackedRun, now: Monotonic) -> bool {
    let progress = tracked.progress();
    progress.is_some_and(|progress| progress.observed(now) >= MIN_OBSERVATION)
}

fn is_slow(tracked: &TrackedRun, now: Monotonic) -> bool {
    let (Some(progress), Some(expected)) = (tracked.progress(), tracked.open().expected) else {
        return false;
    };
    let left = progress.time_left();
    is_observed(tracked, now)
        && left.is_some_and(|left| left.0 > expected.0.saturating_mul(SLOW_FACTOR))
}
