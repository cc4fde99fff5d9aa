//! Emulated runners and callers for simulation and lab: cores without I/O,
//! and a tokio shell that makes a runner a server of its own.

pub mod caller;
pub mod fleet;
pub mod mix;
pub mod runner;
pub mod shell;
pub mod workload;
