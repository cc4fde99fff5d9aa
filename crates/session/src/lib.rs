//! Client side of a session with the leader, shared by gateways and agents.
//!
//! [`SessionClient`] discovers members through seeds, finds the leader and sends
//! it keep-alives, for which the leader grants leases. It keeps a replica of
//! the cluster's configuration, and relays messages to the leader through a
//! follower if the direct path fails. The client is a state machine without
//! I/O: the caller passes messages and the time, and sends the messages that
//! the client returns.
//!
//! The client composes the components `directory`, `keep_alive`, `leader`,
//! `lease`, `replica`, `route` and `schedule`, which do not depend on it.

pub mod client;
pub mod directory;
pub mod keep_alive;
pub mod leader;
mod lease;
pub mod replica;
pub mod route;
mod schedule;

pub use client::{SessionClient, SessionEvent, SessionOptions};
pub use route::reply_to;
