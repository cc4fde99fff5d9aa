//! Messages between daemons and the framed, authenticated transport that
//! carries them.
//!
//! Every message between processes is a variant of [`PeerMessage`]. The
//! transport promises little on purpose: a message arrives at most once a
//! send, or not at all, in any order over reconnects. The cores above live
//! with loss; the simulation gives them the same.

pub mod clock;
pub mod message;
pub mod relay;
pub mod request;
pub mod tcp;

pub use message::{
    AgentReport, Bootstrap, Envelope, KeepAlive, Members, NamedRun, OrderResult, PeerMessage,
    RunnerUpdate, SessionLease,
};
pub use relay::Relay;
pub use request::{
    DecisionEntry, DecisionEvent, JobFilter, LicenceView, MemberView, Operation, OperationReply,
    QueueView, Rejection, RejectionCode, Reply, Request, RequestId, TenantView,
};
pub use tcp::inbox::{Arrival, Inbox, Lane};
pub use tcp::{ClusterKey, PROTOCOL_VERSION, Transport, TransportError, TransportOptions};
