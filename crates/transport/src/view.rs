//! Views of queues, tenants, licences and members: what the leader returns when an
//! operator lists them.

use configuration::QueueMode;
use serde::{Deserialize, Serialize};
use types::{
    Address, ConfigurationVersion, LicenceName, Milliseconds, PoolName, QueueName, Resources,
    TenantId,
};

/// A queue with the numbers of its jobs, tasks and runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueView {
    /// Name of the queue.
    pub queue: QueueName,
    /// Pool whose runners serve the queue.
    pub pool: PoolName,
    /// Mode of the queue: whether it accepts jobs and starts their tasks.
    pub mode: QueueMode,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Number of open runs.
    pub open_runs: u64,
}

/// A tenant with its resource usage and the state of its error budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantView {
    /// Tenant to which the counts apply.
    pub tenant: TenantId,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Sum of the resources of the tenant's open runs.
    pub usage: Resources,
    /// Maximum of `usage`.
    pub resource_limit: Resources,
    /// Number of jobs that ended since the leader was elected.
    pub ended_jobs: u64,
    /// Number of ended jobs whose first run started later than `late_after` of the
    /// error budget.
    pub late_jobs: u64,
    /// Number of ended jobs that failed.
    pub failed_jobs: u64,
    /// Whether the late or the failed jobs exceed the error budget.
    pub budget_exceeded: bool,
}

/// A licence with the use of its seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceView {
    /// Name of the licence.
    pub licence: LicenceName,
    /// Number of seats in the whole cluster.
    pub seats: u32,
    /// Number of seats in use by committed open runs.
    pub used: u32,
    /// Number of tasks that wait for capacity or a licence seat.
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
    /// Time since the leader last received a message from the member, in
    /// milliseconds.
    pub since_last_contact: Milliseconds,
    /// Configuration version last reported to this leader by the member. For a
    /// coordinator, the version that the coordinator has applied. `None` before
    /// the first report.
    pub configuration: Option<ConfigurationVersion>,
    /// Health of the links to the other voters, as last measured by the member.
    /// `None` for a member that is not a voter.
    pub links: Option<consensus::LinkHealth>,
}
