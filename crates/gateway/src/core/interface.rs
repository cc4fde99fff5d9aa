//! What goes into the core and what comes out.

use std::net::SocketAddr;
use transport::{Envelope, Operation, OperationReply, PeerMessage, Rejection};
use types::{Address, Milliseconds};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Time between keep-alives.
    pub session_interval: Milliseconds,
    /// A configuration replica counts for this long after the leader's last word.
    pub replica_valid: Milliseconds,
    /// Requests that may wait for the leader at once.
    pub max_waiting_requests: usize,
    /// A request is sent again (to another leader, or by a follower) after
    /// this long without an answer, while its time lasts. Submits, cancels and
    /// configurations are idempotent, so a second sending is safe.
    pub resend_after: Milliseconds,
    /// Seed of draws.
    pub seed: u64,
}

/// Number of a waiting HTTP request, given by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TicketId(pub u64);

/// Who asks: the bearer token as sent.
#[derive(Clone, PartialEq, Eq)]
pub struct Caller {
    /// `<id>.<secret>`; none when the request had no key.
    pub token: Option<String>,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // A token without a dot may be a bare secret: nothing of it is shown.
        let parts = self
            .token
            .as_deref()
            .and_then(|token| token.rsplit_once('.'));
        let id = parts.map(|(id, _)| id);
        write!(formatter, "Caller({id:?})")
    }
}

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
    /// A caller or operator asks.
    Request {
        /// Number of the waiting HTTP request.
        ticket: TicketId,
        /// Who asks.
        caller: Caller,
        /// How long the caller waits.
        time_left: Milliseconds,
        /// What is asked.
        operation: Operation,
    },
    /// The caller went away: no answer is wanted any more.
    Abandoned {
        /// Number of the request.
        ticket: TicketId,
    },
    /// The process was asked to stop.
    Stop,
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
    /// The one final answer to a request.
    Respond {
        /// Number of the request.
        ticket: TicketId,
        /// The answer.
        result: Result<OperationReply, Rejection>,
    },
    /// Whether this process should count as ready, and why not.
    Ready(Result<(), String>),
    /// Every request is answered; the process may end.
    Stopped,
}
