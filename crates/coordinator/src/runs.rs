//! Open runs as the leader follows them.

use std::collections::{BTreeMap, BTreeSet};
use types::{Monotonic, OpenRun, RunId, RunnerId};

/// What the leader knows about a run's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Reserved by this leader in this term; its start has not left, and
    /// nobody else can send it.
    Reserved,
    /// Its one start has left, and no answer has come.
    Ordered,
    /// It may or may not have started: it is voided until that is known.
    Uncertain,
    /// The runner has it, or an earlier leader says so; shown by heartbeats.
    Held,
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
    /// How far it had come when it was last heard, in percent.
    pub(crate) progress: Option<u8>,
    /// Since when it stands there.
    pub(crate) progressed_at: Monotonic,
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
        self.enter(run, Phase::Held, now);
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
            progress: None,
            progressed_at: now,
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
