//! The node agent role: a core without I/O and its tokio shell.
//!
//! Each runner machine has one agent. It forwards the heartbeats of its runners to
//! the leader and delivers the leader's orders to them. It rejects orders of a lower
//! term than the highest it has seen. After a lost session or a suspend of the
//! machine it drops its queued orders, and accepts no others before it has opened a
//! new session.

pub mod core;
pub mod shell;

pub use crate::core::{
    Agent, AgentMutation, AgentOptions, Effect, HeartbeatAnswer, Input, NotReady,
};
pub use shell::{AgentError, CoreHandle, OrderSender, ShellOptions, run, run_with_order_sender};
