//! The coordinator role: a core without I/O and its tokio shell.
//!
//! The core takes one input with the time it came at and appends effects; the
//! shell (or the simulation) carries them out. It holds a replica (a consensus
//! node and the state machine that it feeds) and, while it leads, a leader with
//! the scheduler and the state of sessions, runners and runs.
//!
//! # Structure
//!
//! Imports go downwards; a component keeps its state private.
//!
//! | Module | What it does |
//! | --- | --- |
//! | `shell` | sockets, clock, [`run`]; `shell/disk` writes and syncs, `shell/load` measures the loop's lag |
//! | `core` | [`Coordinator`]: routes each input to a component and joins their effects; its child modules take one kind of message each |
//! | `leader` | what only a leader has; see there for its components |
//! | `replica` | consensus node, state machine, order of disk and messages; `replica/snapshots` says when to write one |
//! | `identity` | identity on disk, bootstrap of a cluster, directory of known processes |
//! | `options`, `effect`, `readiness`, `sender` | types that all of them share |
//!
//! # How an input passes through
//!
//! Each input goes through `Coordinator::handle_all` (core.rs): the consensus
//! node checks its timers, `update_leadership` (core/leadership.rs) checks the
//! lease, the input is handled, and `advance` does what follows once for all
//! inputs. It alternates `propose_collected` (core/leadership.rs) and
//! `process_consensus` (core/replication.rs), and ends with `send_collected`,
//! which sends the leader's messages only if the lease still holds.
//!
//! A submit:
//! 1. `Coordinator::receive_request` (core/requests.rs) checks the lease and
//!    passes it to `Leader::receive_request` (leader/requests.rs).
//! 2. `Leader::submit` answers a known job at once, checks the tenant's rate
//!    (leader/submit_admission.rs), adds the request to the `RequestTable`
//!    (leader/request_table.rs) and its command to `Proposals`
//!    (leader/proposals.rs).
//! 3. `propose_collected` gives the command to the consensus node;
//!    `Leader::record_proposed` (leader/applied_entries.rs) notes its index.
//! 4. `Replica::process_ready` (replica.rs) writes and, when a quorum has the
//!    entry, applies it; `Leader::follow_entry` (leader/applied_entries.rs)
//!    publishes the tasks to the scheduler and answers the request.
//!
//! A heartbeat:
//! 1. `Coordinator::receive_report` (core/heartbeats.rs) checks the lease,
//!    `Leader::receive_report` (leader/heartbeats.rs) the agent's session.
//! 2. `RunnerRegistry::record_heartbeat` (leader/runner_registry.rs) and the
//!    scheduler record the runner.
//! 3. `Leader::reconcile_runs` (leader/heartbeats.rs) compares its runs with
//!    the `RunTracker` (leader/run_tracker.rs): ended and lost runs are closed
//!    through the log, absent ones revoked.
//! 4. `Leader::confirm_heartbeat` (leader/heartbeats.rs) answers with the run
//!    lease.
//!
//! An order:
//! 1. `Leader::place` (leader/placement.rs) turns the scheduler's choices into
//!    one `Reserve` command.
//! 2. When it is applied, `Leader::follow_entry` (leader/applied_entries.rs)
//!    adds the runs to the `RunTracker` and queues their starts.
//! 3. `Leader::send_starts` (leader/orders.rs) builds the start of each run and
//!    hands it to the `Outbox` (leader/outbox.rs), which packs the orders of one
//!    agent into one message.
//! 4. `Leader::receive_order_results` (leader/orders.rs) takes the answer;
//!    without one, `Leader::check_runs` (leader/orders.rs) revokes the run.
//!
//! A configuration change:
//! 1. `Leader::put_configuration` or `update_configuration`
//!    (leader/requests.rs) checks the document and proposes it.
//! 2. When it is applied, `Leader::follow_configuration`
//!    (leader/applied_entries.rs) configures the scheduler and sends it to every
//!    session.
//! 3. A process that missed it gets it with its next lease:
//!    `Leader::receive_keep_alive` (leader/keep_alives.rs).
//!
//! An election:
//! 1. `Replica::tick` and `Replica::step` (replica.rs) drive the consensus node;
//!    `process_consensus` sends its messages.
//! 2. When its lease holds, `update_leadership` (core/leadership.rs) builds a
//!    `Leader` (leader.rs) and announces it.
//! 3. `Leader::rebuild_slice` (leader/rebuild.rs) fills the scheduler;
//!    `Leader::may_place` (leader/placement.rs) waits for the runners.
//! 4. `Leader::suspend` and `Leader::resume` (leader.rs) follow a lapse of the
//!    lease; when the role is lost, pending requests are answered as uncertain
//!    and the leader is dropped.

mod core;
mod effect;
mod identity;
mod leader;
mod options;
mod readiness;
mod replica;
mod sender;
mod shell;

pub use crate::core::Coordinator;
pub use effect::{Effect, Input};
pub use options::{BootstrapRule, CoordinatorOptions, Mutation};
pub use readiness::{NotReadyReason, Readiness};
pub use replica::snapshots;
pub use shell::{CoordinatorError, ShellOptions, run};
