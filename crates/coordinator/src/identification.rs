//! Who this process is: first identity, first start of a cluster, joining.
//!
//! A process without an identity saves one before it says anything. Without a
//! cluster it looks round through its seeds. As soon as anyone it reaches
//! knows a cluster it asks that cluster's leader to be taken in and never
//! founds one. Only when exactly the expected number of coordinators, itself
//! included, have announced themselves as empty does the one with the lowest
//! identity draw a cluster and name all of them as voters.
//!
//! A proposal is taken by saving it; each process saves at most one, ever. The
//! founder saves its own before it sends it. From then on any process that has
//! saved it sends it again to voters it has heard no consensus message from.
//! So a founder that dies half-way leaves the others able to finish: whoever
//! saved it passes it on, and a voter whose disk was lost comes back under
//! another identity, is not in the list, and joins as a learner. Two proposals
//! cannot both gather a majority, since their voters overlap or the expected
//! number of empty processes would have been exceeded.

use crate::Coordinator;
use crate::core::{Effect, Sender};
use consensus::{Membership, Recovered};
use peer::{Bootstrap, Hello, Members, PeerMessage, SessionLease};
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use storage::Identity;
use types::{Address, ClusterId, Milliseconds, Monotonic, NodeId, Now, Role};

/// Time between two rounds of discovery, announcements and hellos.
const ROUND_INTERVAL: Milliseconds = Milliseconds(200);
/// An announcement counts for this long.
const ANNOUNCEMENT_VALID: Milliseconds = Milliseconds(1_500);

/// An empty coordinator that said it is there.
#[derive(Debug)]
struct Announced {
    address: Address,
    expected: u32,
    at: Monotonic,
}

/// The identity and what leads to it.
#[derive(Debug)]
pub(crate) struct Identification {
    /// On disk; none until the first save ended.
    identity: Option<Identity>,
    /// Being saved.
    saving: Option<Identity>,
    /// Told once the proposal is on disk.
    proposer: Option<SocketAddr>,
    announced: BTreeMap<NodeId, Announced>,
    /// A cluster that someone reachable knows.
    seen: Option<ClusterId>,
    leader: Option<Address>,
    /// Initial voters that need the proposal no more.
    settled: BTreeSet<NodeId>,
    hello_sequence: u64,
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
            hello_sequence: 0,
            next_round: now,
            node,
        }
    }

    /// Cluster and initial voters on disk.
    pub(crate) fn attached(&self) -> Option<(ClusterId, Membership)> {
        let identity = self.identity.as_ref()?;
        Some((identity.cluster?, identity.initial.clone()))
    }

    fn cluster(&self) -> Option<ClusterId> {
        self.identity.as_ref().and_then(|identity| identity.cluster)
    }

    /// True while it has an identity on disk, no cluster, and chose none.
    fn is_empty(&self) -> bool {
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

    fn save(&mut self, cluster: Option<ClusterId>, initial: Membership, effects: &mut Vec<Effect>) {
        let identity = Identity {
            node: self.node,
            cluster,
            initial,
        };
        self.saving = Some(identity.clone());
        effects.push(Effect::SaveIdentity(identity));
    }

    /// The voters, if all expected empty coordinators are here now and this
    /// process is the one to propose.
    fn voters_to_propose(
        &mut self,
        own: &Address,
        expected: u32,
        now: Monotonic,
    ) -> Option<Membership> {
        self.announced
            .retain(|_, announced| now.since(announced.at) <= ANNOUNCEMENT_VALID);
        let present = self.announced.len() + 1;
        let agreed = self.announced.values().all(|a| a.expected == expected);
        let lowest = self.announced.keys().all(|node| *node > own.node);
        if present != expected as usize || !agreed || !lowest {
            return None;
        }
        let mut voters: BTreeMap<NodeId, SocketAddr> = self
            .announced
            .iter()
            .map(|(node, announced)| (*node, announced.address.socket))
            .collect();
        voters.insert(own.node, own.socket);
        Some(Membership {
            voters,
            learners: BTreeMap::new(),
        })
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
        self.directory.forget_silent(now.monotonic);
        if self.identification.cluster().is_some() {
            self.pass_proposal_on(now, effects);
            self.rejoin_if_cut_off(now, effects);
        } else {
            self.look_round(effects);
            self.propose_cluster(now, effects);
        }
    }

    /// Without a cluster: asks everyone known, says that it is there, or asks
    /// a leader to be taken in.
    fn look_round(&mut self, effects: &mut Vec<Effect>) {
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
            self.say_hello(effects);
        }
    }

    fn propose_cluster(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.identification.seen.is_some() || !self.identification.is_empty() {
            return;
        }
        let expected = self.options.initial_coordinators;
        let own = self.own.clone();
        let Some(voters) = self
            .identification
            .voters_to_propose(&own, expected, now.monotonic)
        else {
            return;
        };
        let cluster = ClusterId(self.random.random());
        tracing::info!(%cluster, "all initial coordinators are here and empty: founding a cluster");
        self.identification.save(Some(cluster), voters, effects);
    }

    /// Sends the saved proposal to voters that seem not to have it.
    fn pass_proposal_on(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some((cluster, voters)) = self.identification.attached() else {
            return;
        };
        let missing: Vec<(NodeId, SocketAddr)> = voters
            .voters
            .iter()
            .filter(|(node, _)| {
                **node != self.own.node && !self.identification.settled.contains(*node)
            })
            .map(|(node, socket)| (*node, *socket))
            .collect();
        if missing.is_empty() {
            return;
        }
        let Some(status) = self.status(now) else {
            return;
        };
        for (node, to) in missing {
            if status.membership.socket(node).is_some() {
                let voters = voters.clone();
                effects.push(Effect::Send {
                    to,
                    message: PeerMessage::Bootstrap(Bootstrap::Propose { cluster, voters }),
                });
            }
        }
    }

    /// With a cluster but outside its membership, or without word from a
    /// leader: looks for the leader. A voter that was replaced while it was
    /// away learns so by asking to be taken in again.
    fn rejoin_if_cut_off(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(status) = self.status(now) else {
            return;
        };
        let member = status.membership.socket(self.own.node).is_some();
        if member && status.leader.is_some() {
            return;
        }
        for to in self.contacts() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Discover,
            });
        }
        self.say_hello(effects);
    }

    fn say_hello(&mut self, effects: &mut Vec<Effect>) {
        let Some(leader) = self.identification.leader.clone() else {
            return;
        };
        self.identification.hello_sequence += 1;
        let hello = Hello {
            sequence: self.identification.hello_sequence,
            configuration: self
                .record()
                .map(|record| record.configuration().0)
                .unwrap_or_default(),
            runners: Vec::new(),
            leaving: false,
            cluster: self.identification.cluster(),
        };
        effects.push(Effect::Send {
            to: leader.socket,
            message: PeerMessage::Hello(hello),
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

    fn member_view(&self, now: Now) -> Members {
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

    pub(crate) fn bootstrap_received(
        &mut self,
        now: Now,
        sender: &Sender,
        bootstrap: Bootstrap,
        effects: &mut Vec<Effect>,
    ) {
        if sender.via.is_some() || sender.address.role != Role::Coordinator {
            return;
        }
        match bootstrap {
            Bootstrap::Announce { expected } => {
                self.announce_received(now, sender, expected, effects)
            }
            Bootstrap::Propose { cluster, voters } => {
                self.proposal_received(sender, cluster, voters, effects)
            }
            Bootstrap::Accept { cluster } => {
                if self.identification.cluster() == Some(cluster) {
                    self.identification.settled(sender.address.node);
                }
            }
        }
    }

    fn announce_received(
        &mut self,
        now: Now,
        sender: &Sender,
        expected: u32,
        effects: &mut Vec<Effect>,
    ) {
        let Some((cluster, voters)) = self.identification.attached() else {
            let announced = Announced {
                address: sender.address.clone(),
                expected,
                at: now.monotonic,
            };
            // An identity that lost its socket is gone.
            let socket = sender.address.socket;
            self.identification
                .announced
                .retain(|_, other| other.address.socket != socket);
            self.identification
                .announced
                .insert(sender.address.node, announced);
            return;
        };
        if voters.voters.contains_key(&sender.address.node) {
            effects.push(Effect::Send {
                to: sender.address.socket,
                message: PeerMessage::Bootstrap(Bootstrap::Propose { cluster, voters }),
            });
        } else {
            self.answer_discover(now, sender, effects);
        }
    }

    /// Takes a proposal that names this identity, unless one was taken before.
    fn proposal_received(
        &mut self,
        sender: &Sender,
        cluster: ClusterId,
        voters: Membership,
        effects: &mut Vec<Effect>,
    ) {
        let accept = PeerMessage::Bootstrap(Bootstrap::Accept { cluster });
        if self.identification.cluster() == Some(cluster) {
            effects.push(Effect::Send {
                to: sender.address.socket,
                message: accept,
            });
            return;
        }
        let named = voters.voters.get(&self.own.node) == Some(&self.own.socket);
        let other_seen = self.identification.seen.is_some_and(|seen| seen != cluster);
        if !named || other_seen || !self.identification.is_empty() {
            return;
        }
        self.identification.proposer = Some(sender.address.socket);
        self.identification.save(Some(cluster), voters, effects);
    }

    /// A leader answered: an empty process takes its cluster as its own.
    pub(crate) fn lease_received(&mut self, lease: SessionLease, effects: &mut Vec<Effect>) {
        if self
            .identification
            .cluster()
            .is_some_and(|own| own != lease.cluster)
        {
            return;
        }
        self.identification.seen = Some(lease.cluster);
        self.identification.hint_leader(Some(lease.leader));
        if self.identification.is_empty() {
            self.identification
                .save(Some(lease.cluster), Membership::default(), effects);
        }
    }
}
