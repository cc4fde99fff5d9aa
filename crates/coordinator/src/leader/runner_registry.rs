//! Runners from which this leader has received heartbeats.

use crate::sender::Sender;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use types::{
    HeartbeatSequence, Milliseconds, Monotonic, RunId, RunnerId, RunnerIncarnation, RunnerReport,
};

/// State of a runner as of its newest heartbeat.
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
    /// Returns the agent that forwarded the newest heartbeat.
    pub(super) fn agent(&self) -> &Sender {
        &self.agent
    }

    /// Returns the incarnation that sent the newest heartbeat.
    pub(super) fn incarnation(&self) -> RunnerIncarnation {
        self.incarnation
    }

    /// Returns the sequence number of the newest heartbeat within its incarnation.
    pub(super) fn sequence(&self) -> HeartbeatSequence {
        self.sequence
    }

    /// Returns when the newest heartbeat arrived, plus the time since then in
    /// which the leader's lease did not hold.
    pub(super) fn last_seen(&self) -> Monotonic {
        self.last_seen
    }

    /// Returns whether the runner stops its runs itself when the run lease
    /// expires.
    pub(super) fn stops_itself(&self) -> bool {
        self.self_stop
    }

    /// Returns whether the runner is draining, by its own report or by an
    /// operator's order.
    pub(super) fn is_draining(&self) -> bool {
        self.reports_draining || self.ordered_draining
    }

    /// Returns whether the runner is draining by an operator's order.
    pub(super) fn is_ordered_draining(&self) -> bool {
        self.ordered_draining
    }
}

/// Order of a heartbeat relative to the newest one of the same runner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Freshness {
    /// The heartbeat is of an earlier incarnation, or older than the newest one.
    Outdated,
    /// The heartbeat is a copy of the newest one.
    Repeated,
    /// The heartbeat is newer than all earlier ones.
    New,
}

/// Runners by identifier, and the ends of their runs that are recorded but not
/// confirmed to them yet.
#[derive(Debug, Default)]
pub(super) struct RunnerRegistry {
    runners: BTreeMap<RunnerId, RunnerState>,
    recorded_ends: BTreeMap<RunnerId, Vec<RunId>>,
}

impl RunnerRegistry {
    /// Returns the state of the runner, or `None` if no heartbeat of it was
    /// received.
    pub(super) fn get(&self, runner: &RunnerId) -> Option<&RunnerState> {
        self.runners.get(runner)
    }

    /// Returns whether a heartbeat of the runner was received.
    pub(super) fn contains(&self, runner: &RunnerId) -> bool {
        self.runners.contains_key(runner)
    }

    /// Returns the number of runners that have sent a heartbeat.
    pub(super) fn len(&self) -> usize {
        self.runners.len()
    }

    /// Records whether an operator ordered a known runner to drain.
    pub(super) fn set_ordered_draining(&mut self, runner: &RunnerId, draining: bool) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.ordered_draining = draining;
        }
    }

    /// Shifts the arrival of the newest heartbeats by `gap`, a time in which no
    /// heartbeat was accepted, so that failure detection does not count it.
    pub(super) fn shift_last_seen(&mut self, gap: Milliseconds, now: Monotonic) {
        for state in self.runners.values_mut() {
            state.last_seen = (state.last_seen + gap).min(now);
        }
    }

    /// Compares a heartbeat with the newest one of its runner.
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

    /// Records that the state machine recorded the end of a run.
    pub(super) fn record_end(&mut self, runner: RunnerId, run: RunId) {
        self.recorded_ends.entry(runner).or_default().push(run);
    }

    /// Returns the ends recorded since the last call, by runner.
    pub(super) fn take_recorded_ends(&mut self) -> BTreeMap<RunnerId, Vec<RunId>> {
        std::mem::take(&mut self.recorded_ends)
    }
}
