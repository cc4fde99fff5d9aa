//! Inputs, effects and options of the core.

use std::net::SocketAddr;
use thiserror::Error;
use transport::{Envelope, Operation, OperationReply, PeerMessage, Rejection};
use types::{Address, Milliseconds};

/// Options of the core.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Identity, role, zone and socket of this process.
    pub address: Address,
    /// Sockets of daemons of any role, from which the gateway learns the coordinators.
    /// Some may be unreachable, and the socket of this process may be among them.
    pub seeds: Vec<SocketAddr>,
    /// Interval between keep-alives, in milliseconds.
    pub session_interval: Milliseconds,
    /// Time for which the configuration replica stays valid after the leader
    /// confirmed it, in milliseconds.
    pub replica_valid: Milliseconds,
    /// Maximum number of pending requests, of all tenants and operators together.
    pub max_waiting_requests: usize,
    /// Time after which an unanswered request is sent again for the first time, in
    /// milliseconds. A retry is safe because all operations are idempotent.
    pub resend_after: Milliseconds,
    /// Seed of the random numbers of the core and its session.
    pub seed: u64,
}

/// Number that the shell assigns to a request of a caller or operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Sender of a request, identified by a bearer token.
#[derive(Clone, PartialEq, Eq)]
pub struct Caller {
    /// Token in the form `<id>.<secret>`. `None` if the request has none.
    pub token: Option<String>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // A token without a dot may be a bare secret, so no part of it is printed.
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
    /// Time has passed. Due by [`crate::Gateway::next_wakeup`] at the latest.
    Tick,
    /// A message of another daemon was received.
    Peer(Envelope),
    /// A request of a caller or operator was received.
    Request {
        /// Number of the request.
        ticket: TicketId,
        /// Sender of the request.
        caller: Caller,
        /// Time until the caller's deadline, in milliseconds.
        time_left: Milliseconds,
        /// Requested operation.
        operation: Operation,
    },
    /// The caller closed its connection, so the request needs no answer.
    Abandoned {
        /// Number of the request.
        ticket: TicketId,
    },
    /// The process received the stop signal and shuts down gracefully.
    Stop,
}

/// Reason why a gateway should receive no traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NotReady {
    /// The gateway is shutting down.
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
        /// Message of the session protocol, or forwarded request.
        message: PeerMessage,
    },
    /// Answer a request. Emitted exactly once for each request that is not abandoned.
    Respond {
        /// Number of the request.
        ticket: TicketId,
        /// Final answer: the reply to the operation, or a rejection.
        result: Result<OperationReply, Rejection>,
    },
    /// Report whether the gateway should receive traffic. Emitted only on changes.
    Ready(Result<(), NotReady>),
    /// End the process, since all requests are answered.
    Stopped,
}
