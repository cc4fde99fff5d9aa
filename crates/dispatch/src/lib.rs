//! Pure per-tenant view of waiting and running work, and placement.
//!
//! The view is derived from the record and may be thrown away: a new leader
//! rebuilds it by idempotent publish and audits it in slices ever after.
//! Source: the Job Pump (Salsify, 2019) with its `jobs:<id>` entry, pending
//! list and running set by queue and tenant, tenant limits, runnable tenants,
//! and four atomic steps: publish, reserve, reschedule, remove.

mod audit;
mod bounds;
mod configure;
pub mod decision;
mod demand;
pub mod dispatcher;
mod draw;
mod explain;
mod gang;
mod health;
mod heartbeat;
mod hold;
mod look;
pub mod options;
mod pending;
mod place;
pub mod policy;
mod queue;
mod run;
mod runner;
mod seats;
mod shape;
mod suits;
mod table;
mod task;

pub use decision::{Decision, DecisionKind, NotPlacedReason};
pub use dispatcher::Dispatcher;
pub use options::{AuditReport, DispatcherOptions, Published, RunnerView};
pub use policy::{Draw, Policy};
