//! Open runs that the leader tracks from their reservation until the replicated
//! log records their end, which closes them.

use crate::leader::progress_history::ProgressHistory;
use state_machine::ClosedRun;
use std::collections::{BTreeMap, BTreeSet};
use types::{ActiveRun, Milliseconds, Monotonic, OpenRun, Outcome, RunClose, RunId, RunnerId};

/// Time past a run's time limit after which the leader stops the run. Its runner
/// should have stopped it before.
const TIME_LIMIT_GRACE: Milliseconds = Milliseconds(1_000);

/// StartPhase of a run's start, as known to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartPhase {
    /// Reserved by this leader in this term. The start is not sent yet, and no
    /// other process can send it.
    Reserved,
    /// The only start was sent, and no answer has arrived.
    Ordered,
    /// The run may or may not have started. It is revoked until the outcome is
    /// known.
    Uncertain,
    /// The runner has the run, or an earlier leader reserved it. Heartbeats show
    /// whether the runner really has it.
    Active,
}

/// An open run.
#[derive(Debug, Clone)]
pub(super) struct TrackedRun {
    open_run: OpenRun,
    phase: StartPhase,
    /// When the last order about the run was sent, or if there was none, when
    /// the run was added. 0 makes the next order due immediately.
    ordered_at: Monotonic,
    /// Whether the run must stop: its task ended, its time limit passed, or it
    /// has stalled.
    stop_requested: bool,
    /// Whether the time limit passed, so that the end of the run counts as a
    /// failure.
    timed_out: bool,
    /// Whether a command that closes the run is collected or proposed, but not
    /// applied.
    closing: bool,
    /// Progress of the run. `None` if the newest report contains no progress.
    progress: Option<ProgressHistory>,
    /// Newest checkpoint that the run saved. `None` before the first one.
    checkpoint: Option<String>,
}

impl TrackedRun {
    fn new(open_run: OpenRun, phase: StartPhase, now: Monotonic) -> Self {
        Self {
            open_run,
            phase,
            ordered_at: now,
            stop_requested: false,
            timed_out: false,
            closing: false,
            progress: None,
            checkpoint: None,
        }
    }

    /// Returns the run as recorded by the state machine.
    pub(super) fn open_run(&self) -> &OpenRun {
        &self.open_run
    }

    /// Returns the phase of the run's start.
    pub(super) fn phase(&self) -> StartPhase {
        self.phase
    }

    /// Returns the time since the last order about the run was sent.
    pub(super) fn since_order(&self, now: Monotonic) -> Milliseconds {
        now.since(self.ordered_at)
    }

    /// Returns whether a stop of the run is requested.
    pub(super) fn is_stop_requested(&self) -> bool {
        self.stop_requested
    }

    /// Returns whether a command that closes the run is collected or proposed,
    /// but not applied.
    pub(super) fn is_closing(&self) -> bool {
        self.closing
    }

    /// Returns the progress of the run, or `None` if its runner reports no
    /// progress.
    pub(super) fn progress(&self) -> Option<ProgressHistory> {
        self.progress
    }
}

/// All open runs, indexed by identifier and by runner, and the queued starts.
#[derive(Debug, Default)]
pub(super) struct RunTracker {
    runs: BTreeMap<RunId, TrackedRun>,
    by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
    /// Reserved runs whose start is to be sent at the end of this input.
    to_start: Vec<RunId>,
}

impl RunTracker {
    /// Adds a run that an earlier leader reserved. It is unknown whether its
    /// start was sent; the next heartbeat of its runner shows it.
    pub(super) fn adopt(&mut self, run: OpenRun, now: Monotonic) {
        self.insert(TrackedRun::new(run, StartPhase::Active, now));
    }

    /// Adds a run that this leader reserved.
    pub(super) fn add_reserved(&mut self, run: OpenRun, now: Monotonic) {
        self.insert(TrackedRun::new(run, StartPhase::Reserved, now));
    }

    fn insert(&mut self, tracked: TrackedRun) {
        let run = tracked.open_run.run;
        let runner = tracked.open_run.runner.clone();
        self.by_runner.entry(runner).or_default().insert(run);
        self.runs.insert(run, tracked);
    }

    /// Removes a run that the state machine closed.
    pub(super) fn remove(&mut self, run: RunId) {
        let Some(tracked) = self.runs.remove(&run) else {
            return;
        };
        if let Some(runs) = self.by_runner.get_mut(&tracked.open_run.runner) {
            runs.remove(&run);
            if runs.is_empty() {
                self.by_runner.remove(&tracked.open_run.runner);
            }
        }
    }

    /// Returns the tracked run `run`, or `None` if it is not open.
    pub(super) fn get(&self, run: RunId) -> Option<&TrackedRun> {
        self.runs.get(&run)
    }

    /// Returns the number of open runs.
    pub(super) fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns the number of open runs whose stop is requested.
    pub(super) fn stop_requested_count(&self) -> usize {
        self.iter().filter(|run| run.stop_requested).count()
    }

    /// Returns all open runs in the order of their identifiers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &TrackedRun> {
        self.runs.values()
    }

    /// Returns the open runs of a runner in the order of their identifiers.
    pub(super) fn of_runner(&self, runner: &RunnerId) -> Vec<RunId> {
        self.by_runner
            .get(runner)
            .map(|runs| runs.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Returns the runners that have open runs.
    pub(super) fn runners(&self) -> impl Iterator<Item = &RunnerId> {
        self.by_runner.keys()
    }

    /// Queues the starts of reserved runs.
    pub(super) fn queue_starts(&mut self, runs: Vec<RunId>) {
        self.to_start.extend(runs);
    }

    /// Returns the queued starts and clears the queue.
    pub(super) fn take_starts(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.to_start)
    }

    /// Discards the queued starts. They must not be sent later.
    pub(super) fn discard_starts(&mut self) {
        self.to_start.clear();
    }

    /// Returns whether the start of the run is queued.
    pub(super) fn is_start_queued(&self, run: RunId) -> bool {
        self.to_start.contains(&run)
    }

    /// Sets the phase of the run's start.
    pub(super) fn set_phase(&mut self, run: RunId, phase: StartPhase) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.phase = phase;
        }
    }

    /// Records that an order about the run is sent.
    pub(super) fn record_order(&mut self, run: RunId, now: Monotonic) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.ordered_at = now;
        }
    }

    /// Records that the runner has the run. Requests a stop if the run is past
    /// its time limit. A report without progress is no evidence of a stall: it
    /// discards the history.
    pub(super) fn record_active(&mut self, run: RunId, active: &ActiveRun, now: Monotonic) {
        self.record_checkpoint(run, active.checkpoint.as_ref());
        let Some(tracked) = self.runs.get_mut(&run) else {
            return;
        };
        tracked.phase = StartPhase::Active;
        tracked.progress = active.progress.map(|progress| {
            let history = tracked.progress.take();
            let mut history = history.unwrap_or(ProgressHistory::new(progress, now));
            history.record(progress, now);
            history
        });
        let limit = tracked.open_run.time_limit + TIME_LIMIT_GRACE;
        if active.age > limit && !tracked.timed_out {
            tracked.timed_out = true;
            self.request_stop(run);
        }
    }

    /// Records that the runner neither has the run nor has ended it, and returns
    /// whether the run must be revoked. A start that is still unanswered may
    /// arrive later, so such a run waits for its answer. Any other run cannot be
    /// distinguished from one that never began.
    pub(super) fn record_absent(&mut self, run: RunId) -> bool {
        let Some(tracked) = self.runs.get_mut(&run) else {
            return false;
        };
        if tracked.phase != StartPhase::Active || tracked.closing {
            return false;
        }
        tracked.phase = StartPhase::Uncertain;
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

    /// Requests a stop of the run. The next check of the runs sends it.
    pub(super) fn request_stop(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.stop_requested = true;
            tracked.ordered_at = Monotonic(0);
        }
    }

    /// Begins to close a run. Returns `None` if the run is not open or is being
    /// closed already.
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

    /// Records that no command that closes the run was proposed.
    pub(super) fn cancel_close(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.closing = false;
        }
    }
}
