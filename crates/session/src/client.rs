//! The session client, without I/O.

use configuration::ClusterConfiguration;
use peer::{Envelope, PeerMessage};
use std::net::SocketAddr;
use types::{Address, ConfigurationVersion, Milliseconds, Monotonic, Now, RunnerId, Term};

/// Settings of a session client.
#[derive(Debug, Clone)]
pub struct SessionOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Time between hellos.
    pub interval: Milliseconds,
    /// The replica counts for this long after the leader's last word.
    pub replica_valid: Milliseconds,
    /// Seed of draws among seeds and followers.
    pub seed: u64,
}

/// What a role's core learns from its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// A session under this leader began, after having none, under another
    /// term or after a freeze.
    Opened {
        /// The leader's term.
        term: Term,
    },
    /// The lease ran out.
    Lost,
    /// A newer configuration is in the replica.
    Configuration(ConfigurationVersion),
}

/// The session client.
#[derive(Debug)]
pub struct SessionClient {
    _options: SessionOptions,
}

impl SessionClient {
    /// A client that knows its seeds only.
    pub fn new(options: SessionOptions, now: Now) -> Self {
        let _ = now;
        Self { _options: options }
    }

    /// Sends hellos and discovery, ends leases that ran out. `out` receives
    /// messages to send.
    pub fn tick(
        &mut self,
        now: Now,
        runners: &[RunnerId],
        out: &mut Vec<(SocketAddr, PeerMessage)>,
    ) -> Vec<SessionEvent> {
        let _ = (now, runners, out);
        todo!()
    }

    /// Takes a message if it belongs to the session (discovery, members,
    /// lease, not-leader, configuration, relays to others); gives it back
    /// otherwise, relays to this process opened.
    pub fn handle(
        &mut self,
        now: Now,
        envelope: Envelope,
        out: &mut Vec<(SocketAddr, PeerMessage)>,
    ) -> (Vec<SessionEvent>, Option<Envelope>) {
        let _ = (now, envelope, out);
        todo!()
    }

    /// Says goodbye to the leader.
    pub fn leave(&mut self, now: Now, out: &mut Vec<(SocketAddr, PeerMessage)>) {
        let _ = (now, out);
        todo!()
    }

    /// Addresses a message to the leader, directly or (when its direct answers
    /// have stopped) through a follower. None when no leader is known.
    pub fn to_leader(&self, now: Now, message: PeerMessage) -> Option<(SocketAddr, PeerMessage)> {
        let _ = (now, message);
        todo!()
    }

    /// Term of the session; none when it has no valid lease.
    pub fn term(&self, now: Now) -> Option<Term> {
        let _ = now;
        todo!()
    }

    /// The replica, while the leader's last word is fresh enough.
    pub fn configuration(&self, now: Now) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        let _ = now;
        todo!()
    }

    /// When it wants [`SessionClient::tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        todo!()
    }
}
