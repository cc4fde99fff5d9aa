//! Emulated runners, callers and workloads for the simulation and the lab.
//!
//! Runners and callers are cores without I/O. [`shell`] wraps a runner core in
//! a tokio server that speaks HTTP.

pub mod caller;
pub mod fleet;
pub mod mix;
pub mod runner;
pub mod shell;
pub mod workload;
