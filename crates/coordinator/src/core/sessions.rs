//! Keep-alives of gateways, agents and coordinators.

use super::Coordinator;
use crate::effect::Effect;
use crate::sender::Sender;
use transport::{Bootstrap, KeepAlive, PeerMessage};
use types::{Address, Now, Role};

impl Coordinator {
    /// Answers a keep-alive: the leader with a lease, any other process with the
    /// address of the leader.
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
        let coordinators = self.responsive_coordinators(now);
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

    /// Answers that this process is not the leader, with the leader's address if
    /// it is known.
    pub(super) fn point_to_leader(&self, now: Now, sender: &Sender, effects: &mut Vec<Effect>) {
        let leader = self.known_leader(now);
        let message = PeerMessage::NotLeader { leader };
        effects.push(sender.answer(&self.own, message).into());
    }

    /// Records a coordinator that requests admission, and the configuration version
    /// that a member reports. Returns whether the sender gets a lease.
    ///
    /// A voter without a cluster has not saved the bootstrap proposal. It gets the
    /// proposal instead of a lease, with which it would join the cluster without a
    /// list of voters.
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

    /// Returns the responsive coordinators of the membership.
    fn responsive_coordinators(&self, now: Now) -> Vec<Address> {
        let Some(status) = self.status(now) else {
            return Vec::new();
        };
        let members = &status.membership;
        members
            .voters
            .keys()
            .chain(members.learners.keys())
            .filter_map(|node| self.directory.responsive_address(*node, now.monotonic))
            .cloned()
            .collect()
    }
}
