//! Coordinator role of the daemon: a core without I/O and its tokio shell.
//!
//! The core handles an input and the time of its arrival, and produces effects
//! that the shell (or the simulation) carries out. It owns a replica (a
//! consensus node and the state machine that applies its log) and, while this
//! process is the leader, a `Leader` with the scheduler and the state of
//! sessions, runners and runs.
//!
//! To publish a task is to add it to the tasks that the scheduler may place. To
//! close a run is to record its end in the replicated log. A slice is a bounded
//! number of jobs that one step of the rebuild or of the audit handles.
//!
//! # Structure
//!
//! A module imports only from its own row and the rows below it. The state of a
//! component is private.
//!
//! | Module | Responsibility |
//! | --- | --- |
//! | `shell` | sockets, clock, [`run`]; `shell/disk` writes and syncs, `shell/load` measures the loop's lag |
//! | `core` | [`Coordinator`]: routes each input to a component and collects the effects; each child module handles one kind of message |
//! | `leader` | state and work of the leader of a term; its module documentation lists the components |
//! | `replica` | consensus node, state machine, and the order of disk writes and messages; `replica/snapshots` decides when to write a snapshot |
//! | `identity` | identity on disk, bootstrap of a cluster, directory of known processes |
//! | `options`, `effect`, `readiness`, `sender` | types shared by the other modules |
//!
//! # Processing of inputs
//!
//! `Coordinator::handle_all` (core.rs) handles the inputs that arrived together:
//! the consensus node checks its timers, `update_leadership`
//! (core/leadership.rs) checks the lease, each input is handled, and `advance`
//! does the common work once for all of them. It alternates `propose_collected`
//! (core/leadership.rs) and `process_consensus` (core/replication.rs), and ends
//! with `send_collected`, which sends the leader's messages only if the lease
//! still holds.
//!
//! A submit:
//! 1. `Coordinator::receive_request` (core/requests.rs) checks the lease and
//!    forwards the request to `Leader::receive_request` (leader/requests.rs).
//! 2. `Leader::submit` acknowledges a known job immediately. For a new job it
//!    checks the tenant's rate (leader/submit_admission.rs), adds the request to
//!    the `RequestTable` (leader/request_table.rs) and its command to
//!    `Proposals` (leader/proposals.rs).
//! 3. `propose_collected` proposes the command to the consensus node;
//!    `Leader::record_proposed` (leader/applied_entries.rs) records its index.
//! 4. `Replica::process_ready` (replica.rs) writes the entry and applies it when
//!    a quorum has it; `Leader::handle_applied_entry` (leader/applied_entries.rs)
//!    publishes the tasks to the scheduler and answers the request.
//!
//! A heartbeat:
//! 1. `Coordinator::receive_report` (core/heartbeats.rs) checks the lease, and
//!    `Leader::receive_report` (leader/heartbeats.rs) checks the agent's session.
//! 2. `RunnerRegistry::record_heartbeat` (leader/runner_registry.rs) and the
//!    scheduler record the runner.
//! 3. `Leader::reconcile_runs` (leader/heartbeats.rs) compares the reported runs
//!    with the `RunTracker` (leader/run_tracker.rs): ended and lost runs are
//!    closed through the log, and absent runs are revoked.
//! 4. `Leader::confirm_heartbeat` (leader/heartbeats.rs) answers with the run
//!    lease.
//!
//! An order:
//! 1. `Leader::place` (leader/placement.rs) proposes the scheduler's placements
//!    as one `Reserve` command.
//! 2. When it is applied, `Leader::handle_applied_entry` (leader/applied_entries.rs)
//!    adds the runs to the `RunTracker` and queues their starts.
//! 3. `Leader::send_starts` (leader/orders.rs) builds the start of each run and
//!    adds it to the `Outbox` (leader/outbox.rs), which packs the orders for one
//!    agent into one message.
//! 4. `Leader::receive_order_results` (leader/orders.rs) handles the answer. If
//!    none arrives, `Leader::check_runs` (leader/run_checks.rs) revokes the run.
//!
//! A configuration change:
//! 1. `Leader::put_configuration` or `update_configuration`
//!    (leader/requests.rs) checks the document and proposes it.
//! 2. When it is applied, `Leader::handle_configuration_change`
//!    (leader/applied_entries.rs) configures the scheduler and sends the document
//!    to every gateway and agent with a session.
//! 3. `Leader::receive_keep_alive` (leader/keep_alives.rs) sends it again to a
//!    process whose keep-alive reports an older version.
//!
//! An election:
//! 1. `Replica::tick` and `Replica::step` (replica.rs) drive the consensus node;
//!    `process_consensus` sends its messages.
//! 2. When the lease of the elected process holds, `update_leadership`
//!    (core/leadership.rs) creates a `Leader` (leader.rs) and announces it.
//! 3. `Leader::rebuild_slice` (leader/rebuild.rs) rebuilds the scheduler, and
//!    `Leader::may_place` (leader/placement.rs) delays placement until the
//!    runners have sent heartbeats.
//! 4. `Leader::suspend` and `Leader::resume` (leader.rs) handle an expired lease
//!    that is renewed within the term. When leadership is lost, pending requests
//!    are answered as uncertain and the `Leader` is dropped.

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
