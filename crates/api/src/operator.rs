//! JSON bodies: runners, queues, tenants and members, as operators see them.

use crate::configuration::{CapacityBody, QueueMode, ResourceLimitBody};
use scheduler::RunnerView;
use serde::{Deserialize, Serialize};
use transport::{LicenceView, MemberView, QueueView, TenantView};
use types::{Labels, LicenceName, PoolName, QueueName, RackName, RunnerId, TenantId};

/// `POST /v1/runners/{runner}/drain`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainBody {
    /// Whether it drains from now on.
    pub draining: bool,
}

/// Answer to an order that has nothing to tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// Always true.
    pub accepted: bool,
}

/// Answer to `POST /v1/runners/{runner}/lost`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunsLostBody {
    /// Runs closed as lost, as `<term>-<sequence>`.
    pub runs: Vec<String>,
}

/// Answer to `GET /v1/runners`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnersBody {
    /// The runners known to the leader.
    pub runners: Vec<RunnerViewBody>,
}

/// A runner as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerViewBody {
    /// The runner.
    pub runner: RunnerId,
    /// Its current incarnation.
    pub incarnation: u64,
    /// Its pool.
    pub pool: PoolName,
    /// Its rack.
    pub rack: RackName,
    /// Its labels.
    pub labels: Labels,
    /// All it has.
    pub capacity: CapacityBody,
    /// What is free, less orders on their way.
    pub room: CapacityBody,
    /// Open runs bound to it.
    pub open_runs: u32,
    /// Whether it or an operator says so.
    pub draining: bool,
    /// Whether it is on probation.
    pub on_probation: bool,
    /// Time since its last heartbeat.
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

/// Answer to `GET /v1/queues`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuesBody {
    /// The queues.
    pub queues: Vec<QueueViewBody>,
}

/// A queue with its counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueViewBody {
    /// The queue.
    pub queue: QueueName,
    /// Its pool.
    pub pool: PoolName,
    /// Its mode.
    pub mode: QueueMode,
    /// Unfinished jobs.
    pub unfinished_jobs: u64,
    /// Tasks that may start.
    pub ready_tasks: u64,
    /// Open runs.
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

/// Answer to `GET /v1/tenants`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantsBody {
    /// The tenants.
    pub tenants: Vec<TenantViewBody>,
}

/// A tenant with its counts and the state of its error budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantViewBody {
    /// The tenant.
    pub tenant: TenantId,
    /// Unfinished jobs.
    pub unfinished_jobs: u64,
    /// Tasks that may start.
    pub ready_tasks: u64,
    /// What its open runs hold.
    #[serde(rename = "holds")]
    pub usage: CapacityBody,
    /// Its resource limit.
    #[serde(rename = "most")]
    pub resource_limit: ResourceLimitBody,
    /// Jobs ended since the leader's election.
    pub ended_jobs: u64,
    /// Of those, late by the contract.
    pub late_jobs: u64,
    /// Of those, failed.
    pub failed_jobs: u64,
    /// Whether a budget is used up.
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

/// Answer to `GET /v1/licences`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicencesBody {
    /// The licences.
    pub licences: Vec<LicenceViewBody>,
}

/// A licence and its seats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LicenceViewBody {
    /// The licence.
    pub licence: LicenceName,
    /// Seats in the whole cluster.
    pub seats: u32,
    /// Of those, taken by open runs.
    #[serde(rename = "taken")]
    pub used: u32,
    /// Tasks that wait for capacity or a seat.
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

/// Answer to `GET /v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembersBody {
    /// The members.
    pub members: Vec<MemberViewBody>,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberViewBody {
    /// Identity, in decimal; text, since it uses all 64 bits.
    pub node: String,
    /// `coordinator`, `gateway` or `agent`.
    pub role: String,
    /// Its zone.
    pub zone: String,
    /// Its peer socket.
    pub socket: String,
    /// `leader`, `voter`, `learner` or `session`.
    #[serde(rename = "standing")]
    pub status: String,
    /// Time since the leader last received anything from it.
    #[serde(rename = "silence_ms")]
    pub since_last_contact_ms: u64,
    /// Configuration version it last reported to the leader; `null` while it
    /// has not.
    pub configuration: Option<u64>,
    /// Voters: the health of their links to others, as they measured it last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub links: Option<LinkHealthBody>,
}

/// How others answer a voter: a leader by its heartbeats, a follower by probes to
/// the other followers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkHealthBody {
    /// Links whose answers come in time.
    pub good: u8,
    /// Links whose answers come late.
    pub bad: u8,
    /// Its disk is slow, or was a moment ago.
    pub slow_disk: bool,
    /// It transferred leadership a while ago.
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
