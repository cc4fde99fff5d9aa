//! Inputs, effects and options of the core.

use std::net::SocketAddr;
use thiserror::Error;
use transport::{Envelope, NamedRun, PeerMessage};
use types::{
    Address, HeartbeatSequence, Milliseconds, OrderAnswer, RunId, RunnerIncarnation, RunnerOrder,
    RunnerReport, Term,
};

/// Identity, timeouts and seeds of the core.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Identity, zone and socket of this process.
    pub address: Address,
    /// Sockets of daemons of any role, from which the agent discovers the leader. They may
    /// be unreachable, and may include the agent's own socket.
    pub seeds: Vec<SocketAddr>,
    /// Interval between keep-alives, in milliseconds.
    pub session_interval: Milliseconds,
    /// Time after which an unanswered order is reported as unknown, in milliseconds.
    pub order_timeout: Milliseconds,
    /// Minimum time between two inputs that counts as a suspend of the machine, in
    /// milliseconds.
    pub freeze_after: Milliseconds,
    /// Time for which the configuration replica stays valid after the leader confirmed
    /// it, in milliseconds.
    pub replica_valid: Milliseconds,
    /// Seed of the session client's random numbers.
    pub seed: u64,
}

/// A guard of the agent that a test disables, to show that a checker detects its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentMutation {
    /// Delivers orders of any term.
    NoTermFence,
    /// Keeps and accepts orders after a lost session or a suspend of the machine.
    KeepOrdersOverLostSession,
}

/// An event that the shell passes to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// The time returned by [`crate::Agent::next_wakeup`] was reached.
    Tick,
    /// A message from another daemon was received.
    Peer(Envelope),
    /// A heartbeat of a runner was received. Once the input is processed,
    /// [`crate::Agent::heartbeat_answer`] returns the answer.
    Heartbeat(RunnerReport),
    /// A runner answered an order, or its connection failed
    /// ([`OrderAnswer::Unknown`]).
    Answered {
        /// Order that was delivered with [`Effect::Deliver`].
        order: RunnerOrder,
        /// Answer of the runner, or [`OrderAnswer::Unknown`] without a valid one.
        answer: OrderAnswer,
    },
    /// The process received a request to shut down gracefully.
    Stop,
}

/// Reason why an agent is not ready for traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// The agent is shutting down.
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
    /// Sends a message to another daemon. The message may be lost.
    Send {
        /// Socket of the receiver.
        to: SocketAddr,
        /// Message without sender, which the transport adds.
        message: PeerMessage,
    },
    /// Sends an order to its runner at most once. The shell passes the answer back with
    /// [`Input::Answered`].
    Deliver {
        /// Order for a runner of this machine.
        order: RunnerOrder,
    },
    /// Sets the readiness that `/readyz` reports. Emitted only on changes.
    Ready(Result<(), NotReady>),
    /// Ends the process. The session is closed and no order is unanswered.
    Stopped,
}

/// The answer to a runner's heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatAnswer {
    /// Highest term that the agent has seen. The runner rejects orders of lower terms.
    pub term: Term,
    /// Newest heartbeat of the incarnation that the leader confirmed. `None` until it has
    /// confirmed one.
    pub confirmed: Option<HeartbeatSequence>,
    /// Newest incarnation of the runner that the agent has received a heartbeat of.
    pub incarnation: RunnerIncarnation,
    /// Length of the run lease, in milliseconds. It counts from the time at which the
    /// confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Runs whose end is committed. The runner may forget them.
    pub recorded: Vec<RunId>,
    /// Runs that the runner reported as active but that are committed as closed. The
    /// runner must stop them.
    pub stop: Vec<RunId>,
    /// Identifiers of the runs that the agent reported by name only.
    pub names: Vec<NamedRun>,
}
