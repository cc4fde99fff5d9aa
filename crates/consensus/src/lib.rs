//! Raft as a state machine without I/O.
//!
//! [`Node`] takes messages, ticks and proposals with the time at which they
//! arrived, and returns a [`Ready`]: what to persist, what to send, what was
//! committed. Disk, network and clock are left to the caller, so the same code
//! runs in the daemon and in the seeded simulation.
//!
//! Source: Ongaro, "Consensus: Bridging Theory and Practice" (2014), called
//! "the thesis" in this crate: leadership transfer (3.10), membership changes
//! by one server at a time (4.1), learners (4.2.1), log compaction (5),
//! check-quorum and leader lease (6.2, 6.4), pre-vote (9.6).
//!
//! Modules depend on one another in one direction: first the data types
//! (`state`, `message`, `options`, `error`, `status`, `ready`); then the
//! components, which own their state and do not use [`Node`] (`log`,
//! `membership`, `rounds`, `snapshot`, `progress`, `transfer`, `link_health`,
//! `leadership`, `role`, `election_timer`, `persist_queue`); and last `node`,
//! which composes them.

mod election_timer;
mod error;
mod leadership;
mod link_health;
mod log;
mod membership;
pub mod message;
pub mod node;
pub mod options;
mod persist_queue;
mod progress;
pub mod ready;
mod role;
mod rounds;
mod snapshot;
pub mod state;
mod status;
mod transfer;

pub use error::ProposeError;
pub use link_health::LinkHealth;
pub use message::{Message, Outgoing};
pub use node::Node;
pub use options::{Mutation, Options};
pub use ready::Ready;
pub use state::{
    Entry, HardState, Membership, Payload, RaftRole, Recovered, Snapshot, SnapshotMeta,
};
pub use status::Status;
