//! Open runs as the leader follows them, from their reservation to their close.

use crate::leader::progress_history::ProgressHistory;
use state_machine::ClosedRun;
use std::collections::{BTreeMap, BTreeSet};
use types::{ActiveRun, Milliseconds, Monotonic, OpenRun, Outcome, RunClose, RunId, RunnerId};

/// The leader stops a run this far past its time limit; its runner should have
/// done so by itself.
const TIME_LIMIT_GRACE: Milliseconds = Milliseconds(1_000);

/// What the leader knows about a run's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Reserved by this leader in this term; its start has not left, and no
    /// other process can send it.
    Reserved,
    /// Its one start has left, and no answer has come.
    Ordered,
    /// It may or may not have started: it is revoked until that is known.
    Uncertain,
    /// The runner has it, or an earlier leader says so; shown by heartbeats.
    Active,
}

/// An open run.
#[derive(Debug, Clone)]
pub(super) struct TrackedRun {
    open: OpenRun,
    phase: Phase,
    /// When the last order about it left, or when it entered this view.
    ordered_at: Monotonic,
    /// To be stopped: its task ended, its time limit passed, or it has stalled.
    stop_requested: bool,
    /// Stopped for its time limit: its end counts as a failure.
    timed_out: bool,
    /// Its close is on the way through the log.
    closing: bool,
    /// None where its runner reports no progress.
    progress: Option<ProgressHistory>,
    /// The newest checkpoint that it saved.
    checkpoint: Option<String>,
}

impl TrackedRun {
    fn new(open: OpenRun, phase: Phase, now: Monotonic) -> Self {
        Self {
            open,
            phase,
            ordered_at: now,
            stop_requested: false,
            timed_out: false,
            closing: false,
            progress: None,
            checkpoint: None,
        }
    }

    /// The run as the state machine has it.
    pub(super) fn open(&self) -> &OpenRun {
        &self.open
    }

    /// What is known about its start.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Time since the last order about the run left.
    pub(super) fn since_order(&self, now: Monotonic) -> Milliseconds {
        now.since(self.ordered_at)
    }

    /// Returns whether the run is to be stopped.
    pub(super) fn is_stop_requested(&self) -> bool {
        self.stop_requested
    }

    /// Returns whether its close is on the way through the log.
    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    /// The progress that its runner reports; none where it reports none.
    pub(super) fn progress(&self) -> Option<ProgressHistory> {
        self.progress
    }
}

/// All open runs, those bound to each runner, and the starts that are due.
#[derive(Debug, Default)]
pub(super) struct RunTracker {
    runs: BTreeMap<RunId, TrackedRun>,
    by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
    /// Reserved runs whose start is to leave at the end of this input.
    to_start: Vec<RunId>,
}

impl RunTracker {
    /// Adds a run that an earlier leader reserved. Whether its start left is
    /// not known; the next heartbeat of its runner shows it.
    pub(super) fn adopt(&mut self, run: OpenRun, now: Monotonic) {
        self.insert(TrackedRun::new(run, Phase::Active, now));
    }

    /// Adds a run that this leader reserved.
    pub(super) fn add_reserved(&mut self, run: OpenRun, now: Monotonic) {
        self.insert(TrackedRun::new(run, Phase::Reserved, now));
    }

    fn insert(&mut self, tracked: TrackedRun) {
        let run = tracked.open.run;
        let runner = tracked.open.runner.clone();
        self.by_runner.entry(runner).or_default().insert(run);
        self.runs.insert(run, tracked);
    }

    /// Removes a run that the state machine closed.
    pub(super) fn remove(&mut self, run: RunId) {
        let Some(tracked) = self.runs.remove(&run) else {
            return;
        };
        if let Some(runs) = self.by_runner.get_mut(&tracked.open.runner) {
            runs.remove(&run);
            if runs.is_empty() {
                self.by_runner.remove(&tracked.open.runner);
            }
        }
    }

    /// The open run of this identifier.
    pub(super) fn get(&self, run: RunId) -> Option<&TrackedRun> {
        self.runs.get(&run)
    }

    /// Number of open runs.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// All open runs, by identifier.
    pub(super) fn iter(&self) -> impl Iterator<Item = &TrackedRun> {
        self.runs.values()
    }

    /// Runs bound to a runner, in order.
    pub(super) fn of_runner(&self, runner: &RunnerId) -> Vec<RunId> {
        self.by_runner
            .get(runner)
            .map(|runs| runs.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Runners that have open runs.
    pub(super) fn runners(&self) -> impl Iterator<Item = &RunnerId> {
        self.by_runner.keys()
    }

    /// Queues the starts of reserved runs.
    pub(super) fn queue_starts(&mut self, runs: Vec<RunId>) {
        self.to_start.extend(runs);
    }

    /// Takes the runs whose start is due.
    pub(super) fn take_starts(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.to_start)
    }

    /// Discards queued starts: they must not leave any more.
    pub(super) fn discard_starts(&mut self) {
        self.to_start.clear();
    }

    /// Returns whether the run's start is due.
    pub(super) fn is_start_queued(&self, run: RunId) -> bool {
        self.to_start.contains(&run)
    }

    /// Records what is known about the run's start.
    pub(super) fn set_phase(&mut self, run: RunId, phase: Phase) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.phase = phase;
        }
    }

    /// Records that an order about the run leaves.
    pub(super) fn record_order(&mut self, run: RunId, now: Monotonic) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.ordered_at = now;
        }
    }

    /// Records that the runner has the run. One that is past its time limit is
    /// to be stopped.
    pub(super) fn record_active(&mut self, run: RunId, active: &ActiveRun, now: Monotonic) {
        self.record_checkpoint(run, active.checkpoint.as_ref());
        let Some(tracked) = self.runs.get_mut(&run) else {
            return;
        };
        tracked.phase = Phase::Active;
        if let Some(progress) = active.progress {
            tracked
                .progress
                .get_or_insert(ProgressHistory::new(progress, now))
                .record(progress, now);
        }
        let limit = tracked.open.time_limit + TIME_LIMIT_GRACE;
        if active.age > limit && !tracked.timed_out {
            tracked.timed_out = true;
            self.request_stop(run);
        }
    }

    /// Records that the runner neither has the run nor has ended it. Returns
    /// whether it is to be revoked: a start under way may still land, so that
    /// one waits for its answer; any other run cannot be told from one that
    /// never began.
    pub(super) fn record_absent(&mut self, run: RunId) -> bool {
        let Some(tracked) = self.runs.get_mut(&run) else {
            return false;
        };
        if tracked.phase != Phase::Active || tracked.closing {
            return false;
        }
        tracked.phase = Phase::Uncertain;
        true
    }

    /// Records the newest checkpoint of a run.
    pub(super) fn record_checkpoint(&mut self, run: RunId, checkpoint: Option<&String>) {
        if let (Some(tracked), Some(checkpoint)) = (self.runs.get_mut(&run), checkpoint)
            && tracked.checkpoint.as_ref() != Some(checkpoint)
        {
            tracked.checkpoint = Some(checkpoint.clone());
        }
    }

    /// Requests that a run is stopped; the next check of the runs sends it.
    pub(super) fn request_stop(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.stop_requested = true;
            tracked.ordered_at = Monotonic(0);
        }
    }

    /// Begins to close a run; none if it is not open or its close is on the
    /// way already.
    pub(super) fn begin_close(&mut self, run: RunId, close: RunClose) -> Option<ClosedRun> {
        let tracked = self.runs.get_mut(&run)?;
        if tracked.closing {
            return None;
        }
        tracked.closing = true;
        let was_stopped = close == RunClose::Ended(Outcome::Stopped);
        let close = if was_stopped && tracked.timed_out {
            RunClose::TimedOut
        } else {
            close
        };
        Some(ClosedRun {
            run,
            close,
            checkpoint: tracked.checkpoint.clone(),
        })
    }

    /// Records that a close was not proposed after all.
    pub(super) fn cancel_close(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.closing = false;
        }
    }
}
