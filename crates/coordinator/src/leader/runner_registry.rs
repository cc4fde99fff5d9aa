//! Runners that this leader has received heartbeats of.

use crate::sender::Sender;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use types::{
    HeartbeatSequence, Milliseconds, Monotonic, RunId, RunnerId, RunnerIncarnation, RunnerReport,
};

/// A runner as of its newest heartbeat.
#[derive(Debug, Clone)]
pub(super) struct RunnerState {
    agent: Sender,
    incarnation: RunnerIncarnation,
    sequence: HeartbeatSequence,
    last_seen: Monotonic,
    self_stop: bool,
    reports_draining: bool,
    ordered_draining: bool,
}

impl RunnerState {
    /// The agent that the newest heartbeat came by.
    pub(super) fn agent(&self) -> &Sender {
        &self.agent
    }

    /// The incarnation that sent the newest heartbeat.
    pub(super) fn incarnation(&self) -> RunnerIncarnation {
        self.incarnation
    }

    /// Number of the newest heartbeat of the incarnation.
    pub(super) fn sequence(&self) -> HeartbeatSequence {
        self.sequence
    }

    /// When the newest heartbeat arrived here.
    pub(super) fn last_seen(&self) -> Monotonic {
        self.last_seen
    }

    /// Returns whether the runner stops its runs by itself when its lease ends.
    pub(super) fn stops_itself(&self) -> bool {
        self.self_stop
    }

    /// Returns whether the runner itself or an operator says that it drains.
    pub(super) fn is_draining(&self) -> bool {
        self.reports_draining || self.ordered_draining
    }

    /// Returns whether an operator says that it drains.
    pub(super) fn is_ordered_draining(&self) -> bool {
        self.ordered_draining
    }
}

/// A heartbeat, compared with the newest one known of its runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Freshness {
    /// Of an earlier incarnation, or overtaken by a later heartbeat.
    Outdated,
    /// The newest known, once more.
    Repeated,
    /// Newer than any before.
    New,
}

/// Runners by name, and the ends that the state machine has recorded since the
/// last message left.
#[derive(Debug, Default)]
pub(super) struct RunnerRegistry {
    runners: BTreeMap<RunnerId, RunnerState>,
    recorded_ends: BTreeMap<RunnerId, Vec<RunId>>,
}

impl RunnerRegistry {
    /// The runner as of its newest heartbeat, if one was received.
    pub(super) fn get(&self, runner: &RunnerId) -> Option<&RunnerState> {
        self.runners.get(runner)
    }

    /// Returns whether a heartbeat of the runner was received.
    pub(super) fn contains(&self, runner: &RunnerId) -> bool {
        self.runners.contains_key(runner)
    }

    /// Number of runners that sent a heartbeat.
    pub(super) fn len(&self) -> usize {
        self.runners.len()
    }

    /// Records an operator's order that a known runner drains, or no longer.
    pub(super) fn set_ordered_draining(&mut self, runner: &RunnerId, draining: bool) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.ordered_draining = draining;
        }
    }

    /// Leaves a time in which no heartbeat was accepted out of failure detection.
    pub(super) fn shift_last_seen(&mut self, gap: Milliseconds, now: Monotonic) {
        for state in self.runners.values_mut() {
            state.last_seen = (state.last_seen + gap).min(now);
        }
    }

    /// Compares a heartbeat with the newest one known.
    pub(super) fn freshness(&self, report: &RunnerReport) -> Freshness {
        let Some(known) = self.runners.get(&report.runner) else {
            return Freshness::New;
        };
        let known = (known.incarnation, known.sequence);
        match (report.incarnation, report.sequence).cmp(&known) {
            Ordering::Less => Freshness::Outdated,
            Ordering::Equal => Freshness::Repeated,
            Ordering::Greater => Freshness::New,
        }
    }

    /// Records the newest heartbeat of a runner.
    pub(super) fn record_heartbeat(
        &mut self,
        agent: &Sender,
        report: &RunnerReport,
        ordered_draining: bool,
        now: Monotonic,
    ) {
        let state = RunnerState {
            agent: agent.clone(),
            incarnation: report.incarnation,
            sequence: report.sequence,
            last_seen: now,
            self_stop: report.self_stop,
            reports_draining: report.draining,
            ordered_draining,
        };
        self.runners.insert(report.runner.clone(), state);
    }

    /// Records that the state machine has the end of a run.
    pub(super) fn record_end(&mut self, runner: RunnerId, run: RunId) {
        self.recorded_ends.entry(runner).or_default().push(run);
    }

    /// Takes the ends recorded since the last call, by runner.
    pub(super) fn take_recorded_ends(&mut self) -> BTreeMap<RunnerId, Vec<RunId>> {
        std::mem::take(&mut self.recorded_ends)
    }
}
