//! Exchange of messages and writes between the replica, the disk and the other
//! members.

use super::Coordinator;
use crate::effect::Effect;
use crate::options::Mutation;
use crate::replica::{Replica, ReplicaOptions};
use crate::sender::Sender;
use consensus::message::Outgoing;
use consensus::{Message, Recovered};
use rand::Rng;
use transport::PeerMessage;
use types::{ClusterId, Monotonic, NodeId, Now};

impl Coordinator {
    /// Starts the consensus node once the identity on disk names a cluster.
    pub(super) fn start_replica(&mut self, recovered: Recovered, now: Monotonic) {
        let Some(proposal) = self.identification.saved_proposal() else {
            return;
        };
        let mutation = match self.options.mutation {
            Some(Mutation::StateMachine(mutation)) => Some(mutation),
            _ => None,
        };
        let options = ReplicaOptions {
            cluster: proposal.cluster,
            node: self.own.node,
            initial: proposal.voters,
            consensus: self.options.consensus.clone(),
            seed: self.random.random(),
            snapshot_every: self.options.snapshot_every,
            mutation,
        };
        match Replica::new(options, recovered, now) {
            Ok(replica) => self.replica = Some(replica),
            Err(error) => self.stop_serving(error),
        }
    }

    /// Processes all ready batches of the consensus node, then writes a snapshot
    /// if one is due.
    pub(super) fn process_consensus(&mut self, now: Now, effects: &mut Vec<Effect>) {
        while let Some(replica) = &mut self.replica
            && let Some(batch) = replica.process_ready(now.monotonic, effects)
        {
            self.send_consensus(now, batch.messages, effects);
            match batch.applied {
                Ok(entries) => self.apply_to_leader(now, entries),
                Err(error) => return self.stop_serving(error),
            }
        }
        if let Some(replica) = &mut self.replica
            && let Err(error) = replica.write_snapshot_if_due(now.monotonic, effects)
        {
            self.stop_serving(error);
        }
    }

    /// Handles the completion of a write: sends the messages that waited for it.
    pub(super) fn receive_persisted(&mut self, now: Now, number: u64, effects: &mut Vec<Effect>) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let messages = replica.persisted(now.monotonic, number);
        self.send_consensus(now, messages, effects);
    }

    /// Handles a consensus message. Ignores one for another cluster or node.
    pub(super) fn receive_consensus(
        &mut self,
        now: Now,
        sender: &Sender,
        cluster: ClusterId,
        to: NodeId,
        message: Message,
    ) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if cluster != replica.cluster() || to != self.own.node {
            return;
        }
        self.identification.confirm_voter(sender.address.node);
        replica.step(now.monotonic, sender.address.node, message);
    }

    /// Sends consensus messages to the sockets in the membership. A receiver that
    /// is not in the membership gets them at its last known socket: a learner
    /// without a log has no membership, but must answer the leader.
    fn send_consensus(&self, now: Now, messages: Vec<Outgoing>, effects: &mut Vec<Effect>) {
        let Some(replica) = &self.replica else {
            return;
        };
        if messages.is_empty() {
            return;
        }
        let membership = replica.status(now.monotonic).membership;
        for outgoing in messages {
            let last_known = || {
                self.directory
                    .address(outgoing.to)
                    .map(|address| address.socket)
            };
            let Some(to) = membership.socket(outgoing.to).or_else(last_known) else {
                continue;
            };
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Raft {
                    cluster: replica.cluster(),
                    to: outgoing.to,
                    message: outgoing.message,
                },
            });
        }
    }
}
