//! Inputs that the core takes and effects that it asks the shell to carry out.

use crate::readiness::Readiness;
use std::net::SocketAddr;
use storage::{Batch, Identity};
use transport::{Envelope, PeerMessage};

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
    /// A request arrived so long ago that it is rejected rather than answered
    /// late: this process is behind, and would be further behind for it.
    Overdue(Envelope),
    /// [`Effect::Persist`] of this number is synced.
    Persisted {
        /// Its number.
        number: u64,
    },
    /// [`Effect::SaveIdentity`] is synced.
    IdentitySaved,
    /// The process was asked to stop: hand over, then end.
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
    /// Write and sync, in order of the numbers, then give
    /// [`Input::Persisted`].
    Persist {
        /// Its number.
        number: u64,
        /// What to write.
        batch: Batch,
    },
    /// Write and sync the identity, then give [`Input::IdentitySaved`].
    SaveIdentity(Identity),
    /// Report whether this process is ready.
    Ready(Readiness),
    /// A line of the decision log.
    Decision(Box<transport::DecisionEntry>),
    /// All is handed over; the process may end.
    Stopped,
}
