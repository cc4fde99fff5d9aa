//! Inputs, effects and options of the core.

use std::net::SocketAddr;
use thiserror::Error;
use transport::{Envelope, NamedRun, PeerMessage};
use types::{
    Address, HeartbeatSequence, Milliseconds, OrderAnswer, RunId, RunnerIncarnation, RunnerOrder,
    RunnerReport, Term,
};

/// Options of the core.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Identity, zone and socket of this process.
    pub address: Address,
    /// Sockets of other daemons of any role. They may be unreachable, and may include the
    /// own one.
    pub seeds: Vec<SocketAddr>,
    /// Interval between keep-alives, in milliseconds.
    pub session_interval: Milliseconds,
    /// Time after which the result of an unanswered order is unknown, in milliseconds.
    pub order_timeout: Milliseconds,
    /// Minimum time between two inputs that counts as a suspend of the machine, in
    /// milliseconds.
    pub freeze_after: Milliseconds,
    /// Time for which the configuration replica stays valid after the leader confirmed
    /// it, in milliseconds.
    pub replica_valid: Milliseconds,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// A guard of the agent that a test disables, to prove that checkers detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentMutation {
    /// Deliver orders of any term.
    NoTermFence,
    /// Keep and accept orders after a lost session or a suspend of the machine.
    KeepOrdersOverLostSession,
}

/// An event that the shell passes to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// The wakeup time has come.
    Tick,
    /// A message of another daemon was received.
    Peer(Envelope),
    /// A heartbeat of a runner was received. [`crate::Agent::heartbeat_answer`] returns
    /// the answer right after.
    Heartbeat(RunnerReport),
    /// A runner answered an order, or its connection failed
    /// ([`OrderAnswer::Unknown`]).
    Answered {
        /// The order.
        order: RunnerOrder,
        /// The answer.
        answer: OrderAnswer,
    },
    /// The process was asked to stop.
    Stop,
}

/// Reason why an agent should get no traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// The agent was asked to stop.
    #[error("stopping")]
    Stopping,
    /// No session with the leader is open.
    #[error("no session with the leader")]
    NoSession,
    /// The configuration replica is missing or no longer valid.
    #[error("the configuration replica is too old")]
    StaleConfiguration,
}

/// An action that the core requires of the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Give the order to its runner once, never again, and come back with
    /// [`Input::Answered`].
    Deliver {
        /// The order.
        order: RunnerOrder,
    },
    /// Report whether the agent should get traffic. Emitted on changes only.
    Ready(Result<(), NotReady>),
    /// End the process.
    Stopped,
}

/// The answer to a runner's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatAnswer {
    /// Highest term that the agent has seen. The runner rejects lower ones.
    pub term: Term,
    /// Newest heartbeat of the incarnation that the leader confirmed.
    pub confirmed: Option<HeartbeatSequence>,
    /// Incarnation of the runner.
    pub incarnation: RunnerIncarnation,
    /// Length of the run lease, in milliseconds. It counts from the time at which the
    /// confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Ended runs that are committed as such.
    pub recorded: Vec<RunId>,
    /// Active runs that are committed as closed. The runner must stop them.
    pub stop: Vec<RunId>,
    /// Identifiers of the runs that were reported by name only.
    pub names: Vec<NamedRun>,
}
