//! The client side of a session with the leader, shared by gateways and
//! agents: finding any member through seeds, following the leader, keep-alives and
//! leases, the configuration replica, relays through followers, freezes.

pub mod client;
pub mod directory;
pub mod keep_alive;
pub mod leader;
pub mod replica;
mod round;
pub mod route;

pub use client::{SessionClient, SessionEvent, SessionOptions};
pub use route::answer_to;
