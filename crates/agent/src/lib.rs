//! The node agent role: a core without I/O and its tokio shell.
//!
//! One agent a runner machine. It passes its runners' heartbeats to the
//! leader, carries start, stop and revocation orders, and fences: a term below the
//! highest seen is rejected, and after a lost session or a freeze it drops its
//! queue of orders and rejoins before it acts.

pub mod core;
pub mod shell;

pub use crate::core::{Agent, AgentMutation, AgentOptions, Effect, HeartbeatAnswer, Input};
pub use shell::{AgentError, OrderSender, Questions, ShellOptions, run, run_with_order_sender};
