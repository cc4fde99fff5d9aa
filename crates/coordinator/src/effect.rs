//! Inputs that the core takes and effects that it asks the shell to carry out.

use crate::readiness::Readiness;
use std::net::SocketAddr;
use storage::{Batch, Identity};
use transport::{Envelope, PeerMessage};

/// An event that the core handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
    /// A request arrived so long ago that it is rejected rather than answered
    /// late: this process is behind, and would fall further behind.
    Overdue(Envelope),
    /// The write of [`Effect::Persist`] with this number is durable.
    Persisted {
        /// Number of the write, from 1.
        number: u64,
    },
    /// The identity of [`Effect::SaveIdentity`] is durable.
    IdentitySaved,
    /// The process was asked to stop: hand over, then end.
    Stop,
}

/// An action that the shell carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Send a message; it may be lost.
    Send {
        /// The socket it goes to.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
    /// Write and sync, in order of the numbers, then give
    /// [`Input::Persisted`].
    Persist {
        /// Number of the write, from 1.
        number: u64,
        /// The content to write.
        batch: Batch,
    },
    /// Write and sync the identity, then give [`Input::IdentitySaved`].
    SaveIdentity(Identity),
    /// Report whether this process is ready.
    Ready(Readiness),
    /// Log an entry of the decision log.
    Decision(Box<transport::DecisionEntry>),
    /// The polite stop is complete; end the process.
    Stopped,
}
