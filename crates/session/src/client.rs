//! The session client, without I/O.

use crate::directory::Directory;
use crate::keep_alive::{KeepAliveLog, Path, SentKeepAlive};
use crate::leader::LeaderContact;
use crate::replica::Replica;
use crate::round::HINTS_EACH_ROUND;
use crate::route::{self, Opened};
use configuration::ClusterConfiguration;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use transport::{Envelope, Members, PeerMessage, SessionLease};
use types::{
    Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, Now, RunnerId, Term,
};

/// Settings of a session client.
#[derive(Debug, Clone)]
pub struct SessionOptions {
    /// Who and where this process is.
    pub address: Address,
    /// Peer sockets of other processes of any role; may be dead, or its own.
    pub seeds: Vec<SocketAddr>,
    /// Time between keep-alives.
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

/// The right to act under a leader, until it ends.
#[derive(Debug, Clone, Copy)]
struct Lease {
    term: Term,
    ends: Monotonic,
}

/// Messages to send, with the sockets they go to.
pub(crate) type Outbox = Vec<(SocketAddr, PeerMessage)>;

/// The session client.
#[derive(Debug)]
pub struct SessionClient {
    pub(crate) options: SessionOptions,
    pub(crate) directory: Directory,
    pub(crate) keep_alives: KeepAliveLog,
    pub(crate) leader: Option<LeaderContact>,
    lease: Option<Lease>,
    highest_term: Term,
    pub(crate) cluster: Option<ClusterId>,
    pub(crate) replica: Replica,
    pub(crate) runners: Vec<RunnerId>,
    pub(crate) round: u64,
    pub(crate) next_round: Monotonic,
    pub(crate) hints_left: u32,
    pub(crate) random: ChaCha8Rng,
}

impl SessionClient {
    /// A client that knows its seeds only.
    pub fn new(options: SessionOptions, now: Now) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(options.seed ^ options.address.node.0);
        // Drawn, so that leases for an earlier process at the same socket answer
        // no keep-alive of this one.
        let first_sequence = u64::from(random.random::<u32>()) << 16;
        Self {
            directory: Directory::new(options.address.clone()),
            keep_alives: KeepAliveLog::new(first_sequence),
            leader: None,
            lease: None,
            highest_term: Term::default(),
            cluster: None,
            replica: Replica::new(options.replica_valid),
            runners: Vec::new(),
            round: 0,
            next_round: now.monotonic,
            hints_left: HINTS_EACH_ROUND,
            random,
            options,
        }
    }

    /// Sends keep-alives and discovery, ends leases that ran out. `out` receives
    /// messages to send.
    pub fn tick(&mut self, now: Now, runners: &[RunnerId], out: &mut Outbox) -> Vec<SessionEvent> {
        if self.runners != runners {
            self.runners = runners.to_vec();
        }
        let events = self.end_lease_if_over(now.monotonic);
        self.send_round_if_due(now.monotonic, out);
        events
    }

    /// Takes a message if it belongs to the session (discovery, members,
    /// lease, not-leader, configuration, relays to others); gives it back
    /// otherwise, relays to this process opened.
    ///
    /// A lease that ran out unnoticed, as in a freeze, is reported as lost
    /// before the message counts for anything.
    pub fn handle(
        &mut self,
        now: Now,
        envelope: Envelope,
        out: &mut Outbox,
    ) -> (Vec<SessionEvent>, Option<Envelope>) {
        let mut events = self.end_lease_if_over(now.monotonic);
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
        self.directory.learn(&envelope.from);
        let rest = self.take(now.monotonic, envelope, out, &mut events);
        (events, rest)
    }

    /// Gives up the lease and asks for a new one, as after a freeze that was
    /// shorter than the lease. Answers to keep-alives from before count for nothing.
    pub fn rejoin(&mut self, now: Now, out: &mut Outbox) {
        self.lease = None;
        self.keep_alives.forget_all();
        self.next_round = now.monotonic;
        self.send_round_if_due(now.monotonic, out);
    }

    /// Says goodbye to the leader.
    pub fn leave(&mut self, now: Now, out: &mut Outbox) {
        let sequence = self.keep_alives.record(now.monotonic, Path::Direct);
        let goodbye = self.keep_alive(sequence, true);
        out.extend(self.to_leader(now, goodbye));
    }

    /// Addresses a message to the leader, directly or (when its direct answers
    /// have stopped) through a follower. None when no leader is known.
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

    /// Term of the session; none when it has no valid lease.
    pub fn term(&self, now: Now) -> Option<Term> {
        self.lease
            .filter(|lease| now.monotonic < lease.ends)
            .map(|lease| lease.term)
    }

    /// Highest term under which a leader ever answered this process.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The replica, while the leader's last word is fresh enough.
    pub fn configuration(&self, now: Now) -> Option<(ConfigurationVersion, &ClusterConfiguration)> {
        self.replica.valid(now.monotonic)
    }

    /// When it wants [`SessionClient::tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        match self.lease {
            Some(lease) => self.next_round.min(lease.ends),
            None => self.next_round,
        }
    }

    pub(crate) fn has_lease(&self) -> bool {
        self.lease.is_some()
    }

    fn end_lease_if_over(&mut self, now: Monotonic) -> Vec<SessionEvent> {
        if self.lease.is_none_or(|lease| now < lease.ends) {
            return Vec::new();
        }
        self.lease = None;
        self.next_round = now;
        vec![SessionEvent::Lost]
    }

    /// Takes one opened message, or gives it back.
    fn take(
        &mut self,
        now: Monotonic,
        envelope: Envelope,
        out: &mut Outbox,
        events: &mut Vec<SessionEvent>,
    ) -> Option<Envelope> {
        match &envelope.body {
            PeerMessage::Discover => {
                let members = PeerMessage::Members(self.members());
                out.push(route::answer_to(&self.options.address, &envelope, members));
            }
            PeerMessage::Members(members) => self.take_members(now, members, out),
            PeerMessage::Lease(lease) => self.take_lease(now, &envelope, lease, events),
            PeerMessage::NotLeader { leader } => {
                self.take_not_leader(now, &envelope.from, leader.as_ref(), out);
            }
            PeerMessage::Configuration { .. } => self.take_configuration(envelope, events),
            _ => return Some(envelope),
        }
        None
    }

    fn take_members(&mut self, now: Monotonic, members: &Members, out: &mut Outbox) {
        if self.is_other_cluster(members.cluster) {
            return;
        }
        let knew_no_coordinator = self.directory.has_no_coordinator();
        for member in &members.members {
            self.directory.learn(member);
        }
        match &members.leader {
            Some(leader) if members.term >= self.highest_term => {
                self.directory.learn(leader);
                if members.term > self.highest_term {
                    self.leave_superseded(leader);
                }
                self.follow_hint(now, leader, out);
            }
            _ if knew_no_coordinator && self.leader.is_none() => self.try_next(now, out),
            _ => {}
        }
    }

    /// A leader of a higher term than any seen makes the one followed an old
    /// one, however well it still answers.
    fn leave_superseded(&mut self, newer: &Address) {
        let followed = self.leader.as_ref().map(LeaderContact::address);
        if followed.is_some_and(|followed| followed != newer) {
            self.leader = None;
        }
    }

    fn take_lease(
        &mut self,
        now: Monotonic,
        envelope: &Envelope,
        lease: &SessionLease,
        events: &mut Vec<SessionEvent>,
    ) {
        let Some(keep_alive) = self.keep_alives.find(lease.sequence) else {
            return;
        };
        if lease.term < self.highest_term || self.is_other_cluster(Some(lease.cluster)) {
            return;
        }
        self.highest_term = lease.term;
        self.cluster = Some(lease.cluster);
        self.directory
            .replace(&lease.leader, &lease.coordinators, &lease.others);
        self.record_answer(now, &lease.leader, keep_alive, envelope.via);
        self.replica
            .leader_said(keep_alive.sent_at, lease.configuration);
        self.extend_lease(now, lease.term, keep_alive.sent_at + lease.lease, events);
    }

    /// A lease that is over on arrival opens nothing: it answers a keep-alive from
    /// before a freeze or a long delay.
    fn extend_lease(
        &mut self,
        now: Monotonic,
        term: Term,
        ends: Monotonic,
        events: &mut Vec<SessionEvent>,
    ) {
        if ends <= now {
            return;
        }
        match &mut self.lease {
            Some(held) if held.term == term => held.ends = held.ends.max(ends),
            _ => {
                self.lease = Some(Lease { term, ends });
                events.push(SessionEvent::Opened { term });
            }
        }
    }

    fn record_answer(
        &mut self,
        now: Monotonic,
        leader: &Address,
        keep_alive: SentKeepAlive,
        via: Option<SocketAddr>,
    ) {
        let known = self.leader.as_ref().map(LeaderContact::address);
        if known != Some(leader) {
            let contact = LeaderContact::new(leader.clone(), self.options.interval, now);
            self.leader = Some(contact);
        }
        let Some(contact) = &mut self.leader else {
            return;
        };
        // A direct keep-alive answered through a relay proves neither way whole.
        let proves_both_ways = matches!(keep_alive.path, Path::Relayed(_)) || via.is_none();
        contact.record_contact(proves_both_ways.then_some(keep_alive.path), now);
    }

    fn take_not_leader(
        &mut self,
        now: Monotonic,
        from: &Address,
        leader: Option<&Address>,
        out: &mut Outbox,
    ) {
        let spoken_by_leader = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address().node == from.node);
        if spoken_by_leader {
            self.leader = None;
        }
        if let Some(leader) = leader {
            self.directory.learn(leader);
            self.follow_hint(now, leader, out);
        }
    }

    /// Turns to the coordinator that another member takes for the leader,
    /// unless the one followed now still answers: hints may be old.
    fn follow_hint(&mut self, now: Monotonic, hint: &Address, out: &mut Outbox) {
        let is_own = hint.node == self.options.address.node;
        let answers = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address() == hint || !contact.is_unresponsive(now));
        if is_own || answers || self.hints_left == 0 {
            return;
        }
        self.hints_left -= 1;
        let contact = LeaderContact::new(hint.clone(), self.options.interval, now);
        self.leader = Some(contact);
        self.send_keep_alive(now, hint.socket, out);
    }

    fn take_configuration(&mut self, envelope: Envelope, events: &mut Vec<SessionEvent>) {
        let from_leader = self
            .leader
            .as_ref()
            .is_some_and(|contact| contact.address().node == envelope.from.node);
        // Before the first lease nobody is known to lead this cluster.
        if !from_leader || self.cluster.is_none() {
            return;
        }
        if let PeerMessage::Configuration { version, document } = envelope.body
            && self.replica.take(version, document)
        {
            events.push(SessionEvent::Configuration(version));
        }
    }

    fn members(&self) -> Members {
        let leader = self.lease.and(self.leader.as_ref());
        Members {
            members: self.directory.members_to_list(),
            leader: leader.map(|contact| contact.address().clone()),
            term: self.highest_term,
            cluster: self.cluster,
        }
    }

    fn is_other_cluster(&self, cluster: Option<ClusterId>) -> bool {
        matches!((self.cluster, cluster), (Some(own), Some(other)) if own != other)
    }
}
