//! Settings of the core, the rule for the bootstrap of a cluster, and the faults
//! that the simulation injects into the code.

use std::net::SocketAddr;
use types::{Address, Milliseconds};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoordinatorOptions {
    /// Identity, role, zone and peer socket of this process.
    pub address: Address,
    /// Peer sockets of other processes of any role. Some may be unreachable, and
    /// the own socket may be included.
    pub seeds: Vec<SocketAddr>,
    /// Number of coordinators that bootstrap a new cluster, and number of voters
    /// that membership changes restore afterwards.
    pub initial_coordinators: u32,
    /// Rule that decides which process may bootstrap a cluster.
    pub bootstrap_rule: BootstrapRule,
    /// Time without progress after which a run is stopped and placed again.
    /// `None` lets stalled runs continue.
    pub stalled_after: Option<Milliseconds>,
    /// Whether runs on a slow runner are moved as well. Has no effect if
    /// `stalled_after` is `None`.
    pub move_slow: bool,
    /// Timings of the consensus node.
    pub consensus: consensus::Options,
    /// Limits of the scheduler.
    pub scheduler: scheduler::SchedulerOptions,
    /// Time after its last message at which the session of a gateway or agent
    /// expires.
    pub session_lease: Milliseconds,
    /// Time without contact after which a voter is replaced by a learner that
    /// has caught up.
    pub replace_voter_after: Milliseconds,
    /// Maximum time that a new leader waits for the heartbeats of runners before
    /// it places tasks.
    pub runner_wait: Milliseconds,
    /// Minimum number of log entries between two snapshots.
    pub snapshot_every: u64,
    /// Maximum number of requests that wait for their log entries. Further
    /// requests are rejected as overloaded.
    pub max_waiting_requests: usize,
    /// Maximum number of entries that the decision log keeps.
    pub decision_log_capacity: usize,
    /// Seed of the random numbers for election timeouts, scheduling and
    /// identifiers.
    pub seed: u64,
    /// Fault injected by the simulation to prove that its checker detects it.
    /// Always `None` in a daemon.
    pub mutation: Option<Mutation>,
}

/// Rule that decides which process may bootstrap a cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum BootstrapRule {
    /// The process with the lowest identity, if exactly the initial coordinators
    /// are present.
    #[default]
    Exact,
    /// The process at this socket, if at least the initial coordinators are
    /// present; the others join. For deployments whose processes know one common
    /// socket but not the number of coordinators. The process keeps the right on
    /// its disk until it belongs to a cluster.
    At(SocketAddr),
    /// No process, unless this one has kept the right of [`BootstrapRule::At`] on
    /// its disk: the cluster exists, even if it is unavailable at present.
    Never,
}

/// Fault that the simulation injects into the code to prove that its checker
/// detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// An unanswered start is sent again instead of being revoked.
    ResendStartInsteadOfRevoke,
    /// An unanswered start is closed as rejected, without a revocation.
    CloseUnansweredStart,
    /// The leader acts without checking its lease.
    SkipLeaseCheck,
    /// A submit is acknowledged as soon as it is proposed.
    AcknowledgeBeforeCommit,
    /// Runs of an unresponsive runner are closed after a tenth of the run lease.
    ExpireRunsEarly,
    /// The scheduler examines every list and runner, even if its bounds show that
    /// nothing fits.
    ScanAll,
    /// The state machine skips one of its checks.
    StateMachine(state_machine::mutation::Mutation),
}
