//! Settings of the core, the rule that says who may bootstrap a cluster, and
//! the faults that the simulation may build in.

use std::net::SocketAddr;
use types::{Address, Milliseconds};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoordinatorOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Initial coordinators of a new cluster, and voters wanted ever after.
    pub initial_coordinators: u32,
    /// Who may found a cluster.
    pub bootstrap_rule: BootstrapRule,
    /// A run whose progress stands still for this long is stopped and placed
    /// again; none where it is left alone.
    pub stalled_after: Option<Milliseconds>,
    /// Runs on a slow runner are moved as well; only where the former is set.
    pub move_slow: bool,
    /// Timings of consensus.
    pub consensus: consensus::Options,
    /// Limits of the scheduler.
    pub scheduler: scheduler::SchedulerOptions,
    /// Length of the sessions of gateways and agents.
    pub session_lease: Milliseconds,
    /// A voter silent for this long is replaced by a learner that is ready.
    pub replace_voter_after: Milliseconds,
    /// A fresh leader waits at most this long for runners' lists.
    pub runner_wait: Milliseconds,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// Requests that may wait for the log at once.
    pub max_waiting_requests: usize,
    /// Lines of the decision log kept.
    pub decision_log_capacity: usize,
    /// Seed of elections, draws and identifiers.
    pub seed: u64,
    /// A fault built in on purpose, for the simulation alone: it proves that
    /// the checker finds what it should. None in every daemon.
    pub mutation: Option<Mutation>,
}

/// Who may found a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootstrapRule {
    /// The lowest identity, when exactly the initial coordinators are there.
    #[default]
    Exact,
    /// The process at this socket alone, when at least the initial
    /// coordinators are there; the others join. For fleets that know one
    /// socket in common and not their own number.
    At(SocketAddr),
    /// Nobody: a cluster is there or will come back.
    Never,
}

/// Faults that the simulation may build in, to prove that they are found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// An unanswered start is sent again, where a revocation belongs.
    ResendStartInsteadOfRevoke,
    /// An unanswered start is closed as rejected, without a revocation.
    CloseUnansweredStart,
    /// The leader acts without looking at its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged as soon as it is proposed.
    AcknowledgeBeforeCommit,
    /// Runs of a silent runner are closed at a tenth of their lease.
    ExpireRunsEarly,
    /// The scheduler pulls for every runner and looks into every list.
    ScanAll,
    /// A guard of the record left out.
    StateMachine(state_machine::mutation::Mutation),
}
