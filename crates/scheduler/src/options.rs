//! Options of the scheduler and the values that its steps return.

use crate::policy::Policy;
use serde::{Deserialize, Serialize};
use types::{Labels, Milliseconds, PoolName, RackName, Resources, RunnerId, RunnerIncarnation};

/// Limits, timeouts and policies of a [`Scheduler`](crate::Scheduler).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerOptions {
    /// Time that a task waits, while smaller tasks could take its capacity,
    /// before it counts as starving and gets a backfill reservation.
    pub reserve_after: Milliseconds,
    /// Number of different jobs with a failed run on a runner, without a
    /// success in between, that puts the runner on probation.
    pub probation_failures: u32,
    /// Duration of a probation, in which the runner gets no runs.
    pub probation: Milliseconds,
    /// Age of the last heartbeat above which a runner counts as unresponsive
    /// and gets no runs.
    pub unresponsive_after: Milliseconds,
    /// Percentage of each runner that work leaves to more urgent queues of its
    /// pool, 0 to 100.
    pub urgent_reserve_percent: u32,
    /// Maximum headroom that less urgent work leaves to its tenant's more
    /// urgent queues, in percent of each kind of the resource limit, 0 to 100.
    /// The headroom is smaller if the recent demand of these queues is smaller.
    pub urgent_headroom_percent: u32,
    /// Delay of delay scheduling (Zaharia et al., "Delay Scheduling", EuroSys
    /// 2010): a task waits this long for its preferred rack, and three times as
    /// long for a runner on which it has not failed, before it takes any
    /// runner.
    pub locality_wait: Milliseconds,
    /// Placement policies that are enabled.
    pub policy: Policy,
}

impl Default for SchedulerOptions {
    fn default() -> Self {
        Self {
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

/// Result of [`Scheduler::publish`](crate::Scheduler::publish).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Published {
    /// The task was added to the view.
    New,
    /// The task was pending or running; nothing changed.
    Present,
}

/// State of a runner, by its last heartbeat and its open runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerView {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Incarnation that sent the last heartbeat.
    pub incarnation: RunnerIncarnation,
    /// Pool that the runner belongs to.
    pub pool: PoolName,
    /// Rack that the runner is in, for rack locality.
    pub rack: RackName,
    /// Labels that tasks may require.
    pub labels: Labels,
    /// Total resources of the runner, used and free.
    pub capacity: Resources,
    /// Resources available to new runs: those reported free less those of runs
    /// not reported yet, and at most the capacity less that of all open runs.
    pub free: Resources,
    /// Number of open runs, including those of earlier incarnations.
    pub open_runs: u32,
    /// Whether the runner is draining, by its own report or by an operator's
    /// order.
    pub draining: bool,
    /// Whether the runner is on probation after failed runs and gets no new
    /// ones.
    pub on_probation: bool,
    /// Time since the runner's last heartbeat.
    pub since_last_contact: Milliseconds,
}

/// Usage of a licence's seats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct SeatUsage {
    /// Number of seats in use.
    pub used: u32,
    /// Number of tasks that wait for capacity or a licence seat.
    pub waiting_tasks: usize,
}

/// Result of the audit of one range of jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct AuditReport {
    /// Number of tasks compared.
    pub compared: u64,
    /// Number of ready tasks that were missing from the view or had other
    /// content there, and were published again.
    pub republished: u64,
    /// Number of waiting tasks that are not ready in the replicated state and
    /// were removed.
    pub removed: u64,
}
