//! Options of the scheduler and the values that its steps return.

use crate::policy::Policy;
use serde::{Deserialize, Serialize};
use types::{Labels, Milliseconds, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Options of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Number of tasks that a scan of a tenant's list examines after the first
    /// one. Of tasks with equal needs only the first is examined and counted,
    /// since none fits where the first does not.
    pub scan_depth: usize,
    /// A task that has waited this long while smaller ones start gets a backfill
    /// reservation.
    pub reserve_after: Milliseconds,
    /// Number of different jobs with a failed run on a runner, without a success
    /// in between, that puts the runner on probation.
    pub probation_failures: u32,
    /// Length of a probation.
    pub probation: Milliseconds,
    /// A runner whose last heartbeat is older than this gets no pulls.
    pub unresponsive_after: Milliseconds,
    /// Percentage of each runner that work leaves to more urgent queues of its
    /// pool, 0 to 100.
    pub urgent_reserve_percent: u32,
    /// Maximum headroom that less urgent work leaves to its tenant's more urgent
    /// queues, in percent of each kind of the resource limit, 0 to 100. The
    /// headroom is less where these queues have asked for less recently.
    pub urgent_headroom_percent: u32,
    /// The delay of delay scheduling (Zaharia et al., "Delay Scheduling", EuroSys
    /// 2010): a task waits this long for its preferred rack, and three times as
    /// long for another runner than those it failed on, before it takes any
    /// runner.
    pub locality_wait: Milliseconds,
    /// Policies of placement.
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

/// Result of a publish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Published {
    /// The task is new to the view.
    New,
    /// The task was present; nothing changed.
    Present,
}

/// State of a runner in the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    /// The runner.
    pub runner: RunnerId,
    /// The current incarnation.
    pub incarnation: RunnerIncarnation,
    /// The pool.
    pub pool: PoolName,
    /// The rack.
    pub rack: RackName,
    /// The labels.
    pub labels: Labels,
    /// All resources.
    pub capacity: Resources,
    /// Resources reported free, less those of runs not reported yet.
    pub free: Resources,
    /// Number of open runs, including those of earlier incarnations.
    pub open_runs: u32,
    /// Whether the runner or an operator has set it to draining.
    pub draining: bool,
    /// Whether the runner is on probation.
    pub on_probation: bool,
    /// Time since its last heartbeat.
    pub since_last_contact: Milliseconds,
}

/// Seats of a licence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeatUsage {
    /// Number of seats in use.
    pub used: u32,
    /// Number of tasks that wait for capacity or a seat.
    pub waiting_tasks: usize,
}

/// Result of the audit of one range of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AuditReport {
    /// Number of tasks compared.
    pub compared: u64,
    /// Number of ready tasks that the view had lost or had with other content, and
    /// that were published again.
    pub republished: u64,
    /// Number of waiting tasks that are not ready and were removed.
    pub removed: u64,
}
