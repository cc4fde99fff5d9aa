//! The session client, which composes the components of this crate.

mod keep_alives;
mod messages;

use crate::directory::Directory;
use crate::keep_alive::{KeepAliveLog, Path};
use crate::leader::LeaderContact;
use crate::lease::LeaseState;
use crate::replica::Replica;
use crate::route::{self, Opened, Outbox};
use crate::schedule::RoundSchedule;
use configuration::ClusterConfiguration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage};
use types::{
    Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, Now, RunnerId, Term,
};

/// Bits of a keep-alive's number below the random part of the first one.
const SEQUENCE_BITS: u32 = 16;

/// Settings of a session client.
#[derive(Debug, Clone)]
pub struct SessionOptions {
    /// Identity, role and address of this process.
    pub address: Address,
    /// Peer addresses of other processes of any role. They need not be alive, and
    /// may include the process itself.
    pub seeds: Vec<SocketAddr>,
    /// Time between keep-alives.
    pub interval: Milliseconds,
    /// How long the replica is valid after the leader last confirmed it.
    pub replica_valid: Milliseconds,
    /// Seed of the random generator for jitter, discovery and the first
    /// keep-alive's number.
    pub seed: u64,
}

/// A change of the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionEvent {
    /// A session began: the first one, or one after a lost lease, under a leader
    /// of another term, or after a freeze.
    Opened {
        /// The leader's term.
        term: Term,
    },
    /// The lease expired.
    Lost,
    /// The replica has a newer configuration.
    Configuration(ConfigurationVersion),
}

/// The session client.
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
    /// A client that knows only its seeds.
    pub fn new(options: SessionOptions, now: Now) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed ^ options.address.node.0);
        // Random, so that a lease for an earlier process at the same address
        // matches no keep-alive of this one.
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

    /// Expires the lease, and sends keep-alives and discoveries that are due.
    /// `out` receives the messages to send.
    pub fn tick(&mut self, now: Now, runners: &[RunnerId], out: &mut Outbox) -> Vec<SessionEvent> {
        if self.runners != runners {
            self.runners = runners.to_vec();
        }
        let events = self.expire_lease(now.monotonic);
        self.send_round_if_due(now.monotonic, out);
        events
    }

    /// Handles a message of the session: discovery, members, lease, not-leader,
    /// configuration, or a relay to another process. Returns any other message,
    /// extracted from a relay to this process.
    ///
    /// A lease that expired unnoticed, as in a freeze, is reported as lost before
    /// the message is handled.
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
        let envelope = match route::open(&self.options.address, envelope) {
            Opened::Own(envelope) => envelope,
            Opened::Forward(to, message) => {
                out.push((to, message));
                return (events, None);
            }
            Opened::Dropped => return (events, None),
        };
        self.directory.add(&envelope.from);
        let other = self.handle_own(now.monotonic, envelope, out, &mut events);
        (events, other)
    }

    /// Gives up the lease and requests a new one, for example after a freeze that
    /// was shorter than the lease. Replies to earlier keep-alives are ignored.
    pub fn rejoin(&mut self, now: Now, out: &mut Outbox) {
        self.lease.clear();
        self.keep_alives.clear();
        self.schedule.expedite(now.monotonic);
        self.send_round_if_due(now.monotonic, out);
    }

    /// Tells the leader that this process ends its session.
    pub fn leave(&mut self, now: Now, out: &mut Outbox) {
        let sequence = self.keep_alives.record(now.monotonic, Path::Direct);
        let keep_alive = self.keep_alive(sequence, true);
        out.extend(self.to_leader(now, keep_alive));
    }

    /// Addresses a message to the leader, directly or through a follower if the
    /// direct path is unresponsive. None if no leader is known.
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

    /// Term of the session; none without a valid lease.
    pub fn term(&self, now: Now) -> Option<Term> {
        self.lease.term(now.monotonic)
    }

    /// Highest term of a leader that granted this process a lease.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The replica, while it is valid.
    pub fn configuration(&self, now: Now) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        self.replica.valid(now.monotonic)
    }

    /// When the caller must call [`SessionClient::tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        let next_round = self.schedule.next_round();
        match self.lease.expires_at() {
            Some(expires_at) => next_round.min(expires_at),
            None => next_round,
        }
    }

    /// Reports a lease that has expired.
    fn expire_lease(&mut self, now: Monotonic) -> Vec<SessionEvent> {
        if !self.lease.expire(now) {
            return Vec::new();
        }
        self.schedule.expedite(now);
        vec![SessionEvent::Lost]
    }
}
