//! Open runs as the leader follows them.

use std::collections::{BTreeMap, BTreeSet};
use types::{Milliseconds, Monotonic, OpenRun, RunId, RunnerId};

/// What the leader knows about a run's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reserved by this leader in this term; its start has not left, and
    /// nobody else can send it.
    Reserved,
    /// Its one start has left, and no answer has come.
    Ordered,
    /// It may or may not have started: it is revoked until that is known.
    Uncertain,
    /// The runner has it, or an earlier leader says so; shown by heartbeats.
    Active,
}

/// How a run moves on, by what its runner tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProgressHistory {
    /// How far it had come when it was first heard, in percent.
    first: u8,
    first_at: Monotonic,
    /// How far it had come when it was last heard.
    pub(crate) last: u8,
    /// Since when it has stood there.
    pub(crate) last_at: Monotonic,
}

impl ProgressHistory {
    /// A run heard for the first time.
    pub(crate) fn new(progress: u8, now: Monotonic) -> Self {
        Self {
            first: progress,
            first_at: now,
            last: progress,
            last_at: now,
        }
    }

    /// Takes what was heard later.
    pub(crate) fn record(&mut self, progress: u8, now: Monotonic) {
        if progress != self.last {
            self.last = progress;
            self.last_at = now;
        }
    }

    /// What is left at the pace seen so far; none before it has moved.
    pub(crate) fn time_left(&self) -> Option<Milliseconds> {
        let moved = u64::from(self.last.saturating_sub(self.first));
        let left = u64::from(100_u8.saturating_sub(self.last));
        let took = self.last_at.since(self.first_at).0;
        (moved > 0).then(|| Milliseconds(took * left / moved))
    }

    /// Time from when it was first heard.
    pub(crate) fn watched(&self, now: Monotonic) -> Milliseconds {
        now.since(self.first_at)
    }
}

/// An open run.
#[derive(Debug, Clone)]
pub(crate) struct TrackedRun {
    pub(crate) run: OpenRun,
    pub(crate) phase: Phase,
    /// When the last order about it left, or when it entered this view.
    pub(crate) ordered_at: Monotonic,
    /// To be stopped: its task ended, or its time limit passed.
    pub(crate) stop: bool,
    /// Stopped for its time limit: its end counts as a failure.
    pub(crate) timed_out: bool,
    /// Its close is on the way through the log.
    pub(crate) closing: bool,
    /// How it moves on, where its runner tells.
    pub(crate) progress_history: Option<ProgressHistory>,
    /// What it saved last.
    pub(crate) checkpoint: Option<String>,
}

/// All open runs, and those bound to each runner.
#[derive(Debug, Default)]
pub(crate) struct Runs {
    runs: BTreeMap<RunId, TrackedRun>,
    by_runner: BTreeMap<RunnerId, BTreeSet<RunId>>,
}

impl Runs {
    /// Enters a run that an earlier leader reserved. Whether its start left is
    /// not known; the next heartbeat of its runner tells.
    pub(crate) fn adopt(&mut self, run: OpenRun, now: Monotonic) {
        self.enter(run, Phase::Active, now);
    }

    /// Enters a run that this leader reserved.
    pub(crate) fn reserved(&mut self, run: OpenRun, now: Monotonic) {
        self.enter(run, Phase::Reserved, now);
    }

    fn enter(&mut self, run: OpenRun, phase: Phase, now: Monotonic) {
        self.by_runner
            .entry(run.runner.clone())
            .or_default()
            .insert(run.run);
        let tracked = TrackedRun {
            phase,
            ordered_at: now,
            stop: false,
            timed_out: false,
            closing: false,
            progress_history: None,
            checkpoint: None,
            run,
        };
        self.runs.insert(tracked.run.run, tracked);
    }

    pub(crate) fn get(&self, run: RunId) -> Option<&TrackedRun> {
        self.runs.get(&run)
    }

    pub(crate) fn get_mut(&mut self, run: RunId) -> Option<&mut TrackedRun> {
        self.runs.get_mut(&run)
    }

    pub(crate) fn len(&self) -> usize {
        self.runs.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &TrackedRun> {
        self.runs.values()
    }

    /// Runs bound to a runner, in order.
    pub(crate) fn of_runner(&self, runner: &RunnerId) -> Vec<RunId> {
        self.by_runner
            .get(runner)
            .map(|runs| runs.iter().copied().collect())
            .unwrap_or_default()
    }

    /// Runners that have open runs.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &RunnerId> {
        self.by_runner.keys()
    }

    /// The record closed it.
    pub(crate) fn closed(&mut self, run: RunId) {
        let Some(tracked) = self.runs.remove(&run) else {
            return;
        };
        if let Some(runs) = self.by_runner.get_mut(&tracked.run.runner) {
            runs.remove(&run);
            if runs.is_empty() {
                self.by_runner.remove(&tracked.run.runner);
            }
        }
    }

    /// Its close was not proposed after all.
    pub(crate) fn close_failed(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.closing = false;
        }
    }

    /// Its task ended.
    pub(crate) fn want_stop(&mut self, run: RunId) {
        if let Some(tracked) = self.runs.get_mut(&run) {
            tracked.stop = true;
            // The sweep sends the stop at its next look.
            tracked.ordered_at = Monotonic(0);
        }
    }
}
