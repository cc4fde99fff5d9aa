//! Deterministic simulation of a whole cluster in one process.
//!
//! The unchanged cores of the daemons run on a virtual clock, a virtual network
//! that delays, loses, duplicates, reorders and partitions messages, and virtual
//! disks that lose unsynced writes at a power loss. Emulated runners, callers and
//! operators use the cluster and record their observations in a history, which
//! the `checker` crate verifies. A plan gives the seed, the sizes and the faults
//! of a simulation; the same plan produces the same history to the byte. A plan may name
//! a mutation, which disables one mechanism of the software on purpose, to prove that
//! the checker notices.

mod busy;
pub mod caller;
pub mod campaign;
pub mod cluster;
mod cluster_busy;
mod cluster_http;
mod cluster_operator;
mod cluster_runner;
pub mod event;
pub mod fault;
pub mod fleet;
pub mod ids;
pub mod machine;
pub mod mutation;
pub mod network;
pub mod operator;
pub mod plan;
pub mod planner;
pub mod process;
pub mod run;
pub mod runner;
pub mod shrink;

pub use campaign::{Campaign, SeedResult, Summary, run_campaign, run_plan};
pub use cluster::TimedDecision;
pub use mutation::Mutation;
pub use plan::{
    Acknowledgement, Behaviour, Fault, FleetSize, Plan, PlanError, PlannedFault, Processing,
};
pub use planner::{PlannerOptions, plan_from_seed};
pub use run::{Outcome, run};
pub use shrink::shrink;
