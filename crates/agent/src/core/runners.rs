//! The runners that an agent serves.

use super::HeartbeatAnswer;
use std::collections::{BTreeMap, BTreeSet};
use transport::{NamedRun, RunnerUpdate};
use types::{
    HeartbeatSequence, Milliseconds, Monotonic, RunId, RunnerId, RunnerIncarnation, RunnerReport,
};

/// Maximum number of runners of one agent.
const MAX_RUNNERS: usize = 256;
/// Time without a heartbeat after which a runner is removed.
const UNRESPONSIVE_TIMEOUT: Milliseconds = Milliseconds::from_seconds(30);

/// State of the runner incarnation that an order is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerStatus {
    /// The incarnation has sent a heartbeat since the session opened.
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
    seen_in_session: bool,
    unsent: Option<RunnerReport>,
    confirmed: Option<HeartbeatSequence>,
    lease: Milliseconds,
    recorded: BTreeSet<RunId>,
    stop: BTreeSet<RunId>,
    names: Vec<NamedRun>,
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
    /// Records a heartbeat. It is kept for the leader only while a session is open, so that
    /// the first report of a session contains only heartbeats sent after it opened.
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

    /// Records the leader's answer to the heartbeats of a runner. An answer for another
    /// incarnation than the current one is ignored.
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

    /// Returns whether the runner was draining in its last heartbeat.
    pub fn is_draining(&self, runner: &RunnerId) -> bool {
        self.entries.get(runner).is_some_and(|entry| entry.draining)
    }

    /// Returns the answer to a runner's heartbeat, without the term. Lists are returned
    /// once.
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

    /// Records that the session was closed. Each runner must send a heartbeat before it is
    /// served again.
    pub fn session_closed(&mut self) {
        for entry in self.entries.values_mut() {
            entry.seen_in_session = false;
            entry.unsent = None;
        }
    }

    /// Removes the runners that have sent no heartbeat for a time.
    pub fn remove_unresponsive(&mut self, now: Monotonic) {
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < UNRESPONSIVE_TIMEOUT);
    }

    /// Returns whether a heartbeat is to be reported to the leader.
    pub fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.unsent.is_some())
    }

    /// Removes and returns the newest heartbeats that are to be reported.
    pub fn take_unsent(&mut self) -> Vec<RunnerReport> {
        let entries = self.entries.values_mut();
        entries.filter_map(|entry| entry.unsent.take()).collect()
    }

    /// Returns the names of all runners.
    pub fn names(&self) -> Vec<RunnerId> {
        self.entries.keys().cloned().collect()
    }
}
