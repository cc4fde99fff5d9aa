//! Exchange of proposals by which coordinators bootstrap a cluster.
//!
//! The protocol is described in [`crate::identity::bootstrap`].

use super::Coordinator;
use crate::effect::Effect;
use crate::identity::identification::ClusterProposal;
use crate::sender::Sender;
use rand::Rng;
use std::net::SocketAddr;
use transport::{Bootstrap, PeerMessage};
use types::{ClusterId, Now, Role};

impl Coordinator {
    /// Bootstraps a cluster if all initial voters are present and the bootstrap
    /// rule selects this process.
    pub(super) fn bootstrap_cluster(&mut self, now: Now, effects: &mut Vec<Effect>) {
        let configured = self.options.bootstrap_rule;
        let rule = self.identification.bootstrap_rule(&self.own, configured);
        let expected = self.options.initial_coordinators;
        let Some(voters) =
            self.identification
                .choose_voters(&self.own, expected, rule, now.monotonic)
        else {
            return;
        };
        let cluster = ClusterId(self.random.random());
        tracing::info!(%cluster, "bootstrapping cluster");
        let proposal = ClusterProposal { cluster, voters };
        self.identification.save_cluster(proposal, effects);
    }

    /// Sends the saved proposal to the voters that have not confirmed it.
    pub(super) fn resend_proposal(&self, now: Now, effects: &mut Vec<Effect>) {
        let Some(proposal) = self.identification.saved_proposal() else {
            return;
        };
        let unconfirmed = self.identification.unconfirmed_voters(&proposal.voters);
        if unconfirmed.is_empty() {
            return;
        }
        let Some(status) = self.status(now) else {
            return;
        };
        for (node, to) in unconfirmed {
            if status.membership.socket(node).is_some() {
                effects.push(proposal_message(to, proposal.clone()));
            }
        }
    }

    /// Handles a bootstrap message. Ignores one that was relayed or that does not
    /// come from a coordinator.
    pub(super) fn receive_bootstrap(
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
                self.receive_announcement(now, sender, expected, effects);
            }
            Bootstrap::Propose { cluster, voters } => {
                let proposal = ClusterProposal { cluster, voters };
                self.receive_proposal(now, sender, proposal, effects);
            }
            Bootstrap::Accept { cluster } => {
                if self.identification.cluster() == Some(cluster) {
                    self.identification.confirm_voter(sender.address.node);
                }
            }
        }
    }

    /// Records the announcement of a coordinator without a cluster. If this
    /// process has a cluster, answers with its proposal or with its members.
    fn receive_announcement(
        &mut self,
        now: Now,
        sender: &Sender,
        expected: u32,
        effects: &mut Vec<Effect>,
    ) {
        let address = &sender.address;
        match self.identification.saved_proposal() {
            None => self
                .identification
                .record_announcement(address, expected, now.monotonic),
            Some(proposal) if proposal.voters.voters.contains_key(&address.node) => {
                effects.push(proposal_message(address.socket, proposal));
            }
            Some(_) => self.answer_discover(now, sender, effects),
        }
    }

    /// Accepts a proposal that names this process as a voter, unless another one
    /// was accepted before.
    fn receive_proposal(
        &mut self,
        now: Now,
        sender: &Sender,
        proposal: ClusterProposal,
        effects: &mut Vec<Effect>,
    ) {
        let proposer = sender.address.socket;
        let cluster = proposal.cluster;
        if self.identification.cluster() == Some(cluster) {
            effects.push(Effect::Send {
                to: proposer,
                message: PeerMessage::Bootstrap(Bootstrap::Accept { cluster }),
            });
            return;
        }
        let rule = self.options.bootstrap_rule;
        if self
            .identification
            .may_accept(&self.own, &proposal, rule, now.monotonic)
        {
            self.identification.accept(proposer, proposal, effects);
        }
    }
}

fn proposal_message(to: SocketAddr, proposal: ClusterProposal) -> Effect {
    let ClusterProposal { cluster, voters } = proposal;
    Effect::Send {
        to,
        message: PeerMessage::Bootstrap(Bootstrap::Propose { cluster, voters }),
    }
}
