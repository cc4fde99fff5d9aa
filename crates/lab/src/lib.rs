//! Trials on one machine: fleets of real processes, emulators, load and reports.
//!
//! The daemons are child processes of the lab, each on its own loopback address.
//! Runners and callers are emulators inside the lab process. Every event that
//! callers and runners observe is recorded in one history, which the checker
//! verifies.

pub mod callers;
pub mod capacity;
pub mod daemon;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod history;
pub mod losses;
pub mod ports;
pub mod process;
pub mod report;
pub mod rolling_change;
pub mod runners;
pub mod scenario;
pub mod setup;
pub mod simulate;
pub mod trial;

pub use error::LabError;
pub use fleet::{Fleet, FleetPlan, MemberId};
pub use history::History;
