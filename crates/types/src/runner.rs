//! Heartbeats of runners, orders to runners, and the answers to orders.
//!
//! Orders are fenced at the runner. It rejects an order whose term is below the
//! highest that it has seen, whose incarnation is not its own, or (for a start) whose
//! `based_on` heartbeat it sent longer ago than the run lease. Since the leader waits
//! for the lease plus margin after the last heartbeat that it received, no start is
//! accepted after the leader has closed the run as lost.

use crate::{
    ActiveRun, EndedRun, EndpointName, HeartbeatSequence, Labels, Milliseconds, OrderSequence,
    PoolName, RackName, Resources, RunId, RunName, RunSpec, RunnerId, RunnerIncarnation, Term,
    UnnamedRun,
};
use serde::{Deserialize, Serialize};

/// Heartbeat of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// Name of the runner that sent the heartbeat.
    pub runner: RunnerId,
    /// Current incarnation of the runner.
    pub incarnation: RunnerIncarnation,
    /// Sequence number among the heartbeats of this incarnation.
    pub sequence: HeartbeatSequence,
    /// Endpoint of the runner; `None` if unknown. Once another runner reports the same
    /// endpoint, this incarnation has ended, and all its runs with it.
    pub endpoint: Option<EndpointName>,
    /// Pool that the runner belongs to.
    pub pool: PoolName,
    /// Rack of the machine that the runner is on.
    pub rack: RackName,
    /// Labels that steps can require.
    pub labels: Labels,
    /// Total resources of the runner.
    pub capacity: Resources,
    /// Resources that no run holds at the time of the heartbeat.
    pub free: Resources,
    /// Whether the runner is draining by its own report: no new run may start on it.
    pub draining: bool,
    /// Whether the runner stops its runs by itself at the end of the run lease.
    pub self_stop: bool,
    /// All active runs with an identifier. Includes each run that the agent knows to have
    /// started and whose end may be missing from `ended`.
    pub active: Vec<ActiveRun>,
    /// Ended runs that the leader has not yet confirmed as committed.
    pub ended: Vec<EndedRun>,
    /// Active and ended runs for which the agent has no identifier.
    pub unnamed: Vec<UnnamedRun>,
}

/// Order of a leader to one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerOrder {
    /// Term of the leader that sent the order.
    pub term: Term,
    /// Sequence number among the orders of that term to the runner.
    pub sequence: OrderSequence,
    /// Runner that the order is for.
    pub runner: RunnerId,
    /// Incarnation of the runner that the order is for.
    pub incarnation: RunnerIncarnation,
    /// Name of the run, for a restarted agent, which no longer has the identifier.
    /// `None` if the leader has no name for the run.
    pub name: Option<RunName>,
    /// Action that the runner takes.
    pub kind: OrderKind,
}

/// Action of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Starts the run, unless it was started or revoked before or `based_on` is too old.
    Start {
        /// Specification of the run to start.
        run: RunSpec,
        /// Heartbeat with the free resources that the placement is based on.
        based_on: HeartbeatSequence,
        /// Length of the run lease. It begins when the runner sends a heartbeat that is
        /// then confirmed. After its end the runner rejects the start, or stops the run.
        lease: Milliseconds,
    },
    /// Stops the run if it is active.
    Stop {
        /// Identifier of the run to stop.
        run: RunId,
    },
    /// Revokes the run: the runner never starts it after this order, and answers with
    /// its state.
    Revoke {
        /// Identifier of the run to revoke.
        run: RunId,
    },
}

impl OrderKind {
    /// Returns the run that the order refers to.
    pub fn run(&self) -> RunId {
        match self {
            Self::Start { run, .. } => run.run,
            Self::Stop { run } | Self::Revoke { run } => *run,
        }
    }
}

/// Reason for which a runner, or the agent in front of it, rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// The receiver has seen a higher term.
    StaleTerm,
    /// The order is for another incarnation of the runner.
    OtherIncarnation,
    /// The heartbeat in `based_on` is too old or unknown.
    #[serde(rename = "stale_basis")]
    StaleHeartbeat,
    /// The run was started or revoked before.
    KnownRun,
    /// The runner does not have enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The runner is draining.
    Draining,
    /// The runner reports itself as unhealthy and has not executed the order.
    Unhealthy,
}

/// Result of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The run has started.
    Started,
    /// The run is stopping; a heartbeat will report its end.
    Stopping,
    /// The runner has not started the run and never will (answer to a revocation, or
    /// to a stop of an unknown run).
    Revoked,
    /// The run is active and continues until it is stopped (answer to a revocation or a
    /// stop).
    Active,
    /// The run has ended; heartbeats report it in `ended`.
    Ended,
    /// The order was rejected without any effect.
    Rejected(RejectionReason),
    /// The agent received no answer from the runner, so the run may or may not have
    /// started and the leader must revoke it. Only agents give this answer.
    Unknown,
}
