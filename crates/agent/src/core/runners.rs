//! The runners an agent serves.

use super::HeartbeatAnswer;
use std::collections::{BTreeMap, BTreeSet};
use transport::{NamedRun, RunnerUpdate};
use types::{
    HeartbeatSequence, Milliseconds, Monotonic, RunId, RunnerId, RunnerIncarnation, RunnerReport,
};

/// Runners one agent serves at most.
const MAX_RUNNERS: usize = 256;
/// A runner that has sent nothing for this long is no longer served.
const FORGET_AFTER: Milliseconds = Milliseconds::from_seconds(30);

/// How the runner that an order is for stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerStatus {
    /// This incarnation has sent a heartbeat since the session opened.
    Served,
    /// Nothing was heard of this incarnation since the session opened.
    Unheard,
    /// A later incarnation has been heard: this one is over.
    Ended,
}

/// A runner's current incarnation.
#[derive(Debug)]
struct Entry {
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

impl Entry {
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

/// All runners that sent a heartbeat lately.
#[derive(Debug, Default)]
pub struct RunnerTable {
    entries: BTreeMap<RunnerId, Entry>,
}

impl RunnerTable {
    /// Takes a heartbeat. Without a session it is not kept for the leader: the
    /// leader shall hear first what the runner holds after the session opened.
    pub fn heartbeat(&mut self, report: RunnerReport, now: Monotonic, session_open: bool) {
        let known = self.entries.get(&report.runner);
        if known.is_none() && self.entries.len() >= MAX_RUNNERS {
            return;
        }
        let order = known.map(|entry| (entry.incarnation, entry.newest));
        if order > Some((report.incarnation, report.sequence)) {
            return;
        }
        let entry = self
            .entries
            .entry(report.runner.clone())
            .or_insert_with(|| Entry::new(&report, now));
        if entry.incarnation < report.incarnation {
            *entry = Entry::new(&report, now);
        }
        entry.newest = report.sequence;
        entry.last_seen = now;
        entry.draining = report.draining;
        if session_open {
            entry.seen_in_session = true;
            entry.unsent = Some(report);
        }
    }

    /// Takes the leader's answer to a heartbeat of a runner's current incarnation.
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

    /// Returns whether the runner said in its last heartbeat that it leaves.
    pub fn is_draining(&self, runner: &RunnerId) -> bool {
        self.entries.get(runner).is_some_and(|entry| entry.draining)
    }

    /// What to tell a runner, without the term. Lists are told once.
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

    /// How one incarnation of a runner stands.
    pub fn status(&self, runner: &RunnerId, incarnation: RunnerIncarnation) -> RunnerStatus {
        match self.entries.get(runner) {
            Some(entry) if entry.incarnation > incarnation => RunnerStatus::Ended,
            Some(entry) if entry.incarnation == incarnation && entry.seen_in_session => {
                RunnerStatus::Served
            }
            _ => RunnerStatus::Unheard,
        }
    }

    /// Each runner must be heard again before it is served.
    pub fn session_closed(&mut self) {
        for entry in self.entries.values_mut() {
            entry.seen_in_session = false;
            entry.unsent = None;
        }
    }

    /// Drops runners that have been silent for long.
    pub fn forget_unresponsive(&mut self, now: Monotonic) {
        self.entries
            .retain(|_, entry| now.since(entry.last_seen) < FORGET_AFTER);
    }

    /// Returns whether a heartbeat waits for the leader.
    pub fn has_unsent(&self) -> bool {
        self.entries.values().any(|entry| entry.unsent.is_some())
    }

    /// Takes out the newest heartbeats that wait for the leader.
    pub fn take_unsent(&mut self) -> Vec<RunnerReport> {
        let entries = self.entries.values_mut();
        entries.filter_map(|entry| entry.unsent.take()).collect()
    }

    /// Names of all runners served.
    pub fn names(&self) -> Vec<RunnerId> {
        self.entries.keys().cloned().collect()
    }
}
