//! A whole fleet in one process under one seed.
//!
//! The daemons' own cores run here, unchanged, on a virtual clock, a network
//! that delays, loses, doubles, reorders and cuts, and disks that forget what
//! was not synced. Emulated runners, callers and operators work against them
//! and write down what they saw; the checker reads that history. The same seed
//! gives the same run to the byte.

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
