//! Inputs, effects and options of the core.

use std::net::SocketAddr;
use thiserror::Error;
use transport::{Envelope, Operation, OperationReply, PeerMessage, Rejection};
use types::{Address, Milliseconds};

/// Options of the core.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Identity, zone and socket of this process.
    pub address: Address,
    /// Sockets of other daemons of any role. They may be unreachable, and may include
    /// the own one.
    pub seeds: Vec<SocketAddr>,
    /// Interval between keep-alives, in milliseconds.
    pub session_interval: Milliseconds,
    /// Time for which the configuration replica stays valid after the leader
    /// confirmed it, in milliseconds.
    pub replica_valid: Milliseconds,
    /// Maximum number of pending requests.
    pub max_waiting_requests: usize,
    /// Time after which an unanswered request is sent again, in milliseconds. All
    /// operations are idempotent, so a retry is safe.
    pub resend_after: Milliseconds,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Number that the shell gives to an HTTP request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// The sender of a request, by its bearer token.
#[derive(Clone, PartialEq, Eq)]
pub struct Caller {
    /// Token in the form `<id>.<secret>`. `None` if the request has none.
    pub token: Option<String>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // A token without a dot may be a bare secret, so nothing of it is printed.
        let parts = self
            .token
            .as_deref()
            .and_then(|token| token.rsplit_once('.'));
        let id = parts.map(|(id, _)| id);
        write!(formatter, "Caller({id:?})")
    }
}

/// An event that the shell passes to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// The wakeup time has come.
    Tick,
    /// A message of another daemon was received.
    Peer(Envelope),
    /// A request of a caller or operator was received.
    Request {
        /// Number of the HTTP request.
        ticket: TicketId,
        /// Sender of the request.
        caller: Caller,
        /// Time until the caller gives up, in milliseconds.
        time_left: Milliseconds,
        /// Operation that is requested.
        operation: Operation,
    },
    /// The caller closed its connection and needs no answer any more.
    Abandoned {
        /// Number of the request.
        ticket: TicketId,
    },
    /// The process was asked to stop.
    Stop,
}

/// Reason why a gateway should get no traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// The gateway was asked to stop.
    #[error("stopping")]
    Stopping,
    /// The configuration replica is missing or no longer valid.
    #[error("no configuration confirmed by a leader lately")]
    NoConfiguration,
    /// No session with a leader is open.
    #[error("no session with a leader")]
    NoSession,
}

/// An action that the core requires of the shell.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message, which may be lost.
    Send {
        /// Socket of the receiver.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Answer a request. Emitted once for each request that is not abandoned.
    Respond {
        /// Number of the request.
        ticket: TicketId,
        /// The answer.
        result: Result<OperationReply, Rejection>,
    },
    /// Report whether the gateway should get traffic. Emitted on changes only.
    Ready(Result<(), NotReady>),
    /// End the process: all requests are answered.
    Stopped,
}
