//! The client side of a session with the leader, shared by gateways and agents.
//!
//! [`SessionClient`] discovers members through seeds, follows the leader, sends
//! it keep-alives and receives leases, keeps a replica of the cluster's
//! configuration, and reaches the leader through a follower if the direct path
//! fails. It is a state machine without I/O: the caller passes messages and
//! the time, and sends the messages that the client returns.
//!
//! The components `directory`, `keep_alive`, `leader`, `lease`, `replica`,
//! `route` and `schedule` do not know the client, which composes them.

pub mod client;
pub mod directory;
pub mod keep_alive;
pub mod leader;
mod lease;
pub mod replica;
pub mod route;
mod schedule;

pub use client::{SessionClient, SessionEvent, SessionOptions};
pub use route::answer_to;
