//! Keep-alives of gateways, agents and coordinators.

use super::Coordinator;
use crate::effect::Effect;
use crate::sender::Sender;
use transport::{Bootstrap, KeepAlive, PeerMessage};
use types::{Address, Now, Role};

impl Coordinator {
    /// Takes a keep-alive: the leader answers with a lease, any other process
    /// with the leader it knows.
    pub(super) fn receive_keep_alive(
        &mut self,
        now: Now,
        sender: &Sender,
        keep_alive: &KeepAlive,
        effects: &mut Vec<Effect>,
    ) {
        let Some(replica) = &self.replica else {
            return;
        };
        let own = replica.cluster();
        if keep_alive.cluster.is_some_and(|cluster| cluster != own) {
            return;
        }
        if !self.is_serving(now) {
            return self.point_to_leader(now, sender, effects);
        }
        if sender.address.role == Role::Coordinator
            && !self.record_coordinator(now, sender, keep_alive)
        {
            return;
        }
        let coordinators = self.live_coordinators(now);
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return;
        };
        leader.receive_keep_alive(
            replica.state_machine(),
            sender,
            keep_alive,
            coordinators,
            now,
        );
    }

    /// Answers with the leader that this process knows.
    pub(super) fn point_to_leader(&self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let leader = self.known_leader(now);
        let message = PeerMessage::NotLeader { leader };
        effects.push(sender.answer(&self.own, message).into());
    }

    /// Records a coordinator that asks for admission, and what a member says it
    /// has applied. Returns whether it gets a lease: one would mislead an empty
    /// process that is a voter by the first proposal, which must accept that
    /// proposal to know its voters.
    fn record_coordinator(&mut self, now: Now, sender: &Sender, keep_alive: &KeepAlive) -> bool {
        let (Some(leader), Some(replica)) = (&mut self.leader, &self.replica) else {
            return false;
        };
        let node = sender.address.node;
        let has_cluster = keep_alive.cluster.is_some();
        let membership = replica.status(now.monotonic).membership;
        if membership.socket(node).is_none() {
            if has_cluster {
                leader.record_joiner(&sender.address, now);
            }
            return true;
        }
        if has_cluster {
            leader.record_member_version(node, keep_alive.configuration, &membership);
        }
        if has_cluster || !membership.voters.contains_key(&node) {
            return true;
        }
        let voters = match self.identification.saved_proposal() {
            Some(proposal) if proposal.voters.voters.contains_key(&node) => proposal.voters,
            _ => membership,
        };
        let cluster = replica.cluster();
        let propose = PeerMessage::Bootstrap(Bootstrap::Propose { cluster, voters });
        leader.answer(sender, propose);
        false
    }

    /// Coordinators of the membership that were in contact a short while ago.
    fn live_coordinators(&self, now: Now) -> Vec<Address> {
        let Some(status) = self.status(now) else {
            return Vec::new();
        };
        let members = &status.membership;
        members
            .voters
            .keys()
            .chain(members.learners.keys())
            .filter_map(|node| self.directory.alive_address(*node, now.monotonic))
            .cloned()
            .collect()
    }
}
