//! Runs that their runner holds up: they stand still, or move on so slowly that
//! another run of the task would be done before.

use crate::leader::Leader;
use crate::runs::TrackedRun;
use state_machine::StateMachine;
use std::collections::BTreeSet;
use types::{JobNumber, Milliseconds, Monotonic};

/// A run has moved on by a percent long before this part of its expected time
/// is over, even on a slow runner.
const STALL_PART: u64 = 4;
/// No run counts as standing still before this time.
const MIN_STALL: Milliseconds = Milliseconds(500);
/// No run counts as slow before it was watched for this time.
const MIN_OBSERVATION: Milliseconds = Milliseconds(300);
/// A run is slow when what is left would take this many times as long as a
/// whole run is expected to.
const SLOW_FACTOR: u64 = 3;
/// A runner is slow when runs of this many jobs on it are.
const SLOW_JOBS: usize = 3;

impl Leader {
    /// Returns whether the run should be stopped and placed elsewhere. Nothing is
    /// known of a run whose runner tells no progress.
    pub(crate) fn is_stalled(&self, state_machine: &StateMachine, tracked: &TrackedRun) -> bool {
        let (Some(allowed), Some(progress_history)) =
            (self.options.stalled_after, tracked.progress_history)
        else {
            return false;
        };
        let Some(runner) = self.runners.get(&tracked.run.runner) else {
            return false;
        };
        if tracked.stop || state_machine.is_endless(tracked.run.task) {
            return false;
        }
        let expected = tracked.run.expected.unwrap_or(allowed);
        let timeout = match progress_history.last == 0 && may_begin_late(state_machine, tracked) {
            true => allowed,
            false => stall_timeout(expected).min(allowed),
        };
        let has_stalled = runner.last_seen.since(progress_history.last_at) >= timeout;
        let may_move = self.options.move_slow && is_slow(tracked, runner.last_seen);
        has_stalled || (may_move && self.is_slow_runner(tracked))
    }

    /// Returns whether most of the runs watched on the runner are slow, and those of
    /// several jobs: callers' expectations are too rough to go by one.
    fn is_slow_runner(&self, tracked: &TrackedRun) -> bool {
        let runner = &tracked.run.runner;
        let Some(last_seen) = self.runners.get(runner).map(|runner| runner.last_seen) else {
            return false;
        };
        let runs = self.runs.of_runner(runner);
        let watched: Vec<&TrackedRun> = runs
            .iter()
            .filter_map(|run| self.runs.get(*run))
            .filter(|run| is_watched(run, last_seen))
            .collect();
        let slow = watched.iter().filter(|run| is_slow(run, last_seen));
        let jobs: BTreeSet<JobNumber> = slow.clone().map(|run| run.run.task.job).collect();
        jobs.len() >= SLOW_JOBS && slow.count() * 2 > watched.len()
    }
}

fn stall_timeout(expected: Milliseconds) -> Milliseconds {
    Milliseconds(expected.0 / STALL_PART).max(MIN_STALL)
}

/// A run that goes on from a checkpoint first restores it, and a member of a
/// gang waits for the others.
fn may_begin_late(state_machine: &StateMachine, tracked: &TrackedRun) -> bool {
    let run = &tracked.run;
    let restores = state_machine
        .run_spec(run.run)
        .is_some_and(|spec| spec.checkpoint.is_some());
    restores || state_machine.is_gang(run.task)
}

fn is_watched(tracked: &TrackedRun, now: Monotonic) -> bool {
    let progress_history = tracked.progress_history.as_ref();
    progress_history
        .is_some_and(|progress_history| progress_history.watched(now) >= MIN_OBSERVATION)
}

fn is_slow(tracked: &TrackedRun, now: Monotonic) -> bool {
    let (Some(progress_history), Some(expected)) = (tracked.progress_history, tracked.run.expected)
    else {
        return false;
    };
    let left = progress_history.time_left();
    is_watched(tracked, now)
        && left.is_some_and(|left| left.0 > expected.0.saturating_mul(SLOW_FACTOR))
}
