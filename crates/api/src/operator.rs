//! JSON bodies for operators: runners, queues, tenants, licences and members.

use crate::configuration::{CapacityBody, QueueMode, ResourceLimitBody};
use scheduler::RunnerView;
use serde::{Deserialize, Serialize};
use transport::{LicenceView, MemberView, QueueView, TenantView};
use types::{Labels, LicenceName, PoolName, QueueName, RackName, RunnerId, TenantId};

/// Body of `POST /v1/runners/{runner}/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// Whether the runner is to drain from now on; `false` lifts the drain.
    pub draining: bool,
}

/// Response to an operation that is carried out and returns no data.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// Always `true`.
    pub accepted: bool,
}

/// Response to `POST /v1/runners/{runner}/lost`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunsLostBody {
    /// Runs that were closed as lost, each written as `<term>-<sequence>`.
    pub runs: Vec<String>,
}

/// Response to `GET /v1/runners`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnersBody {
    /// Runners that have reported to the leader.
    pub runners: Vec<RunnerViewBody>,
}

/// State of a runner as the leader has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerViewBody {
    /// Name of the runner.
    pub runner: RunnerId,
    /// Incarnation of the runner's last heartbeat.
    pub incarnation: u64,
    /// Pool that the runner belongs to.
    pub pool: PoolName,
    /// Rack that the runner is in.
    pub rack: RackName,
    /// Labels from the runner's last heartbeat.
    pub labels: Labels,
    /// All resources of the runner, used or free.
    pub capacity: CapacityBody,
    /// Resources reported free, less those of runs not reported yet.
    pub room: CapacityBody,
    /// Number of open runs bound to the runner.
    pub open_runs: u32,
    /// Whether the runner is draining, by its own report or by an operator's
    /// order.
    pub draining: bool,
    /// Whether the runner is on probation.
    pub on_probation: bool,
    /// Time since the runner's last heartbeat, in milliseconds.
    #[serde(rename = "silence_ms")]
    pub since_last_contact_ms: u64,
}

impl From<RunnerView> for RunnerViewBody {
    fn from(view: RunnerView) -> Self {
        Self {
            runner: view.runner,
            incarnation: view.incarnation.0,
            pool: view.pool,
            rack: view.rack,
            labels: view.labels,
            capacity: view.capacity.into(),
            room: view.free.into(),
            open_runs: view.open_runs,
            draining: view.draining,
            on_probation: view.on_probation,
            since_last_contact_ms: view.since_last_contact.0,
        }
    }
}

/// Response to `GET /v1/queues`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuesBody {
    /// All queues of the configuration.
    pub queues: Vec<QueueViewBody>,
}

/// A queue with its counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueViewBody {
    /// Name of the queue.
    pub queue: QueueName,
    /// Pool whose runners run the queue's tasks.
    pub pool: PoolName,
    /// Whether the queue accepts jobs and starts tasks.
    pub mode: QueueMode,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Number of open runs.
    pub open_runs: u64,
}

impl From<QueueView> for QueueViewBody {
    fn from(view: QueueView) -> Self {
        Self {
            queue: view.queue,
            pool: view.pool,
            mode: view.mode.into(),
            unfinished_jobs: view.unfinished_jobs,
            ready_tasks: view.ready_tasks,
            open_runs: view.open_runs,
        }
    }
}

/// Response to `GET /v1/tenants`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantsBody {
    /// All tenants of the configuration.
    pub tenants: Vec<TenantViewBody>,
}

/// A tenant with its counts and the state of its error budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantViewBody {
    /// Identifier of the tenant.
    pub tenant: TenantId,
    /// Number of unfinished jobs.
    pub unfinished_jobs: u64,
    /// Number of tasks that may start.
    pub ready_tasks: u64,
    /// Sum of the resources of the tenant's open runs.
    #[serde(rename = "holds")]
    pub usage: CapacityBody,
    /// Limit on `usage`, from the tenant's contract.
    #[serde(rename = "most")]
    pub resource_limit: ResourceLimitBody,
    /// Number of jobs that ended since the election of the leader.
    pub ended_jobs: u64,
    /// Number of ended jobs whose first run was reserved later than
    /// `late_after_ms` of the error budget.
    pub late_jobs: u64,
    /// Number of ended jobs that failed.
    pub failed_jobs: u64,
    /// Whether late or failed jobs exceed the error budget.
    pub budget_exceeded: bool,
}

impl From<TenantView> for TenantViewBody {
    fn from(view: TenantView) -> Self {
        Self {
            tenant: view.tenant,
            unfinished_jobs: view.unfinished_jobs,
            ready_tasks: view.ready_tasks,
            usage: view.usage.into(),
            resource_limit: view.resource_limit.into(),
            ended_jobs: view.ended_jobs,
            late_jobs: view.late_jobs,
            failed_jobs: view.failed_jobs,
            budget_exceeded: view.budget_exceeded,
        }
    }
}

/// Response to `GET /v1/licences`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicencesBody {
    /// All licences of the configuration.
    pub licences: Vec<LicenceViewBody>,
}

/// A licence with its seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceViewBody {
    /// Name of the licence.
    pub licence: LicenceName,
    /// Number of seats in the whole cluster.
    pub seats: u32,
    /// Number of seats taken by open runs.
    #[serde(rename = "taken")]
    pub used: u32,
    /// Number of tasks that wait for capacity or a licence seat.
    pub waiting: u64,
}

impl From<LicenceView> for LicenceViewBody {
    fn from(view: LicenceView) -> Self {
        Self {
            licence: view.licence,
            seats: view.seats,
            used: view.used,
            waiting: view.waiting,
        }
    }
}

/// Response to `GET /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersBody {
    /// Coordinators, and daemons that have a session with the leader.
    pub members: Vec<MemberViewBody>,
}

/// State of a daemon of the cluster as the leader has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberViewBody {
    /// Identity of the member, in decimal. A string, since it uses all 64 bits.
    pub node: String,
    /// Role of the member: `coordinator`, `gateway` or `agent`.
    pub role: String,
    /// Zone that the member runs in. `unknown` for a coordinator before its first
    /// message.
    pub zone: String,
    /// Socket on which the member accepts connections of other members.
    pub socket: String,
    /// Status of the member: `leader`, `voter` or `learner` for a coordinator,
    /// `session` for a daemon of another role.
    #[serde(rename = "standing")]
    pub status: String,
    /// Time since the leader last received a message from the member, in
    /// milliseconds.
    #[serde(rename = "silence_ms")]
    pub since_last_contact_ms: u64,
    /// Configuration version that the member last reported to this leader.
    /// `null` before its first report.
    pub configuration: Option<u64>,
    /// Health of the links to the other voters, as the member last measured it.
    /// Absent for a member that has reported none, such as one with a session.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub links: Option<LinkHealthBody>,
}

/// Health of a voter's links to other voters. A leader measures it by its
/// heartbeats, a follower by probes to the other followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHealthBody {
    /// Number of links whose replies arrive in time.
    pub good: u8,
    /// Number of links whose replies arrive late.
    pub bad: u8,
    /// Whether the voter's disk is slow, or was a short time ago.
    pub slow_disk: bool,
    /// Whether the voter transferred leadership a short time ago.
    #[serde(rename = "gave_way")]
    pub recently_transferred: bool,
}

impl From<consensus::LinkHealth> for LinkHealthBody {
    fn from(links: consensus::LinkHealth) -> Self {
        Self {
            good: links.good_links,
            bad: links.bad_links,
            slow_disk: links.slow_disk,
            recently_transferred: links.recently_transferred,
        }
    }
}

impl From<MemberView> for MemberViewBody {
    fn from(view: MemberView) -> Self {
        Self {
            node: view.address.node.to_string(),
            role: view.address.role.to_string(),
            zone: view.address.zone.to_string(),
            socket: view.address.socket.to_string(),
            status: view.status,
            since_last_contact_ms: view.since_last_contact.0,
            configuration: view.configuration.map(|version| version.0),
            links: view.links.map(LinkHealthBody::from),
        }
    }
}
