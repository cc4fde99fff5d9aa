//! Inputs that the core handles and effects that the shell carries out.

use crate::readiness::Readiness;
use std::net::SocketAddr;
use storage::{Batch, Identity};
use transport::{Envelope, PeerMessage};

/// An event that the core handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed: the core checks its timers.
    Tick,
    /// A message of another process arrived.
    Peer(Envelope),
    /// A request has waited too long in the queue of this process. It is
    /// rejected, since a late answer would delay the following requests further.
    Overdue(Envelope),
    /// The write of [`Effect::Persist`] with this number is durable.
    Persisted {
        /// Number of the write, from 1.
        number: u64,
    },
    /// The identity of [`Effect::SaveIdentity`] is durable.
    IdentitySaved,
    /// The process was asked to stop: it transfers leadership, then ends.
    Stop,
}

/// An action that the shell carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// Peer socket of the receiver, or of the relay to it.
        to: SocketAddr,
        /// Message to send, wrapped if it goes through a relay.
        message: PeerMessage,
    },
    /// Write and sync the batch, in the order of the numbers, then report
    /// [`Input::Persisted`].
    Persist {
        /// Number of the write, from 1.
        number: u64,
        /// Log entries, hard state and snapshot to write.
        batch: Batch,
    },
    /// Write and sync the identity, then report [`Input::IdentitySaved`].
    SaveIdentity(Identity),
    /// Report whether this process is ready.
    Ready(Readiness),
    /// Log an entry of the decision log.
    Decision(Box<transport::DecisionEntry>),
    /// End the process: the requested stop is complete.
    Stopped,
}
