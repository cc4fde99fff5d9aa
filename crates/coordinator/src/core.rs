//! The coordinator's core.

use consensus::Recovered;
use peer::{Envelope, PeerMessage};
use std::net::SocketAddr;
use storage::{Batch, Identity};
use types::{Address, Milliseconds, Now};

/// Settings of the core.
#[derive(Debug, Clone)]
pub struct CoordinatorOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Initial coordinators of a new cluster.
    pub initial_coordinators: u32,
    /// Timings of consensus.
    pub consensus: consensus::Options,
    /// Limits of the dispatcher.
    pub dispatcher: dispatch::DispatcherOptions,
    /// Length of the sessions of gateways and agents.
    pub session_lease: Milliseconds,
    /// A voter silent for this long is replaced by a learner that is ready.
    pub replace_voter_after: Milliseconds,
    /// A fresh leader waits at most this long for runners' lists.
    pub runner_wait: Milliseconds,
    /// Entries between two snapshots.
    pub snapshot_every: u64,
    /// Requests that may wait for the log at once.
    pub max_waiting_requests: usize,
    /// Lines of the decision log kept.
    pub decisions_kept: usize,
    /// Seed of elections, draws and identifiers.
    pub seed: u64,
}

/// What happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time passed.
    Tick,
    /// A message arrived.
    Peer(Envelope),
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
    /// Whether this process should count as ready, and why not.
    Ready(Result<(), String>),
    /// A line of the decision log.
    Decision(Box<peer::DecisionEntry>),
    /// All is handed over; the process may end.
    Stopped,
}

/// A coordinator.
pub struct Coordinator {
    _options: CoordinatorOptions,
}

impl Coordinator {
    /// A coordinator from what its disk held. With no identity it makes a new
    /// one from `options.address.node`.
    pub fn new(
        options: CoordinatorOptions,
        identity: Option<Identity>,
        recovered: Recovered,
        now: Now,
    ) -> Self {
        let _ = (identity, recovered, now);
        Self { _options: options }
    }

    /// Takes one input and appends what is to be done. The caller reads the
    /// clock just before; after a freeze the core sees the jump first.
    pub fn handle(&mut self, now: Now, input: Input, effects: &mut Vec<Effect>) {
        let _ = (now, input, effects);
        todo!()
    }

    /// When it wants [`Input::Tick`] next, on the monotonic clock.
    pub fn next_wakeup(&self) -> types::Monotonic {
        todo!()
    }
}
