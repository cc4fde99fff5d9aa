//! The gateway role: a core without I/O and its tokio shell.
//!
//! Stateless: it checks keys against its configuration replica, admits or
//! rejects by tenant, forwards to the leader under the caller's deadline, and
//! gives each request one final answer. Nothing an acknowledgement rests on is
//! held here.

pub mod core;
pub mod shell;

pub use crate::core::{Caller, Effect, Gateway, GatewayOptions, Input, TicketId};
pub use shell::{
    Answer, GatewayError, Replica, Requests, RouteContext, ShellOptions, ShownReplica, run,
    run_with_routes,
};
