//! Runs that their runner holds up: they stand still, or move on so slowly that
//! another run of the task would be done before.

use crate::leader::Leader;
use crate::runs::TrackedRun;
use record::Record;
use std::collections::BTreeSet;
use types::{JobNumber, Milliseconds, Monotonic};

/// A run has moved on by a percent long before this part of its expected time
/// is over, even on a slow runner.
const STALL_PART: u64 = 4;
/// No run counts as standing still before this time.
const SHORTEST_STALL: Milliseconds = Milliseconds(500);
/// No run counts as slow before it was watched for this time.
const SHORTEST_WATCH: Milliseconds = Milliseconds(300);
/// A run is slow when what is left would take this many times as long as a
/// whole run is expected to.
const SLOW_FACTOR: u64 = 3;
/// A runner is slow when runs of this many jobs on it are.
const SLOW_JOBS: usize = 3;

impl Leader {
    /// True when the run should be stopped and placed elsewhere. Nothing is
    /// known of a run whose runner tells no progress.
    pub(crate) fn is_held_up(&self, record: &Record, tracked: &TrackedRun) -> bool {
        let (Some(allowed), Some(pace)) = (self.options.stalled_after, tracked.pace) else {
            return false;
        };
        let Some(runner) = self.runners.get(&tracked.run.runner) else {
            return false;
        };
        if tracked.stop || record.is_endless(tracked.run.task) {
            return false;
        }
        let expected = tracked.run.expected.unwrap_or(allowed);
        let patience = match pace.last == 0 && may_begin_late(record, tracked) {
            true => allowed,
            false => patience_of(expected).min(allowed),
        };
        let stands_still = runner.heard.since(pace.last_at) >= patience;
        let may_move = self.options.move_slow && is_slow(tracked, runner.heard);
        stands_still || (may_move && self.is_slow_runner(tracked))
    }

    /// True when most of the runs watched on the runner are slow, and those of
    /// several jobs: callers' expectations are too rough to go by one.
    fn is_slow_runner(&self, tracked: &TrackedRun) -> bool {
        let runner = &tracked.run.runner;
        let Some(heard) = self.runners.get(runner).map(|runner| runner.heard) else {
            return false;
        };
        let runs = self.runs.of_runner(runner);
        let watched: Vec<&TrackedRun> = runs
            .iter()
            .filter_map(|run| self.runs.get(*run))
            .filter(|run| is_watched(run, heard))
            .collect();
        let slow = watched.iter().filter(|run| is_slow(run, heard));
        let jobs: BTreeSet<JobNumber> = slow.clone().map(|run| run.run.task.job).collect();
        jobs.len() >= SLOW_JOBS && slow.count() * 2 > watched.len()
    }
}

fn patience_of(expected: Milliseconds) -> Milliseconds {
    Milliseconds(expected.0 / STALL_PART).max(SHORTEST_STALL)
}

/// A run that goes on from a checkpoint first restores it, and a member of a
/// gang waits for the others.
fn may_begin_late(record: &Record, tracked: &TrackedRun) -> bool {
    let run = &tracked.run;
    let restores = record
        .run_spec(run.run)
        .is_some_and(|spec| spec.checkpoint.is_some());
    restores || record.is_gang(run.task)
}

fn is_watched(tracked: &TrackedRun, now: Monotonic) -> bool {
    let pace = tracked.pace.as_ref();
    pace.is_some_and(|pace| pace.watched(now) >= SHORTEST_WATCH)
}

fn is_slow(tracked: &TrackedRun, now: Monotonic) -> bool {
    let (Some(pace), Some(expected)) = (tracked.pace, tracked.run.expected) else {
        return false;
    };
    let left = pace.time_left();
    is_watched(tracked, now)
        && left.is_some_and(|left| left.0 > expected.0.saturating_mul(SLOW_FACTOR))
}
