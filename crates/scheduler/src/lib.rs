//! Pure per-tenant view of waiting and running work, and placement.
//!
//! The view is derived from the record and may be thrown away: a new leader
//! rebuilds it by idempotent publish and audits it in slices ever after.
//! Source: the Job Pump (Salsify, 2019) with its `jobs:<id>` entry, pending
//! list and running set by queue and tenant, tenant limits, runnable tenants,
//! and four atomic steps: publish, reserve, reschedule, remove.

mod audit;
mod backfill;
mod bounds;
mod configure;
pub mod decision;
mod demand;
mod draw;
mod eligibility;
mod explain;
mod gang;
mod health;
mod heartbeat;
pub mod options;
mod pending;
mod place;
pub mod policy;
mod queue;
mod run;
mod runner;
mod scan;
pub mod scheduler;
mod seats;
mod shape;
mod table;
mod task;

pub use decision::{Decision, DecisionKind, NotPlacedReason};
pub use options::{AuditReport, Published, RunnerView, SchedulerOptions};
pub use policy::{Draw, Policy};
pub use scheduler::Scheduler;
