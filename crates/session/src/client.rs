//! Session client, which composes the components of this crate.

mod keep_alives;
mod messages;

use crate::directory::Directory;
use crate::keep_alive::{KeepAliveLog, Path};
use crate::leader::LeaderContact;
use crate::lease::LeaseState;
use crate::replica::Replica;
use crate::route::{self, Outbox, RelayDecision};
use crate::schedule::RoundSchedule;
use configuration::ClusterConfiguration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage};
use types::{
    Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, Now, RunnerId, Term,
};

/// Number of low bits that are zero in the sequence number of a process's first
/// keep-alive; the bits above them are random.
const SEQUENCE_BITS: u32 = 16;

/// Settings of a session client.
#[derive(Debug, Clone)]
pub struct SessionOptions {
    /// Node, role, zone and peer socket of this process.
    pub address: Address,
    /// Peer sockets at which members are discovered, of processes of any role.
    /// They need not all be reachable, and may include this process.
    pub seeds: Vec<SocketAddr>,
    /// Time between rounds of keep-alives while there is a lease, without jitter.
    pub interval: Milliseconds,
    /// Time for which the replica is valid after the leader last confirmed it.
    pub replica_valid: Milliseconds,
    /// Seed of the random generator for jitter, discovery and the sequence number
    /// of the first keep-alive.
    pub seed: u64,
}

/// Change of the session, reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// A session was opened: the first one, or a new one after an expired lease,
    /// a change of the leader's term, or a call of [`SessionClient::rejoin`].
    Opened {
        /// Term of the leader that granted the lease.
        term: Term,
    },
    /// The lease expired.
    Lost,
    /// The replica received a newer configuration, of this version.
    Configuration(ConfigurationVersion),
}

/// State machine of one process's session with the leader.
#[derive(Debug)]
pub struct SessionClient {
    options: SessionOptions,
    directory: Directory,
    keep_alives: KeepAliveLog,
    leader: Option<LeaderContact>,
    lease: LeaseState,
    highest_term: Term,
    cluster: Option<ClusterId>,
    replica: Replica,
    runners: Vec<RunnerId>,
    schedule: RoundSchedule,
    random: ChaCha8Rng,
}

impl SessionClient {
    /// Creates a client without a session, whose first round is due at `now`.
    pub fn new(options: SessionOptions, now: Now) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed ^ options.address.node.0);
        // The first number is random, so that a lease for an earlier process at
        // the same address matches no keep-alive of this one.
        let first_sequence = u64::from(random.random::<u32>()) << SEQUENCE_BITS;
        Self {
            directory: Directory::new(options.address.clone()),
            keep_alives: KeepAliveLog::new(first_sequence),
            leader: None,
            lease: LeaseState::default(),
            highest_term: Term::default(),
            cluster: None,
            replica: Replica::new(options.replica_valid),
            runners: Vec::new(),
            schedule: RoundSchedule::new(options.interval, now.monotonic),
            random,
            options,
        }
    }

    /// Expires the lease if its time is over, and adds the keep-alives and
    /// discoveries that are due to `out`. `runners` are the runners that the
    /// next keep-alives report.
    pub fn tick(&mut self, now: Now, runners: &[RunnerId], out: &mut Outbox) -> Vec<SessionEvent> {
        if self.runners != runners {
            self.runners = runners.to_vec();
        }
        let events = self.expire_lease(now.monotonic);
        self.send_round_if_due(now.monotonic, out);
        events
    }

    /// Handles a message of the session: discovery, members, lease, not-leader,
    /// configuration, or a relay to another process. Returns any other message
    /// to the caller, without its relay if it arrived through one.
    ///
    /// If the lease has expired since the last call, for example while the
    /// process was frozen, it is reported as lost before the message is handled.
    pub fn handle(
        &mut self,
        now: Now,
        envelope: Envelope,
        out: &mut Outbox,
    ) -> (Vec<SessionEvent>, Option<Envelope>) {
        let mut events = self.expire_lease(now.monotonic);
        if !events.is_empty() {
            self.send_round_if_due(now.monotonic, out);
        }
        let envelope = match route::unwrap_relay(&self.options.address, envelope) {
            RelayDecision::Own(envelope) => envelope,
            RelayDecision::Forward(to, message) => {
                out.push((to, message));
                return (events, None);
            }
            RelayDecision::Dropped => return (events, None),
        };
        self.directory.add(&envelope.from);
        let other = self.handle_own(now.monotonic, envelope, out, &mut events);
        (events, other)
    }

    /// Drops the lease and requests a new one, for example after a freeze that was
    /// shorter than the lease. Replies to earlier keep-alives are ignored.
    pub fn rejoin(&mut self, now: Now, out: &mut Outbox) {
        self.lease.clear();
        self.keep_alives.clear();
        self.schedule.expedite(now.monotonic);
        self.send_round_if_due(now.monotonic, out);
    }

    /// Sends a last keep-alive that ends the session at the leader.
    pub fn leave(&mut self, now: Now, out: &mut Outbox) {
        let sequence = self.keep_alives.record(now.monotonic, Path::Direct);
        let keep_alive = self.keep_alive(sequence, true);
        out.extend(self.to_leader(now, keep_alive));
    }

    /// Addresses a message to the leader: directly, or through a follower if the
    /// direct path is unresponsive. Returns `None` if no leader is known.
    pub fn to_leader(&self, now: Now, message: PeerMessage) -> Option<(SocketAddr, PeerMessage)> {
        let leader = self.leader.as_ref()?;
        let socket = leader.address().socket;
        match leader.relay(now.monotonic) {
            Some(follower) => Some(route::through(
                &self.options.address,
                follower,
                socket,
                message,
            )),
            None => Some((socket, message)),
        }
    }

    /// Returns the term of the session, or `None` without a valid lease.
    pub fn term(&self, now: Now) -> Option<Term> {
        self.lease.term(now.monotonic)
    }

    /// Returns the highest term of a leader that granted this process a lease.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Returns the replica's version and document, or `None` if the leader has not
    /// confirmed it recently.
    pub fn configuration(&self, now: Now) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        self.replica.valid(now.monotonic)
    }

    /// Returns the time at which the caller must call [`SessionClient::tick`]
    /// next.
    pub fn next_wakeup(&self) -> Monotonic {
        let next_round = self.schedule.next_round();
        match self.lease.expires_at() {
            Some(expires_at) => next_round.min(expires_at),
            None => next_round,
        }
    }

    /// Removes the lease and reports it as lost if it has expired. A new round is
    /// then due at once.
    fn expire_lease(&mut self, now: Monotonic) -> Vec<SessionEvent> {
        if !self.lease.expire(now) {
            return Vec::new();
        }
        self.schedule.expedite(now);
        vec![SessionEvent::Lost]
    }
}
