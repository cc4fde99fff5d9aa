//! What goes into the core and what comes out.

use std::net::SocketAddr;
use thiserror::Error;
use transport::{Envelope, NamedRun, PeerMessage};
use types::{
    Address, HeartbeatSequence, Milliseconds, OrderAnswer, RunId, RunnerIncarnation, RunnerOrder,
    RunnerReport, Term,
};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Time between keep-alives.
    pub session_interval: Milliseconds,
    /// An order without an answer for this long is unknown.
    pub order_timeout: Milliseconds,
    /// A jump of the clock between two inputs that counts as a freeze.
    pub freeze_after: Milliseconds,
    /// A configuration replica counts for this long after the leader's last word.
    pub replica_valid: Milliseconds,
    /// Seed of draws.
    pub seed: u64,
}

/// A guard of the agent left out, to prove that a checker notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentMutation {
    /// Orders of any term are delivered.
    NoTermFence,
    /// Orders are kept, and taken, over a lost session or a freeze.
    KeepOrdersOverLostSession,
}

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
    /// A runner's heartbeat arrived. The answer is [`crate::Agent::heartbeat_answer`],
    /// asked for right after.
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

/// What the shell must do.
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
    /// The process may end.
    Stopped,
}

/// What a runner is told in answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HeartbeatAnswer {
    /// Highest term seen; the runner rejects lower ones.
    pub term: Term,
    /// Newest heartbeat of this incarnation the leader confirmed.
    pub confirmed: Option<HeartbeatSequence>,
    /// The incarnation the confirmation is for.
    pub incarnation: RunnerIncarnation,
    /// Run lease, counted from when the confirmed heartbeat was sent.
    pub lease: Milliseconds,
    /// Ended runs the record has.
    pub recorded: Vec<RunId>,
    /// Active runs the record closed: stop them.
    pub stop: Vec<RunId>,
    /// Answers to the runs that could not be named.
    pub names: Vec<NamedRun>,
}
