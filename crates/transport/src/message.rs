//! The messages that daemons send each other.
//!
//! Postcard numbers variants and fields by their order here, so neither may
//! move; a change of either needs a new [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION).

use crate::membership::{Bootstrap, Members};
use crate::request::{Reply, Request};
use crate::runner::{AgentReport, OrderResult, RunnerUpdate};
use crate::session::{KeepAlive, SessionLease};
use configuration::ClusterConfiguration;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::{Address, ClusterId, ConfigurationVersion, NodeId, RunnerOrder, Term};

/// A received message with its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender. Answers go to its socket.
    pub from: Address,
    /// The member that relayed the message, if one did. Answers go back through
    /// the same member.
    pub via: Option<SocketAddr>,
    /// The message.
    pub body: PeerMessage,
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Asks a daemon of any role for the members that it knows. Sent to seeds
    /// by a daemon that looks for its cluster; answered with
    /// [`PeerMessage::Members`].
    Discover,
    /// The members that the sender knows, in answer to
    /// [`PeerMessage::Discover`].
    Members(Members),
    /// A step of the first start of a cluster, between its initial coordinators.
    Bootstrap(Bootstrap),
    /// A Raft message from one coordinator of a cluster to another.
    Raft {
        /// Cluster of the sender. A coordinator of another cluster drops the
        /// message.
        cluster: ClusterId,
        /// Process that the message is meant for. Another process at the same
        /// socket drops it.
        to: NodeId,
        /// The Raft message.
        message: consensus::Message,
    },
    /// Opens or renews a session, from any daemon to the leader.
    KeepAlive(KeepAlive),
    /// The leader's answer to a keep-alive.
    Lease(SessionLease),
    /// Answers a keep-alive or a request sent to a coordinator that is not the
    /// leader.
    NotLeader {
        /// Leader that this coordinator knows of, if any.
        leader: Option<Address>,
    },
    /// A whole configuration, from the leader to a daemon whose replica is
    /// behind.
    Configuration {
        /// Version of the document.
        version: ConfigurationVersion,
        /// The document.
        document: ClusterConfiguration,
    },
    /// A caller's or operator's request, from a gateway to the leader.
    Request(Request),
    /// The final answer to a request, from the leader to the gateway.
    Reply(Reply),
    /// Heartbeats of an agent's runners, from the agent to the leader.
    AgentReport(AgentReport),
    /// The leader's answer to the heartbeats of one runner, to its agent.
    RunnerUpdate(RunnerUpdate),
    /// Orders for runners, from the leader to their agent.
    Orders {
        /// Term of the leader. An agent that has seen a higher one rejects the
        /// orders.
        term: Term,
        /// Agent process that the orders are meant for. An agent that has
        /// restarted since drops them.
        agent: NodeId,
        /// The orders.
        orders: Vec<RunnerOrder>,
    },
    /// Results of orders, from an agent to the leader.
    OrderResults {
        /// One result for each order.
        results: Vec<OrderResult>,
    },
    /// A message that another member passes on, for a receiver that the sender
    /// cannot reach itself.
    Relay(Relay),
}

impl PeerMessage {
    /// Returns the value of the `kind` label under which metrics count the
    /// message.
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

/// A message passed on by a member that reaches both its sender and its
/// receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Sender of the message.
    pub origin: Address,
    /// Socket of the receiver.
    pub destination: SocketAddr,
    /// The message. It is never a relay itself: encoding and decoding fail on a
    /// nested one.
    #[serde(with = "relay_body")]
    pub body: Box<PeerMessage>,
}

/// Encoding of a relayed message, as a byte string of its own.
///
/// The decoder rejects a nested relay by the variant number that the bytes
/// begin with, before it decodes them. Its recursion is therefore at most one
/// deep, whatever a peer sends.
mod relay_body {
    use super::PeerMessage;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de, ser};

    /// Number of [`PeerMessage::Relay`] among the variants of its enum.
    const RELAY_VARIANT: u32 = 14;
    const NESTED_RELAY: &str = "a relay inside a relay";

    pub(super) fn serialize<S: Serializer>(
        body: &PeerMessage,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if matches!(body, PeerMessage::Relay(_)) {
            return Err(ser::Error::custom(NESTED_RELAY));
        }
        let bytes = postcard::to_stdvec(body).map_err(ser::Error::custom)?;
        serializer.serialize_bytes(&bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Box<PeerMessage>, D::Error> {
        let bytes = Bytes::deserialize(deserializer)?;
        let (variant, _) = postcard::take_from_bytes::<u32>(&bytes).map_err(de::Error::custom)?;
        if variant == RELAY_VARIANT {
            return Err(de::Error::custom(NESTED_RELAY));
        }
        postcard::from_bytes(&bytes)
            .map(Box::new)
            .map_err(de::Error::custom)
    }
}
