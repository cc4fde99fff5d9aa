//! The dispatcher.

use crate::{Decision, NotPlacedReason};
use configuration::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use types::{
    Labels, Milliseconds, Now, OpenRun, PoolName, RackName, Resources, RunId, RunnerId,
    RunnerIncarnation, RunnerReport, TaskMeta, TaskRef, Term, WallTime,
};

/// Limits of the dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatcherOptions {
    /// Tasks of one tenant looked at past one that does not fit.
    pub look_ahead: usize,
    /// A task that has waited this long without fitting gets a runner kept free.
    pub hold_after: Milliseconds,
    /// Failed runs of different jobs on one runner, without a done one in
    /// between, that put it on probation.
    pub probation_failures: u32,
    /// How long probation lasts.
    pub probation: Milliseconds,
    /// A runner silent for this long gets no pulls.
    pub silent_after: Milliseconds,
}

impl Default for DispatcherOptions {
    fn default() -> Self {
        Self {
            look_ahead: 16,
            hold_after: Milliseconds(5_000),
            probation_failures: 8,
            probation: Milliseconds(10_000),
            silent_after: Milliseconds(1_500),
        }
    }
}

/// What publish found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Published {
    /// The task is new to the view.
    New,
    /// It was there already; nothing changed.
    Present,
}

/// A runner as the dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Its current life.
    pub incarnation: RunnerIncarnation,
    /// Its pool.
    pub pool: PoolName,
    /// Its rack.
    pub rack: RackName,
    /// Its labels.
    pub labels: Labels,
    /// All it has.
    pub capacity: Resources,
    /// Reported room less orders in flight.
    pub room: Resources,
    /// Open runs bound to it.
    pub open_runs: u32,
    /// True when it or an operator says so.
    pub draining: bool,
    /// True when on probation.
    pub on_probation: bool,
    /// Time since its last heartbeat.
    pub silence: Milliseconds,
}

/// What one slice of the audit found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AuditReport {
    /// Tasks compared.
    pub compared: u64,
    /// Tasks in the record that the view had lost; published again.
    pub republished: u64,
    /// Tasks in the view that the record does not hold ready; removed.
    pub removed: u64,
}

/// The leader's view of waiting and running work.
#[derive(Debug)]
pub struct Dispatcher {
    _options: DispatcherOptions,
}

impl Dispatcher {
    /// An empty view of the leader of `term`; run identifiers carry the term.
    pub fn new(options: DispatcherOptions, term: Term, seed: u64) -> Self {
        let _ = (term, seed);
        Self { _options: options }
    }

    /// Takes queues, pools and tenant contracts; tenants at a new limit become
    /// runnable or stop being so.
    pub fn configure(&mut self, document: &ClusterConfiguration) {
        let _ = document;
        todo!()
    }

    /// Atomic step: adds a task unless it is present, pending or running.
    pub fn publish(&mut self, meta: TaskMeta, now: Now) -> Published {
        let _ = (meta, now);
        todo!()
    }

    /// Enters a run that the record holds open (after an election, before its
    /// task is published). Idempotent.
    pub fn adopt_run(&mut self, run: OpenRun) {
        let _ = run;
        todo!()
    }

    /// Atomic step: one pull for one runner. Draws uniformly among the
    /// runnable tenants of the pool's queues, takes that tenant's oldest
    /// startable task that fits, and binds it. None when nothing may start.
    pub fn reserve(&mut self, runner: &RunnerId, now: Now) -> Option<Decision> {
        let _ = (runner, now);
        todo!()
    }

    /// Derives pulls from all known room, at most `limit` placements, and
    /// reports changed reasons of what stays.
    pub fn place(&mut self, now: Now, limit: usize) -> Vec<Decision> {
        let _ = (now, limit);
        todo!()
    }

    /// Atomic step: the run is over and its task may run again.
    pub fn reschedule(&mut self, run: RunId, meta: TaskMeta, now: Now) {
        let _ = (run, meta, now);
        todo!()
    }

    /// Atomic step: the run is over, and its task with it. Idempotent.
    pub fn remove_run(&mut self, run: RunId) {
        let _ = run;
        todo!()
    }

    /// Atomic step: the task will never start again; its open runs go on
    /// counting until they are removed. Idempotent.
    pub fn remove(&mut self, task: TaskRef) {
        let _ = task;
        todo!()
    }

    /// Takes a runner's heartbeat: room, labels, draining, what it holds.
    pub fn heartbeat(&mut self, report: &RunnerReport, now: Now) {
        let _ = (report, now);
        todo!()
    }

    /// An operator's word on a runner.
    pub fn set_draining(&mut self, runner: &RunnerId, draining: bool) {
        let _ = (runner, draining);
        todo!()
    }

    /// Notes how a run on a runner ended, for the runner's health.
    pub fn note_outcome(&mut self, runner: &RunnerId, task: TaskRef, failed: bool, now: Now) {
        let _ = (runner, task, failed, now);
        todo!()
    }

    /// Why a ready task is not running.
    pub fn explain(&self, task: TaskRef, now: Now) -> Option<NotPlacedReason> {
        let _ = (task, now);
        todo!()
    }

    /// All runners known.
    pub fn runners(&self, now: Now) -> Vec<RunnerView> {
        let _ = now;
        todo!()
    }

    /// Compares the view with the record for the jobs numbered `from..=to`:
    /// `ready` is everything the record holds ready there.
    pub fn audit(
        &mut self,
        from: types::JobNumber,
        to: types::JobNumber,
        ready: &[TaskMeta],
        now: Now,
    ) -> AuditReport {
        let _ = (from, to, ready, now);
        todo!()
    }

    /// When a task's time comes next, if one waits for it.
    pub fn next_start_time(&self) -> Option<WallTime> {
        todo!()
    }
}
