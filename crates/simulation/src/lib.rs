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
pub mod event;
pub mod fault;
pub mod fleet;
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
pub mod world;
mod world_http;
mod world_operator;
mod world_runner;

pub use campaign::{Campaign, SeedResult, Summary, run_campaign, run_plan};
pub use mutation::Mutation;
pub use plan::{
    Acknowledgement, Behaviour, Fault, FleetSize, Plan, PlanError, PlannedFault, Processing,
};
pub use planner::{PlannerOptions, plan_from_seed};
pub use run::{Outcome, run};
pub use shrink::shrink;
pub use world::TimedDecision;
