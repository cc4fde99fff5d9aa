//! Who this process is: its identity, discovery, joining a cluster.
//!
//! A process without an identity saves one before it says anything. Without a
//! cluster it looks round through its seeds. As soon as anyone it reaches
//! knows a cluster it asks that cluster's leader to be taken in, and never
//! founds one. How a cluster is founded: [`crate::first_start`].

use crate::Coordinator;
use crate::core::{Effect, Sender};
use crate::first_start::Announced;
use consensus::{Membership, Recovered};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use storage::Identity;
use transport::{Bootstrap, KeepAlive, Members, PeerMessage, SessionLease};
use types::{Address, ClusterId, Milliseconds, Monotonic, NodeId, Now};

/// Time between two rounds of discovery, announcements and keep-alives.
const ROUND_INTERVAL: Milliseconds = Milliseconds(200);

/// The identity and what leads to it.
#[derive(Debug)]
pub(crate) struct Identification {
    /// On disk; none until the first save ended.
    pub(crate) identity: Option<Identity>,
    /// Being saved.
    saving: Option<Identity>,
    /// Told once the proposal is on disk.
    pub(crate) proposer: Option<SocketAddr>,
    pub(crate) announced: BTreeMap<NodeId, Announced>,
    /// A cluster that someone reachable knows.
    pub(crate) seen: Option<ClusterId>,
    leader: Option<Address>,
    /// Initial voters that need the proposal no more.
    pub(crate) settled: BTreeSet<NodeId>,
    keep_alive_sequence: u64,
    next_round: Monotonic,
    node: NodeId,
}

impl Identification {
    pub(crate) fn new(node: NodeId, identity: Option<Identity>, now: Monotonic) -> Self {
        Self {
            identity,
            saving: None,
            proposer: None,
            announced: BTreeMap::new(),
            seen: None,
            leader: None,
            settled: BTreeSet::new(),
            keep_alive_sequence: 0,
            next_round: now,
            node,
        }
    }

    /// Cluster and initial voters on disk.
    pub(crate) fn attached(&self) -> Option<(ClusterId, Membership)> {
        let identity = self.identity.as_ref()?;
        Some((identity.cluster?, identity.initial.clone()))
    }

    pub(crate) fn cluster(&self) -> Option<ClusterId> {
        self.identity.as_ref().and_then(|identity| identity.cluster)
    }

    /// Returns whether it has an identity on disk, no cluster, and chose none.
    pub(crate) fn is_empty(&self) -> bool {
        self.saving.is_none()
            && self
                .identity
                .as_ref()
                .is_some_and(|identity| identity.cluster.is_none())
    }

    /// Where the leader may be.
    pub(crate) fn hint_leader(&mut self, leader: Option<Address>) {
        if let Some(leader) = leader
            && leader.node != self.node
        {
            self.leader = Some(leader);
        }
    }

    /// This initial voter takes part: it needs the proposal no more.
    pub(crate) fn settled(&mut self, node: NodeId) {
        self.settled.insert(node);
    }

    pub(crate) fn save(
        &mut self,
        cluster: Option<ClusterId>,
        initial: Membership,
        effects: &mut Vec<Effect>,
    ) {
        let identity = Identity {
            node: self.node,
            cluster,
            initial,
        };
        self.saving = Some(identity.clone());
        effects.push(Effect::SaveIdentity(identity));
    }
}

impl Coordinator {
    /// Looks at the timers of discovery, first start and joining.
    pub(crate) fn identify(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.identification.saving.is_some() {
            return;
        }
        if self.identification.identity.is_none() {
            self.identification
                .save(None, Membership::default(), effects);
            return;
        }
        if now.monotonic < self.identification.next_round {
            return;
        }
        self.identification.next_round = now.monotonic + ROUND_INTERVAL;
        self.directory.forget_unresponsive(now.monotonic);
        if self.identification.cluster().is_some() {
            self.pass_proposal_on(now, effects);
            self.rejoin_if_isolated(now, effects);
        } else {
            self.discover(effects);
            self.propose_cluster(now, effects);
        }
    }

    /// Without a cluster: asks everyone known, says that it is there, or asks
    /// a leader to be taken in.
    fn discover(&mut self, effects: &mut Vec<Effect>) {
        let empty = self.identification.seen.is_none();
        for to in self.contacts() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Discover,
            });
            if empty {
                let expected = self.options.initial_coordinators;
                effects.push(Effect::Send {
                    to,
                    message: PeerMessage::Bootstrap(Bootstrap::Announce { expected }),
                });
            }
        }
        if !empty {
            self.request_admission(effects);
        }
    }

    /// With a cluster but outside its membership, or without word from a
    /// leader: looks for the leader. A voter that was replaced while it was
    /// away learns so by asking to be taken in again.
    fn rejoin_if_isolated(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(status) = self.status(now) else {
            return;
        };
        let member = status.membership.socket(self.own.node).is_some();
        if member && status.leader.is_some() {
            return self.report_to_leader(now, effects);
        }
        for to in self.contacts() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Discover,
            });
        }
        self.request_admission(effects);
    }

    /// Tells the leader which configuration this member has applied.
    fn report_to_leader(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let leader = self.known_leader(now);
        if let Some(leader) = leader.filter(|leader| leader.node != self.own.node) {
            self.send_keep_alive(leader.socket, effects);
        }
    }

    fn request_admission(&mut self, effects: &mut Vec<Effect>) {
        let leader = self.identification.leader.as_ref();
        if let Some(to) = leader.map(|leader| leader.socket) {
            self.send_keep_alive(to, effects);
        }
    }

    fn send_keep_alive(&mut self, to: SocketAddr, effects: &mut Vec<Effect>) {
        self.identification.keep_alive_sequence += 1;
        let keep_alive = KeepAlive {
            sequence: self.identification.keep_alive_sequence,
            configuration: self
                .state_machine()
                .map(|state_machine| state_machine.configuration().0)
                .unwrap_or_default(),
            runners: Vec::new(),
            leaving: false,
            cluster: self.identification.cluster(),
        };
        effects.push(Effect::Send {
            to,
            message: PeerMessage::KeepAlive(keep_alive),
        });
    }

    /// Seeds and known coordinators, without this process.
    fn contacts(&self) -> BTreeSet<SocketAddr> {
        let mut contacts: BTreeSet<SocketAddr> = self.options.seeds.iter().copied().collect();
        contacts.extend(self.directory.coordinator_sockets());
        contacts.remove(&self.own.socket);
        contacts
    }

    /// The save ended: tells the proposer, starts the consensus node.
    pub(crate) fn identity_saved(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(identity) = self.identification.saving.take() else {
            return;
        };
        let cluster = identity.cluster;
        self.identification.identity = Some(identity);
        self.identification.next_round = now.monotonic;
        let Some(cluster) = cluster else {
            return;
        };
        if let Some(to) = self.identification.proposer.take() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Bootstrap(Bootstrap::Accept { cluster }),
            });
        }
        if self.replica.is_none() {
            self.start_replica(Recovered::default(), now.monotonic);
        }
    }

    pub(crate) fn answer_discover(&mut self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let members = PeerMessage::Members(self.member_view(now));
        let (to, message) = sender.answer(&self.own, members);
        effects.push(Effect::Send { to, message });
    }

    pub(crate) fn member_view(&self, now: Now) -> Members {
        let term = self.status(now).map(|status| status.term);
        Members {
            members: self.directory.alive(now.monotonic),
            leader: self.known_leader(now),
            term: term.unwrap_or_default(),
            cluster: self.identification.cluster().or(self.identification.seen),
        }
    }

    /// The leader, as far as this process knows. Itself only while it serves.
    pub(crate) fn known_leader(&self, now: Now) -> Option<Address> {
        if self.is_serving(now) {
            return Some(self.own.clone());
        }
        let Some(status) = self.status(now) else {
            return self.identification.leader.clone();
        };
        let leader = status.leader.filter(|leader| *leader != self.own.node)?;
        self.directory.address(leader).cloned()
    }

    pub(crate) fn members_received(&mut self, now: Now, sender: &Sender, members: Members) {
        if let (Some(own), Some(theirs)) = (self.identification.cluster(), members.cluster)
            && own != theirs
        {
            return;
        }
        for address in &members.members {
            self.directory.learn(address, now.monotonic);
        }
        if members.cluster.is_some() {
            self.identification.seen = members.cluster;
            self.identification.announced.remove(&sender.address.node);
        }
        self.identification.hint_leader(members.leader);
    }

    /// A leader answered: an empty process takes its cluster as its own.
    pub(crate) fn lease_received(
        &mut self,
        now: Now,
        lease: SessionLease,
        effects: &mut Vec<Effect>,
    ) {
        if self
            .identification
            .cluster()
            .is_some_and(|own| own != lease.cluster)
        {
            return;
        }
        for other in &lease.others {
            self.directory.learn(other, now.monotonic);
        }
        self.identification.seen = Some(lease.cluster);
        self.identification.hint_leader(Some(lease.leader));
        if self.identification.is_empty() {
            self.identification
                .save(Some(lease.cluster), Membership::default(), effects);
        }
    }
}
