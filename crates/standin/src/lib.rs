//! Stand-in runners and callers without I/O, for simulation and lab.

pub mod caller;
pub mod fleet;
pub mod runner;
pub mod workload;
