//! The client side of a session with the leader, shared by gateways and
//! agents: finding any member through seeds, following the leader, hellos and
//! leases, the configuration replica, relays through followers, freezes.

pub mod client;

pub use client::{SessionClient, SessionEvent, SessionOptions};
