//! Every message between daemons.

use crate::{Relay, Reply, Request};
use configuration::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{
    Address, ClusterId, ConfigurationVersion, HeartbeatSequence, Milliseconds, NodeId, OrderAnswer,
    RunId, RunName, RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport, Term,
};

/// A message with its sender, as a core receives it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender; answers go to its socket.
    pub from: Address,
    /// The member that relayed it, if it came by one; answers go back by it.
    pub via: Option<SocketAddr>,
    /// The message.
    pub body: PeerMessage,
}

/// A message between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who is there? Any role answers with [`PeerMessage::Members`].
    Discover,
    /// The sender's member view.
    Members(Members),
    /// First start of a cluster.
    Bootstrap(Bootstrap),
    /// Consensus traffic of one cluster.
    Raft {
        /// The cluster; others drop it.
        cluster: ClusterId,
        /// The receiver meant; a process with another identity drops it.
        to: NodeId,
        /// The message.
        message: consensus::Message,
    },
    /// Opens and renews a session with the leader.
    KeepAlive(KeepAlive),
    /// The leader's answer to a keep-alive.
    Lease(SessionLease),
    /// Answer to a keep-alive or request by a coordinator that does not lead.
    NotLeader {
        /// The leader it knows.
        leader: Option<Address>,
    },
    /// A whole configuration, from the leader to a replica that is behind.
    Configuration {
        /// Its version.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
    },
    /// A caller's or operator's request, from a gateway to the leader.
    Request(Request),
    /// Its final answer.
    Reply(Reply),
    /// What an agent's runners reported, to the leader.
    AgentReport(AgentReport),
    /// The leader's answers to heartbeats of one runner.
    RunnerUpdate(RunnerUpdate),
    /// Orders, from the leader to an agent.
    Orders {
        /// The leader's term.
        term: Term,
        /// The agent process meant; a restarted one drops them.
        agent: NodeId,
        /// The orders.
        orders: Vec<RunnerOrder>,
    },
    /// What became of orders, from an agent to the leader.
    OrderResults {
        /// The results.
        results: Vec<OrderResult>,
    },
    /// A message for a member the sender cannot reach itself.
    Relay(Relay),
}

impl PeerMessage {
    /// Its kind, as metrics name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Discover => "discover",
            Self::Members(_) => "members",
            Self::Bootstrap(_) => "bootstrap",
            Self::Raft { .. } => "raft",
            Self::KeepAlive(_) => "hello",
            Self::Lease(_) => "lease",
            Self::NotLeader { .. } => "not_leader",
            Self::Configuration { .. } => "configuration",
            Self::Request(_) => "request",
            Self::Reply(_) => "reply",
            Self::AgentReport(_) => "agent_report",
            Self::RunnerUpdate(_) => "runner_update",
            Self::Orders { .. } => "orders",
            Self::OrderResults { .. } => "order_results",
            Self::Relay(_) => "relay",
        }
    }
}

/// A member view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// Members known alive, the sender included.
    pub members: Vec<Address>,
    /// The leader, if one is known.
    pub leader: Option<Address>,
    /// Term of that leader.
    pub term: Term,
    /// The cluster, if the sender belongs to one.
    pub cluster: Option<ClusterId>,
}

/// First start of a cluster: all initial coordinators present and empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Bootstrap {
    /// An empty coordinator says that it is there.
    Announce {
        /// Number of initial coordinators from its settings.
        expected: u32,
    },
    /// The one with the lowest identity proposes cluster and voters.
    Propose {
        /// The new cluster.
        cluster: ClusterId,
        /// All initial coordinators.
        voters: consensus::Membership,
    },
    /// The receiver has synced the proposal to its disk.
    Accept {
        /// The cluster meant.
        cluster: ClusterId,
    },
}

/// Opens and renews a session with the leader. Gateways, agents and
/// coordinators that are no members yet send it every session interval. Members
/// send it too, to report the configuration they have applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeepAlive {
    /// Rises with every keep-alive of one process; echoed in the lease.
    pub sequence: u64,
    /// Version of the sender's configuration replica, or of its record.
    pub configuration: ConfigurationVersion,
    /// Runners an agent serves.
    pub runners: Vec<RunnerId>,
    /// True for a process that is about to stop.
    pub leaving: bool,
    /// The cluster the sender belongs to; an empty coordinator has none.
    pub cluster: Option<ClusterId>,
}

/// The leader's answer to a keep-alive, given only under its own lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionLease {
    /// The leader's term.
    pub term: Term,
    /// The leader.
    pub leader: Address,
    /// The cluster.
    pub cluster: ClusterId,
    /// Echo of the keep-alive: the lease counts from when that was sent.
    pub sequence: u64,
    /// Length of the lease.
    pub lease: Milliseconds,
    /// Version in force; the document follows if the replica is behind.
    pub configuration: ConfigurationVersion,
    /// Live coordinators.
    pub coordinators: Vec<Address>,
    /// Live gateways and agents, told now and then; none says nothing.
    pub others: Vec<Address>,
}

/// Heartbeats of an agent's runners.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The newest heartbeat of each runner that has a new one.
    pub reports: Vec<RunnerReport>,
}

/// The leader's answer to the heartbeats of one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// The leader's term.
    pub term: Term,
    /// The runner.
    pub runner: RunnerId,
    /// The incarnation meant.
    pub incarnation: RunnerIncarnation,
    /// Heartbeat received; the run lease counts from when it was sent.
    pub confirmed: HeartbeatSequence,
    /// Length of the run lease.
    pub lease: Milliseconds,
    /// Ended runs that the record has: the runner may drop them.
    pub recorded: Vec<RunId>,
    /// Held runs that the record closed: the runner must stop them.
    pub stop: Vec<RunId>,
    /// Answers to the runs the agent could not name.
    pub names: Vec<NamedRun>,
}

/// A run that an agent could not name, and its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRun {
    /// As the agent told of it.
    pub name: RunName,
    /// Its identifier; none when the record has no such run open, and the
    /// runner is to stop and forget it.
    pub run: Option<RunId>,
}

/// What became of one order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The order, in short.
    pub order: RunnerOrder,
    /// What the runner said, or that it said nothing.
    pub answer: OrderAnswer,
}
