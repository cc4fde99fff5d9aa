//! Pure per-tenant view of waiting and running work, and placement.
//!
//! The view is derived from the replicated state and never stored: a new leader
//! rebuilds it by idempotent publish and audits it, a range of jobs at a time.
//!
//! Source: the Job Pump (Salsify Engineering, "Scaling Delayed Job for High
//! Throughput Services", 2019) with its `jobs:<id>` entry, pending list and
//! running set by queue and tenant, tenant limits, runnable tenants, and four
//! atomic idempotent steps: publish, reserve (a uniform draw among runnable
//! tenants), reschedule, remove.
//!
//! Modules, from the bottom up: `index`, `step`, `pull` and other plain types;
//! the tables (`task`, `run`, `runner`, `gang`, `licence`, `backfill`, ...), each
//! with its own rules; `view`, which composes the tables; the steps across
//! tables, such as `reserve` and `placement`; and [`Scheduler`], the public
//! interface.

mod audit;
mod availability;
mod backfill;
mod backfill_placement;
mod bounds;
mod configure;
pub mod decision;
mod demand;
mod draw;
mod eligibility;
mod explain;
mod gang;
mod gang_placement;
mod health;
mod heartbeat;
mod index;
mod licence;
mod limits;
mod open_runs;
pub mod options;
mod pending;
mod placement;
pub mod policy;
mod pool;
mod pull;
mod queue;
mod reserve;
mod review;
mod run;
mod runner;
mod scan;
pub mod scheduler;
mod shape;
mod step;
mod table;
mod task;
mod task_status;
mod tenant;
mod tenant_list;
mod view;

pub use decision::{Decision, DecisionKind, NotPlacedReason};
pub use options::{AuditReport, Published, RunnerView, SchedulerOptions, SeatUsage};
pub use policy::{Draw, Policy};
pub use scheduler::Scheduler;
