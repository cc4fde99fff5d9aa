//! Views of the cluster that the leader returns to operators.

use configuration::QueueMode;
use serde::{Deserialize, Serialize};
use types::{
    Address, ConfigurationVersion, LicenceName, Milliseconds, PoolName, QueueName, Resources,
    TenantId,
};

/// A queue with its counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueView {
    /// Name of the queue.
    pub queue: QueueName,
    /// Pool whose runners serve the queue.
    pub pool: PoolName,
    /// Whether the queue takes jobs and starts tasks.
    pub mode: QueueMode,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Number of open runs.
    pub open_runs: u64,
}

/// A tenant with its counts and the state of its error budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// Identifier of the tenant.
    pub tenant: TenantId,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Sum of the resources of the tenant's open runs.
    pub usage: Resources,
    /// Limit of that sum.
    pub resource_limit: Resources,
    /// Number of jobs that ended since the election of the leader.
    pub ended_jobs: u64,
    /// Number of those whose first run started later than `late_after` of the
    /// error budget.
    pub late_jobs: u64,
    /// Number of those that failed.
    pub failed_jobs: u64,
    /// Whether late or failed jobs exceed their error budget.
    pub budget_exceeded: bool,
}

/// A licence with its seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceView {
    /// Name of the licence.
    pub licence: LicenceName,
    /// Number of seats in the whole cluster.
    pub seats: u32,
    /// Number of seats taken by open runs, as committed.
    pub used: u32,
    /// Number of tasks that wait for capacity or a seat.
    pub waiting: u64,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberView {
    /// Identity, role and socket of the member.
    pub address: Address,
    /// `leader`, `voter` or `learner` for a coordinator, `session` for a daemon
    /// of another role.
    pub status: String,
    /// Time since the leader last received a message of the member, in
    /// milliseconds.
    pub since_last_contact: Milliseconds,
    /// Configuration version that the member last reported to this leader; of a
    /// coordinator, the version that it has applied. `None` before its first
    /// report.
    pub configuration: Option<ConfigurationVersion>,
    /// Health of the links to the other voters, as the member last measured it.
    /// `None` for a member that is not a voter.
    pub links: Option<consensus::LinkHealth>,
}
