//! Raft as a state machine without I/O.
//!
//! [`Node`] takes messages, ticks and proposals with the time they came at,
//! and gives back a [`Ready`]: what to persist, what to send, what was
//! committed. Disk, network and clock stand outside, so the same code runs in
//! the daemon and in the seeded simulation. Source: Ongaro, "Consensus:
//! Bridging Theory and Practice" (2014), with pre-vote (9.6), check-quorum
//! and leader lease (6.4), learners (4.2.1), membership one at a time (4.1),
//! leadership transfer (3.10).

mod election;
mod follower;
mod lease;
mod link_health;
mod log;
mod membership;
pub mod message;
pub mod node;
pub mod options;
mod progress;
pub mod ready;
mod replication;
mod snapshot;
pub mod state;
mod transfer;

pub use link_health::LinkHealth;
pub use message::{Message, Outgoing};
pub use node::{Node, ProposeError, Status};
pub use options::{Mutation, Options};
pub use ready::Ready;
pub use state::{
    Entry, HardState, Membership, Payload, RaftRole, Recovered, Snapshot, SnapshotMeta,
};
