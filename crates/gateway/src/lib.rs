//! The gateway role: a core without I/O and its tokio shell.
//!
//! A gateway is stateless. It checks keys against its configuration replica,
//! admits requests within the quota of each tenant, forwards them to the leader and
//! retries until the caller's deadline. Each request gets one final answer.

pub mod core;
pub mod shell;

pub use crate::core::{Caller, Effect, Gateway, GatewayOptions, Input, NotReady, TicketId};
pub use shell::{
    Answer, GatewayError, Replica, Requests, RouteContext, ShellOptions, ValidReplica, run,
    run_with_routes,
};
