//! Messages between daemons.
//!
//! Postcard encodes variants and fields by their position. Adding, removing or
//! moving one changes the message format and requires a new
//! [`PROTOCOL_VERSION`](crate::PROTOCOL_VERSION). The exception is an
//! [`Operation`](crate::Operation) added after all others: every message of an earlier
//! build stays as it is. A coordinator of an earlier build cannot read the new operation,
//! so coordinators are replaced before the gateways that send it.

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
    /// Address of the sender. Replies go to its socket.
    pub from: Address,
    /// Socket of the member that relayed the message; replies are relayed by the
    /// same member. `None` for a message that came directly from its sender.
    pub via: Option<SocketAddr>,
    /// Message without the sender's address.
    pub body: PeerMessage,
}

/// A message between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Requests the members known to a daemon of any role. Sent to the seeds by
    /// a daemon that is searching for its cluster; answered with
    /// [`PeerMessage::Members`].
    Discover,
    /// Members known to the sender, in reply to [`PeerMessage::Discover`].
    Members(Members),
    /// A step of the bootstrap of a new cluster, between its initial
    /// coordinators.
    Bootstrap(Bootstrap),
    /// A Raft message from one coordinator of a cluster to another.
    Raft {
        /// Cluster of the sender. A coordinator of another cluster drops the
        /// message.
        cluster: ClusterId,
        /// Node identifier of the receiving process. A process with another
        /// identifier at the same socket drops the message.
        to: NodeId,
        /// Message of the consensus algorithm.
        message: consensus::Message,
    },
    /// Opens or renews a session, from any daemon to the leader.
    KeepAlive(KeepAlive),
    /// Reply of the leader to a keep-alive.
    Lease(SessionLease),
    /// Reply of a coordinator that is not the leader to a keep-alive or a
    /// request.
    NotLeader {
        /// Leader as seen by the replying coordinator. `None` if it has no
        /// leader.
        leader: Option<Address>,
    },
    /// A whole configuration, from the leader to a daemon whose replica is
    /// behind.
    Configuration {
        /// Version of the configuration.
        version: ConfigurationVersion,
        /// Complete configuration of that version.
        document: ClusterConfiguration,
    },
    /// A caller's or operator's request, from a gateway to the leader.
    Request(Request),
    /// Final reply to a request, from the leader to the gateway.
    Reply(Reply),
    /// Heartbeats of an agent's runners, from the agent to the leader.
    AgentReport(AgentReport),
    /// Reply to the heartbeats of one runner, from the leader to the agent of the
    /// runner.
    RunnerUpdate(RunnerUpdate),
    /// Orders for runners, from the leader to their agent.
    Orders {
        /// Term of the leader. An agent that has seen a higher term rejects the
        /// orders.
        term: Term,
        /// Node identifier of the receiving agent process. An agent that has
        /// restarted since has another identifier and drops the orders.
        agent: NodeId,
        /// Orders to start, stop or revoke runs.
        orders: Vec<RunnerOrder>,
    },
    /// Results of orders, from an agent to the leader.
    OrderResults {
        /// Results, one for each order.
        results: Vec<OrderResult>,
    },
    /// A message to be forwarded by another member because the sender has no
    /// working connection to the receiver.
    Relay(Relay),
}

impl PeerMessage {
    /// Returns the value of the metric label `kind`. Published labels stay fixed,
    /// so a keep-alive has the label `hello`.
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

/// A message forwarded by a member that can reach both the sender and the
/// receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Address of the original sender.
    pub origin: Address,
    /// Socket of the receiver.
    pub destination: SocketAddr,
    /// Forwarded message. Encoding and decoding fail if it is a relay itself.
    #[serde(with = "relay_body")]
    pub body: Box<PeerMessage>,
}

/// Encoding of a relayed message as a separate byte string.
///
/// The decoder reads the variant number at the start of the bytes and rejects a
/// nested relay before decoding it. This limits the recursion to one level for
/// any input from a peer.
mod relay_body {
    use super::PeerMessage;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de, ser};

    /// Position of [`PeerMessage::Relay`] in the enum, as postcard encodes it.
    const RELAY_VARIANT: u32 = 14;
    const NESTED_RELAY: &str = "a relay must not contain another relay";

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
