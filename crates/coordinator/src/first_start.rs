//! The first start of a cluster.
//!
//! Only when exactly the expected number of coordinators, itself included,
//! have announced themselves as empty does the one with the lowest identity
//! draw a cluster and name all of them as voters.
//!
//! A proposal is taken by saving it; each process saves at most one, ever. The
//! founder saves its own before it sends it. From then on any process that has
//! saved it sends it again to voters it has heard no consensus message from.
//! So a founder that dies half-way leaves the others able to finish: whoever
//! saved it passes it on, and a voter whose disk was lost comes back under
//! another identity, is not in the list, and joins as a learner.
//!
//! Two proposals could both gather a majority only if more empty coordinators
//! than expected were started at once. A founder that hears one too many
//! waits, and so does a voter that hears an empty one that is not named; what
//! is left is a start with too many coordinators that do not hear each other.

use crate::Coordinator;
use crate::core::{BootstrapRule, Effect, Sender};
use crate::identification::Identification;
use consensus::Membership;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use transport::{Bootstrap, PeerMessage};
use types::{Address, ClusterId, Milliseconds, Monotonic, NodeId, Now, Role, ZoneName};

/// An announcement counts for this long.
const ANNOUNCEMENT_VALID: Milliseconds = Milliseconds(1_500);

/// An empty coordinator that said it is there.
#[derive(Debug)]
pub(crate) struct Announced {
    address: Address,
    expected: u32,
    at: Monotonic,
}

impl Identification {
    fn forget_old_announcements(&mut self, now: Monotonic) {
        self.announced
            .retain(|_, announced| now.since(announced.at) <= ANNOUNCEMENT_VALID);
    }

    /// Returns whether an empty coordinator is here that these voters do not name.
    fn hears_other_than(&mut self, voters: &Membership, now: Monotonic) -> bool {
        self.forget_old_announcements(now);
        let mut announced = self.announced.keys();
        announced.any(|node| !voters.voters.contains_key(node))
    }

    /// The voters, if all expected empty coordinators are here now and this
    /// process is the one to propose.
    fn voters_to_propose(
        &mut self,
        own: &Address,
        expected: u32,
        bootstrap_rule: BootstrapRule,
        now: Monotonic,
    ) -> Option<Membership> {
        self.forget_old_announcements(now);
        let present = self.announced.len() + 1;
        let agreed = self.announced.values().all(|a| a.expected == expected);
        let lowest = self.announced.keys().all(|node| *node > own.node);
        let may_found = match bootstrap_rule {
            BootstrapRule::Exact => present == expected as usize && lowest,
            BootstrapRule::At(socket) => present >= expected as usize && socket == own.socket,
            BootstrapRule::Never => false,
        };
        if !may_found || !agreed {
            return None;
        }
        let others = (expected as usize).saturating_sub(1);
        let mut voters: BTreeMap<NodeId, SocketAddr> = self
            .spread_over_zones(own)
            .into_iter()
            .take(others)
            .map(|address| (address.node, address.socket))
            .collect();
        voters.insert(own.node, own.socket);
        Some(Membership {
            voters,
            learners: BTreeMap::new(),
        })
    }

    /// Announced coordinators in an order that takes one of each zone in turn,
    /// this process's own zone last.
    fn spread_over_zones(&self, own: &Address) -> Vec<Address> {
        let mut seen: BTreeMap<ZoneName, usize> = BTreeMap::from([(own.zone.clone(), 1)]);
        let mut order: Vec<(usize, Address)> = Vec::new();
        for announced in self.announced.values() {
            let address = announced.address.clone();
            let turn = seen.entry(address.zone.clone()).or_default();
            order.push((*turn, address));
            *turn += 1;
        }
        order.sort();
        order.into_iter().map(|(_, address)| address).collect()
    }
}

impl Coordinator {
    pub(crate) fn propose_cluster(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.identification.seen.is_some() || !self.identification.is_empty() {
            return;
        }
        let expected = self.options.initial_coordinators;
        let own = self.own.clone();
        let Some(voters) = self.identification.voters_to_propose(
            &own,
            expected,
            self.options.bootstrap_rule,
            now.monotonic,
        ) else {
            return;
        };
        let cluster = ClusterId(self.random.random());
        tracing::info!(%cluster, "bootstrapping cluster");
        self.identification.save(Some(cluster), voters, effects);
    }

    /// Sends the saved proposal to voters that seem not to have it.
    pub(crate) fn pass_proposal_on(&mut self, now: Now, effects: &mut Vec<Effect>) {
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
                self.proposal_received(now, sender, cluster, voters, effects)
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
        now: Now,
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
        // Where one process alone may found, there is one proposal, and whoever
        // is not named in it joins.
        let unnamed = self.options.bootstrap_rule == BootstrapRule::Exact
            && self.identification.hears_other_than(&voters, now.monotonic);
        if !named || other_seen || unnamed || !self.identification.is_empty() {
            return;
        }
        self.identification.proposer = Some(sender.address.socket);
        self.identification.save(Some(cluster), voters, effects);
    }
}
