//! Discovery of other processes, admission of this process to a cluster, and
//! answers to discovery messages.

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
            let rule = self.options.bootstrap_rule;
            self.identification.save_new(&self.own, rule, effects);
            return;
        }
        if !self.identification.begin_round(now.monotonic) {
            return;
        }
        self.directory.remove_unresponsive(now.monotonic);
        if self.identification.cluster().is_some() {
            self.resend_proposal(now, effects);
            self.rejoin_if_isolated(now, effects);
        } else {
            self.discover(effects);
            self.bootstrap_cluster(now, effects);
        }
    }

    /// Discovers the cluster that this process will join: queries all contacts,
    /// then announces itself to them or, if a cluster is known, requests
    /// admission from its leader.
    fn discover(&mut self, effects: &mut Vec<Effect>) {
        let has_known_cluster = self.identification.has_known_cluster();
        for to in self.contacts() {
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Discover,
            });
            if !has_known_cluster {
                let expected = self.options.initial_coordinators;
                effects.push(Effect::Send {
                    to,
                    message: PeerMessage::Bootstrap(Bootstrap::Announce { expected }),
                });
            }
        }
        if has_known_cluster {
            self.request_admission(effects);
        }
    }

    /// Reports to the leader, or searches for one if this process is not in the
    /// membership or has no leader. A voter that was replaced while it was
    /// offline rejoins by requesting admission.
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

    /// Sends the leader the configuration version that this member has applied.
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

    /// Returns the sockets of seeds and known coordinators, except this process.
    fn contacts(&self) -> BTreeSet<SocketAddr> {
        let mut contacts: BTreeSet<SocketAddr> = self.options.seeds.iter().copied().collect();
        contacts.extend(self.directory.coordinator_sockets());
        contacts.remove(&self.own.socket);
        contacts
    }

    /// Handles the completion of an identity write: sends the acceptance to the
    /// proposer and starts the consensus node.
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

    /// Answers a discovery message with the known members.
    pub(super) fn answer_discover(&self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let members = PeerMessage::Members(self.known_members(now));
        effects.push(sender.answer(&self.own, members).into());
    }

    /// Returns the responsive processes, the leader, its term and the cluster, as
    /// far as known.
    pub(super) fn known_members(&self, now: Now) -> Members {
        let term = self.status(now).map(|status| status.term);
        Members {
            members: self.directory.responsive(now.monotonic),
            leader: self.known_leader(now),
            term: term.unwrap_or_default(),
            cluster: self.identification.own_or_known_cluster(),
        }
    }

    /// Returns the address of the leader, if known. This process returns its own
    /// address only if it holds the lease.
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

    /// Records the processes, leader and cluster that another process named.
    /// Ignores a message from another cluster.
    pub(super) fn receive_members(&mut self, now: Now, sender: &Sender, members: Members) {
        if let (Some(own), Some(other)) = (self.identification.cluster(), members.cluster)
            && own != other
        {
            return;
        }
        for address in &members.members {
            self.directory.add_named(address, now.monotonic);
        }
        if let Some(cluster) = members.cluster {
            self.identification
                .record_cluster_of_process(sender.address.node, cluster);
        }
        self.identification.record_leader_hint(members.leader);
    }

    /// Handles a session lease of a leader. A process without a cluster joins the
    /// leader's cluster.
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
            self.directory.add_named(other, now.monotonic);
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
