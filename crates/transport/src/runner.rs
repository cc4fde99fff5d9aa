//! Messages about runners and their runs, between agents and the leader.

use serde::{Deserialize, Serialize};
use types::{
    HeartbeatSequence, Milliseconds, OrderAnswer, RunId, RunName, RunnerId, RunnerIncarnation,
    RunnerOrder, RunnerReport, Term,
};

/// Heartbeats of an agent's runners, from the agent to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentReport {
    /// Newest heartbeat of each runner that sent one since the last report.
    pub reports: Vec<RunnerReport>,
}

/// Reply to the heartbeats of one runner, from the leader to the agent of the
/// runner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerUpdate {
    /// Term of the leader that sent the update.
    pub term: Term,
    /// Runner to which the update applies.
    pub runner: RunnerId,
    /// Incarnation of the runner to which the update applies.
    pub incarnation: RunnerIncarnation,
    /// Newest heartbeat received by the leader. The run lease starts at the time
    /// at which the runner sent this heartbeat.
    pub confirmed: HeartbeatSequence,
    /// Length of the run lease, in milliseconds.
    pub lease: Milliseconds,
    /// Runs whose end is committed. The runner may discard them.
    pub recorded: Vec<RunId>,
    /// Runs to stop: the runner reports them as active, but they are committed as
    /// closed.
    pub stop: Vec<RunId>,
    /// Identifiers of the runs that the agent reported by name, without an
    /// identifier.
    pub names: Vec<NamedRun>,
}

/// Identifier of a run that an agent reported by name, without an identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedRun {
    /// Name of the run as reported by the agent.
    pub name: RunName,
    /// Identifier of the run. `None` if no run with this name is open; the runner
    /// then stops and discards it.
    pub run: Option<RunId>,
}

/// The result of one order, from an agent to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResult {
    /// Order as received from the leader.
    pub order: RunnerOrder,
    /// Answer of the runner, [`OrderAnswer::Unknown`] if none arrived in time.
    pub answer: OrderAnswer,
}
