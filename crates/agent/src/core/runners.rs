//! Heartbeats of the agent's runners and the leader's answers to them.

use super::HeartbeatAnswer;
use std::collections::{BTreeMap, BTreeSet};
use transport::{NamedRun, RunnerUpdate};
use types::{
    HeartbeatSequence, Milliseconds, Monotonic, RunId, RunnerId, RunnerIncarnation, RunnerReport,
};

/// Maximum number of runners of one agent. Heartbeats of further runners are ignored.
const MAX_RUNNERS: usize = 256;
/// Time without a heartbeat after which a runner is removed.
const UNRESPONSIVE_TIMEOUT: Milliseconds = Milliseconds::from_seconds(30);

/// State of the runner incarnation that an order is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerStatus {
    /// The incarnation has sent a heartbeat since the session opened. Orders for it are
    /// delivered.
    Served,
    /// The incarnation has sent no heartbeat since the session opened.
    Unseen,
    /// A later incarnation has sent a heartbeat, so this one has ended.
    Ended,
}

/// The current incarnation of a runner.
#[derive(Debug)]
struct RunnerEntry {
    incarnation: RunnerIncarnation,
    newest: HeartbeatSequence,
    last_seen: Monotonic,
    /// Whether a heartbeat was received since the session opened.
    seen_in_session: bool,
    /// Newest heartbeat, until it is reported to the leader.
    unsent: Option<RunnerReport>,
    /// Newest heartbeat that the leader confirmed. `None` until it has confirmed one.
    confirmed: Option<HeartbeatSequence>,
    lease: Milliseconds,
    recorded: BTreeSet<RunId>,
    stop: BTreeSet<RunId>,
    names: Vec<NamedRun>,
    /// Whether the newest heartbeat reports the runner as draining.
    draining: bool,
}

impl RunnerEntry {
    fn new(report: &RunnerReport, now: Monotonic) -> Self {
        Self {
            incarnation: report.incarnation,
            newest: report.sequence,
            last_seen: now,
            seen_in_session: false,
            unsent: None,
            confirmed: None,
            lease: Milliseconds::default(),
            recorded: BTreeSet::new(),
            stop: BTreeSet::new(),
            names: Vec::new(),
            draining: report.draining,
        }
    }
}

/// The runners that have recently sent a heartbeat.
#[derive(Debug, Default)]
pub struct RunnerTable {
    entries: BTreeMap<RunnerId, RunnerEntry>,
}

impl RunnerTable {
    /// Records a heartbeat. It is queued for the leader only while a session is open, so that
    /// the first report of a session contains no heartbeat received before it opened.
    pub fn heartbeat(&mut self, report: RunnerReport, now: Monotonic, session_open: bool) {
        let known = self.entries.get(&report.runner);
        if known.is_none() && self.entries.len() >= MAX_RUNNERS {
            return;
        }
        let newest = known.map(|entry| (entry.incarnation, entry.newest));
        if newest > Some((report.incarnation, report.sequence)) {
            return;
        }
        let entry = self
            .entries
            .entry(report.runner.clone())
            .or_insert_with(|| RunnerEntry::new(&report, now));
        if entry.incarnation < report.incarnation {
            *entry = RunnerEntry::new(&report, now);
        }
        entry.newest = report.sequence;
        entry.last_seen = now;
        entry.draining = report.draining;
        if session_open {
            entry.seen_in_session = true;
            entry.unsent = Some(report);
        }
    }

    /// Records the leader's answer to the heartbeats of a runner. Ignores an answer for
    /// another incarnation than the current one.
    pub fn update(&mut self, update: &RunnerUpdate) {
        let Some(entry) = self.entries.get_mut(&update.runner) else {
            return;
        };
        if entry.incarnation != update.incarnation {
            return;
        }
        if entry.confirmed <= Some(update.confirmed) {
            entry.confirmed = Some(update.confirmed);
            entry.lease = update.lease;
        }
        entry.recorded.extend(&update.recorded);
        entry.stop.extend(&update.stop);
        for named in &update.names {
            if !entry.names.contains(named) {
                entry.names.push(named.clone());
            }
        }
    }

    /// Returns whether the runner's newest heartbeat reports it as draining.
    pub fn is_draining(&self, runner: &RunnerId) -> bool {
        self.entries.get(runner).is_some_and(|entry| entry.draining)
    }

    /// Returns the answer to a runner's heartbeat, without the term. Each entry of the lists
    /// is returned once.
    pub fn answer(&mut self, runner: &RunnerId) -> HeartbeatAnswer {
        let Some(entry) = self.entries.get_mut(runner) else {
            return HeartbeatAnswer::default();
        };
        HeartbeatAnswer {
            confirmed: entry.confirmed,
            incarnation: entry.incarnation,
            lease: entry.lease,
            recorded: std::mem::take(&mut entry.recorded).into_iter().collect(),
            stop: std::mem::take(&mut entry.stop).into_iter().collect(),
            names: std::mem::take(&mut entry.names),
            ..HeartbeatAnswer::default()
        }
    }

    /// Returns the state of one incarnation of a runner.
    pub fn status(&self, runner: &RunnerId, incarnation: RunnerIncarnation) -> RunnerStatus {
        match self.entries.get(runner) {
            Some(entry) if entry.incarnation > incarnation => RunnerStatus::Ended,
            Some(entry) if entry.incarnation == incarnation && entry.seen_in_session => {
                RunnerStatus::Served
            }
            _ => RunnerStatus::Unseen,
        }
    }

    /// Drops the unsent heartbeats of a closed session. Each runner must send a heartbeat in
    /// the next session before orders for it are delivered.
    pub fn close_session(&mut self) {
        for entry in self.entries.values_mut() {
            entry.seen_in_session = false;
            entry.unsent = None;
        }
    }

    /// Removes the runners that have sent no heartbeat for [`UNRESPONSIVE_TIMEOUT`].
    pub fn remove_unresponsive(&mut self, now: Monotonic) {
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < UNRESPONSIVE_TIMEOUT);
    }

    /// Returns whether some heartbeat has not been reported to the leader.
    pub fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.unsent.is_some())
    }

    /// Removes and returns the newest unreported heartbeat of each runner.
    pub fn take_unsent(&mut self) -> Vec<RunnerReport> {
        let entries = self.entries.values_mut();
        entries.filter_map(|entry| entry.unsent.take()).collect()
    }

    /// Returns the names of all runners, in order.
    pub fn names(&self) -> Vec<RunnerId> {
        self.entries.keys().cloned().collect()
    }
}
