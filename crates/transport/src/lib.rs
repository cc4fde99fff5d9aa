//! Messages between daemons, and the framed, authenticated TCP transport that
//! carries them.
//!
//! Every message between processes is a variant of [`PeerMessage`]. The
//! transport guarantees at-most-once delivery and nothing more: a message may be
//! lost, and messages may be reordered when a connection is re-established. The
//! daemons handle both, and the simulation delivers messages under the same
//! guarantees.

pub mod clock;
pub mod decision;
pub mod membership;
pub mod message;
pub mod reply;
pub mod request;
pub mod runner;
pub mod session;
pub mod stop;
pub mod tcp;
pub mod view;

pub use decision::{DecisionEntry, DecisionEvent};
pub use membership::{Bootstrap, Members};
pub use message::{Envelope, PeerMessage, Relay};
pub use reply::{OperationReply, Rejection, RejectionCode};
pub use request::{JobFilter, Operation, Reply, Request, RequestId};
pub use runner::{AgentReport, NamedRun, OrderResult, RunnerUpdate};
pub use session::{KeepAlive, SessionLease};
pub use stop::stopped;
pub use tcp::inbox::{Arrival, Inbox, Lane};
pub use tcp::{ClusterKey, PROTOCOL_VERSION, Transport, TransportError, TransportOptions};
pub use view::{LicenceView, MemberView, QueueView, TenantView};
