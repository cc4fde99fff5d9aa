//! What a runner reports and which orders it takes.
//!
//! Fencing at the runner. It rejects an order whose term is below the highest
//! it has seen, whose incarnation is not its own, or (for a start) whose
//! `based_on` heartbeat it sent longer ago than the run lease. Since the leader
//! waits lease plus margin after the last heartbeat it received, no start can
//! land after the leader has given the run up.

use crate::{
    ActiveRun, EndedRun, EndpointName, HeartbeatSequence, Labels, Milliseconds, OrderSequence,
    PoolName, RackName, Resources, RunId, RunName, RunSpec, RunnerId, RunnerIncarnation, Term,
    UnnamedRun,
};
use serde::{Deserialize, Serialize};

/// One heartbeat of a runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerReport {
    /// The runner.
    pub runner: RunnerId,
    /// Its current incarnation.
    pub incarnation: RunnerIncarnation,
    /// Place among the heartbeats of this incarnation.
    pub sequence: HeartbeatSequence,
    /// Its endpoint, if that is known: when another runner answers there,
    /// this one's incarnation is over and nothing of it goes on.
    pub endpoint: Option<EndpointName>,
    /// Pool it serves.
    pub pool: PoolName,
    /// Its rack.
    pub rack: RackName,
    /// Its labels.
    pub labels: Labels,
    /// All it has.
    pub capacity: Resources,
    /// What is free now.
    pub free: Resources,
    /// Whether it is about to leave: nothing new may start on it.
    pub draining: bool,
    /// Whether it stops its own runs at lease end.
    pub self_stop: bool,
    /// Every run it holds.
    pub active: Vec<ActiveRun>,
    /// Ended runs the record has not confirmed yet.
    pub ended: Vec<EndedRun>,
    /// Runs held or ended whose identifiers the agent does not know.
    pub unnamed: Vec<UnnamedRun>,
}

/// An order to one runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerOrder {
    /// Term of the leader that gave it.
    pub term: Term,
    /// Place among that term's orders.
    pub sequence: OrderSequence,
    /// The runner it is for.
    pub runner: RunnerId,
    /// The incarnation of the runner it is for.
    pub incarnation: RunnerIncarnation,
    /// The run as callers and runners name it: an agent that was started anew
    /// does not know its identifier.
    pub name: Option<RunName>,
    /// What to do.
    pub kind: OrderKind,
}

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Start this run, unless it is known, revoked or the basis is too old.
    Start {
        /// The run.
        run: RunSpec,
        /// The heartbeat whose free resources led to this order.
        based_on: HeartbeatSequence,
        /// Run lease: the start is rejected, and the run stopped, this long
        /// after the runner sent the heartbeat that was last confirmed.
        lease: Milliseconds,
    },
    /// Stop this run if it is held.
    Stop {
        /// The run.
        run: RunId,
    },
    /// Never start this run from now on; answer with its state.
    Revoke {
        /// The run.
        run: RunId,
    },
}

impl OrderKind {
    /// The run this order is about.
    pub fn run(&self) -> RunId {
        match self {
            Self::Start { run, .. } => run.run,
            Self::Stop { run } | Self::Revoke { run } => *run,
        }
    }
}

/// Why a runner, or the agent before it, rejected an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// A higher term has been seen.
    StaleTerm,
    /// The order is for another incarnation of the runner.
    OtherIncarnation,
    /// The basis heartbeat is too old or unknown.
    #[serde(rename = "stale_basis")]
    StaleHeartbeat,
    /// The run was revoked before, or has already been started or ended.
    KnownRun,
    /// The runner has not enough free capacity.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// The runner is draining.
    Draining,
    /// The runner says that it is not well; it has done nothing.
    Unhealthy,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAnswer {
    /// The run is going.
    Started,
    /// The run is stopping, its end will be reported.
    Stopping,
    /// The run was never started here and never will be (answer to a revocation, or
    /// to a stop of an unknown run).
    Revoked,
    /// Answer to a revocation or stop: the run is held, and goes on until stopped.
    Active,
    /// The run has ended; its entry is in the ended list.
    Ended,
    /// Nothing was done, for this reason.
    Rejected(RejectionReason),
    /// No answer came: the run may or may not have started. Never from the
    /// runner itself; the agent says it, and the leader must revoke the run.
    Unknown,
}
