//! Per-tenant view of waiting and running work, and placement of tasks on
//! runners. The crate does no I/O and reads no clock.
//!
//! The view is derived from the replicated state and never stored. A new leader
//! rebuilds it with idempotent publishes and audits it, one range of jobs at a
//! time. To publish a task is to add it to the view, from which it may be placed.
//! A pull chooses work to start on one runner. A licence has a number of seats in
//! the whole cluster; each run that needs the licence takes one seat.
//!
//! The design follows the Job Pump (Salsify Engineering, "Scaling Delayed Job
//! for High Throughput Services", 2019): `jobs:<id>` entries, a pending list
//! and a running set by queue and tenant, tenant limits, runnable tenants, and
//! four atomic idempotent steps: publish, reserve (a uniform draw among
//! runnable tenants), reschedule, remove.
//!
//! Modules, from the lowest layer up: `index`, `step`, `pull` and other plain
//! types; the tables (`task`, `run`, `runner`, `gang`, `licence`, `backfill`,
//! ...), each of which enforces its own rules; `view`, which composes the
//! tables; the steps that change several tables, such as `reserve` and
//! `placement`; and [`Scheduler`], the public interface.

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
mod gang_room;
mod head;
mod health;
mod heartbeat;
mod index;
mod label_index;
mod licence;
mod limits;
mod needs_tree;
mod open_runs;
pub mod options;
mod overdue;
mod pending;
mod placement;
pub mod policy;
mod pool;
mod pull;
mod queue;
mod reserve;
mod review;
mod run;
mod run_duration;
mod runner;
mod runner_kind;
mod scan;
pub mod scheduler;
mod seats;
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
