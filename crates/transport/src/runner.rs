//! Messages about runners and their runs, between agents and the leader.

use serde::{Deserialize, Serialize};
use types::{
    HeartbeatSequence, Milliseconds, OrderAnswer, RunId, RunName, RunnerId, RunnerIncarnation,
    RunnerOrder, RunnerReport, Term,
};

/// Heartbeats of an agent's runners, from the agent to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The newest heartbeat of each runner that has sent one since the last
    /// report.
    pub reports: Vec<RunnerReport>,
}

/// The answer to the heartbeats of one runner, from the leader to its agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// Term of the leader.
    pub term: Term,
    /// Runner that the update is for.
    pub runner: RunnerId,
    /// Incarnation of the runner that the update is for.
    pub incarnation: RunnerIncarnation,
    /// Newest heartbeat that the leader has received. The run lease counts from
    /// the time at which the runner sent it.
    pub confirmed: HeartbeatSequence,
    /// Length of the run lease, in milliseconds.
    pub lease: Milliseconds,
    /// Ended runs that are committed as such. The runner may forget them.
    pub recorded: Vec<RunId>,
    /// Runs that the runner reports as active but that are committed as closed.
    /// The runner must stop them.
    pub stop: Vec<RunId>,
    /// Identifiers of the runs that the agent reported by name only.
    pub names: Vec<NamedRun>,
}

/// The identifier of a run that an agent reported by name only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRun {
    /// Name under which the agent reported the run.
    pub name: RunName,
    /// Identifier of the run. `None` when no such run is open; the runner must
    /// then stop and forget it.
    pub run: Option<RunId>,
}

/// The result of one order, from an agent to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// The order.
    pub order: RunnerOrder,
    /// Answer of the runner, or that none came in time.
    pub answer: OrderAnswer,
}
