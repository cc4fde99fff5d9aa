//! Discovery of other processes, joining a cluster, and what this process
//! tells others about both.

use super::Coordinator;
use crate::effect::Effect;
use crate::identity::identification::ClusterProposal;
use crate::sender::Sender;
use consensus::{Membership, Recovered};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use transport::{Bootstrap, KeepAlive, Members, PeerMessage, SessionLease};
use types::{Address, Now};

impl Coordinator {
    /// Saves a new identity, or runs the round of discovery that is due.
    pub(super) fn run_identity_round(&mut self, now: Now, effects: &mut Vec<Effect>) {
        if self.identification.is_saving() {
            return;
        }
        if !self.identification.has_identity() {
            self.identification.save_new(effects);
            return;
        }
        if !self.identification.begin_round(now.monotonic) {
            return;
        }
        self.directory.forget_unresponsive(now.monotonic);
        if self.identification.cluster().is_some() {
            self.resend_proposal(now, effects);
            self.rejoin_if_isolated(now, effects);
        } else {
            self.discover(effects);
            self.bootstrap_cluster(now, effects);
        }
    }

    /// Without a cluster: asks every known process, and announces itself to
    /// them or asks a leader for admission.
    fn discover(&mut self, effects: &mut Vec<Effect>) {
        let knows_cluster = self.identification.knows_cluster();
        for to in self.contacts() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Discover,
            });
            if !knows_cluster {
                let expected = self.options.initial_coordinators;
                effects.push(Effect::Send {
                    to,
                    message: PeerMessage::Bootstrap(Bootstrap::Announce { expected }),
                });
            }
        }
        if knows_cluster {
            self.request_admission(effects);
        }
    }

    /// With a cluster but outside its membership, or without a known leader:
    /// looks for the leader. A voter that was replaced while it was away
    /// learns so by asking for admission.
    fn rejoin_if_isolated(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(status) = self.status(now) else {
            return;
        };
        let is_member = status.membership.socket(self.own.node).is_some();
        if is_member && status.leader.is_some() {
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

    /// Reports to the leader which configuration this member has applied.
    fn report_to_leader(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let leader = self.known_leader(now);
        if let Some(leader) = leader.filter(|leader| leader.node != self.own.node) {
            self.send_keep_alive(leader.socket, effects);
        }
    }

    fn request_admission(&mut self, effects: &mut Vec<Effect>) {
        if let Some(to) = self.identification.leader_hint().map(|hint| hint.socket) {
            self.send_keep_alive(to, effects);
        }
    }

    fn send_keep_alive(&mut self, to: SocketAddr, effects: &mut Vec<Effect>) {
        let keep_alive = KeepAlive {
            sequence: self.identification.next_keep_alive(),
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

    /// Takes note that the identity is durable: answers the proposer and
    /// starts the consensus node.
    pub(super) fn receive_identity_saved(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let Some(saved) = self.identification.finish_save(now.monotonic) else {
            return;
        };
        if let Some(to) = saved.proposer {
            let cluster = saved.cluster;
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Bootstrap(Bootstrap::Accept { cluster }),
            });
        }
        if self.replica.is_none() {
            self.start_replica(Recovered::default(), now.monotonic);
        }
    }

    /// Answers a process that looks for others.
    pub(super) fn answer_discover(&self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let members = PeerMessage::Members(self.known_members(now));
        effects.push(sender.answer(&self.own, members).into());
    }

    /// The processes, leader and cluster that this process knows.
    pub(super) fn known_members(&self, now: Now) -> Members {
        let term = self.status(now).map(|status| status.term);
        Members {
            members: self.directory.alive(now.monotonic),
            leader: self.known_leader(now),
            term: term.unwrap_or_default(),
            cluster: self.identification.own_or_known_cluster(),
        }
    }

    /// The leader that this process knows; itself only while it serves.
    pub(super) fn known_leader(&self, now: Now) -> Option<Address> {
        if self.is_serving(now) {
            return Some(self.own.clone());
        }
        let Some(status) = self.status(now) else {
            return self.identification.leader_hint().cloned();
        };
        let leader = status.leader.filter(|leader| *leader != self.own.node)?;
        self.directory.address(leader).cloned()
    }

    /// Takes what another process knows, unless it is of another cluster.
    pub(super) fn receive_members(&mut self, now: Now, sender: &Sender, members: Members) {
        if let (Some(own), Some(theirs)) = (self.identification.cluster(), members.cluster)
            && own != theirs
        {
            return;
        }
        for address in &members.members {
            self.directory.learn(address, now.monotonic);
        }
        if let Some(cluster) = members.cluster {
            self.identification
                .record_cluster_of(sender.address.node, cluster);
        }
        self.identification.record_leader_hint(members.leader);
    }

    /// Takes a leader's lease: a process without a cluster adopts the leader's.
    pub(super) fn receive_lease(
        &mut self,
        now: Now,
        lease: SessionLease,
        effects: &mut Vec<Effect>,
    ) {
        let own = self.identification.cluster();
        if own.is_some_and(|own| own != lease.cluster) {
            return;
        }
        for other in &lease.others {
            self.directory.learn(other, now.monotonic);
        }
        self.identification.record_cluster(lease.cluster);
        self.identification.record_leader_hint(Some(lease.leader));
        if self.identification.may_choose_cluster() {
            let joined = ClusterProposal {
                cluster: lease.cluster,
                voters: Membership::default(),
            };
            self.identification.save_cluster(joined, effects);
        }
    }
}
