//! Limits of the scheduler, and what it answers with.

use crate::policy::Policy;
use serde::{Deserialize, Serialize};
use types::{Labels, Milliseconds, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Limits of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Tasks of one tenant looked at past one that does not fit. Tasks with
    /// equal needs count as one, since none fits where the first does not.
    pub scan_depth: usize,
    /// A task that has waited this long without fitting gets a runner kept free.
    pub reserve_after: Milliseconds,
    /// Failed runs of different jobs on one runner, without a done one in
    /// between, that put it on probation.
    pub probation_failures: u32,
    /// How long probation lasts.
    pub probation: Milliseconds,
    /// A runner silent for this long gets no pulls.
    pub unresponsive_after: Milliseconds,
    /// Part of each runner, in percent, that work leaves free for work of more
    /// urgent queues of its pool.
    pub urgent_reserve_percent: u32,
    /// Most of a tenant's resource limit, in percent of each kind, that its less urgent
    /// work leaves to its more urgent queues. Less is left where these asked for
    /// less lately.
    pub urgent_headroom_percent: u32,
    /// A task waits this long for the rack, or for another runner than the one
    /// it failed on, while those have no room; then any runner serves.
    pub locality_wait: Milliseconds,
    /// Which mechanisms decide.
    pub policy: Policy,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
            scan_depth: 16,
            reserve_after: Milliseconds(5_000),
            probation_failures: 8,
            probation: Milliseconds(10_000),
            unresponsive_after: Milliseconds(1_500),
            locality_wait: Milliseconds(300),
            urgent_reserve_percent: 0,
            urgent_headroom_percent: 25,
            policy: Policy::default(),
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

/// A runner as the scheduler sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// Its current incarnation.
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
    pub free: Resources,
    /// Open runs bound to it, those of earlier incarnations among them.
    pub open_runs: u32,
    /// Whether it or an operator says so.
    pub draining: bool,
    /// Whether on probation.
    pub on_probation: bool,
    /// Time since its last heartbeat.
    pub since_last_contact: Milliseconds,
}

/// What one slice of the audit found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AuditReport {
    /// Tasks compared.
    pub compared: u64,
    /// Tasks in the record that the view had lost or held with other content;
    /// published again.
    pub republished: u64,
    /// Tasks in the view that the record does not hold ready; removed.
    pub removed: u64,
}
