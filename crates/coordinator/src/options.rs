//! Settings of the core, the rule that says who may bootstrap a cluster, and
//! the faults that the simulation may build in.

use std::net::SocketAddr;
use types::{Address, Milliseconds};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoordinatorOptions {
    /// Identity, role, zone and peer socket of this process.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Initial coordinators of a new cluster, and voters wanted ever after.
    pub initial_coordinators: u32,
    /// Which process may bootstrap a cluster.
    pub bootstrap_rule: BootstrapRule,
    /// A run without progress for this long is stopped and placed again; none
    /// to let stalled runs go on.
    pub stalled_after: Option<Milliseconds>,
    /// Whether runs on a slow runner are moved as well; without effect unless
    /// `stalled_after` is set.
    pub move_slow: bool,
    /// Timings of consensus.
    pub consensus: consensus::Options,
    /// Limits of the scheduler.
    pub scheduler: scheduler::SchedulerOptions,
    /// Length of the sessions of gateways and agents.
    pub session_lease: Milliseconds,
    /// A voter that is unresponsive for this long is replaced by a learner that
    /// has caught up.
    pub replace_voter_after: Milliseconds,
    /// A new leader waits at most this long for the heartbeats of runners.
    pub runner_wait: Milliseconds,
    /// Least number of entries between two snapshots.
    pub snapshot_every: u64,
    /// Requests that may wait for the log at once.
    pub max_waiting_requests: usize,
    /// Entries of the decision log that are kept.
    pub decision_log_capacity: usize,
    /// Seed of elections, draws and identifiers.
    pub seed: u64,
    /// A fault built in on purpose, for the simulation alone: it proves that
    /// the checker finds it. None in every daemon.
    pub mutation: Option<Mutation>,
}

/// Which process may bootstrap a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootstrapRule {
    /// The lowest identity, when exactly the initial coordinators are present.
    #[default]
    Exact,
    /// The process at this socket alone, when at least the initial
    /// coordinators are present; the others join. For fleets that have one
    /// socket in common and do not know their own number.
    At(SocketAddr),
    /// None: a cluster exists or will come back.
    Never,
}

/// Faults that the simulation may build in, to prove that its checker finds
/// them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// An unanswered start is sent again, where a revocation belongs.
    ResendStartInsteadOfRevoke,
    /// An unanswered start is closed as rejected, without a revocation.
    CloseUnansweredStart,
    /// The leader acts without a check of its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged as soon as it is proposed.
    AcknowledgeBeforeCommit,
    /// Runs of an unresponsive runner are closed at a tenth of their lease.
    ExpireRunsEarly,
    /// The scheduler pulls for every runner and scans every list.
    ScanAll,
    /// A guard of the state machine is left out.
    StateMachine(state_machine::mutation::Mutation),
}
