//! Identity of this process, and the steps by which it joins or bootstraps a
//! cluster.
//!
//! A process without an identity saves one before it sends any message. A
//! process without a cluster discovers others through its seeds. If any of them
//! names a cluster, the process requests admission from that cluster's leader
//! and does not bootstrap a cluster itself.

use crate::effect::Effect;
use crate::identity::bootstrap::Announcements;
use crate::options::BootstrapRule;
use consensus::Membership;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use storage::Identity;
use types::{Address, ClusterId, Milliseconds, Monotonic, NodeId};

/// Time between two rounds of discovery, announcements and keep-alives.
const ROUND_INTERVAL: Milliseconds = Milliseconds(200);

/// Cluster and its initial voters, as saved in the identity.
#[derive(Debug, Clone)]
pub(crate) struct ClusterProposal {
    pub(crate) cluster: ClusterId,
    /// Initial voters. Empty if this process joined an existing cluster.
    pub(crate) voters: Membership,
}

/// Cluster of an identity whose write has completed.
#[derive(Debug)]
pub(crate) struct SavedCluster {
    pub(crate) cluster: ClusterId,
    /// Process that proposed the cluster and gets the acceptance; `None` if this
    /// process proposed it or joined an existing one.
    pub(crate) proposer: Option<SocketAddr>,
}

/// Identity of this process and state of its search for a cluster.
#[derive(Debug)]
pub(crate) struct Identification {
    node: NodeId,
    /// Identity on disk; `None` until the first write completes.
    saved: Option<Identity>,
    /// Identity that is being written; `None` between writes.
    saving: Option<Identity>,
    /// Process whose proposal is being written. It gets the acceptance when the
    /// write completes.
    proposer: Option<SocketAddr>,
    announcements: Announcements,
    /// Cluster that a reachable process named last.
    known_cluster: Option<ClusterId>,
    leader_hint: Option<Address>,
    /// Voters that have accepted the proposal or sent a consensus message.
    confirmed_voters: BTreeSet<NodeId>,
    keep_alive_sequence: u64,
    next_round: Monotonic,
}

impl Identification {
    /// Creates the state from the identity read from disk.
    pub(crate) fn new(node: NodeId, saved: Option<Identity>, now: Monotonic) -> Self {
        Self {
            node,
            saved,
            saving: None,
            proposer: None,
            announcements: Announcements::default(),
            known_cluster: None,
            leader_hint: None,
            confirmed_voters: BTreeSet::new(),
            keep_alive_sequence: 0,
            next_round: now,
        }
    }

    /// Returns the cluster and initial voters on disk; `None` without a cluster.
    pub(crate) fn saved_proposal(&self) -> Option<ClusterProposal> {
        let identity = self.saved.as_ref()?;
        Some(ClusterProposal {
            cluster: identity.cluster?,
            voters: identity.initial.clone(),
        })
    }

    /// Returns the cluster on disk.
    pub(crate) fn cluster(&self) -> Option<ClusterId> {
        self.saved.as_ref().and_then(|identity| identity.cluster)
    }

    /// Returns the cluster on disk, or else one that a reachable process named.
    pub(crate) fn own_or_known_cluster(&self) -> Option<ClusterId> {
        self.cluster().or(self.known_cluster)
    }

    /// Returns whether a reachable process named a cluster.
    pub(crate) fn has_known_cluster(&self) -> bool {
        self.known_cluster.is_some()
    }

    /// Returns whether the identity on disk has no cluster and none is being saved.
    pub(crate) fn may_choose_cluster(&self) -> bool {
        let saved = self.saved.as_ref();
        self.saving.is_none() && saved.is_some_and(|identity| identity.cluster.is_none())
    }

    /// Returns whether an identity is being written.
    pub(crate) fn is_saving(&self) -> bool {
        self.saving.is_some()
    }

    /// Returns whether an identity is on disk.
    pub(crate) fn has_identity(&self) -> bool {
        self.saved.is_some()
    }

    /// Returns whether the next round is due, and schedules the one after it.
    pub(crate) fn begin_round(&mut self, now: Monotonic) -> bool {
        if now < self.next_round {
            return false;
        }
        self.next_round = now + ROUND_INTERVAL;
        true
    }

    /// Returns the sequence number of the next keep-alive.
    pub(crate) fn next_keep_alive(&mut self) -> u64 {
        self.keep_alive_sequence += 1;
        self.keep_alive_sequence
    }

    /// Returns the process that was last named as the leader.
    pub(crate) fn leader_hint(&self) -> Option<&Address> {
        self.leader_hint.as_ref()
    }

    /// Records the process that another one named as the leader. Ignores `None`
    /// and this process.
    pub(crate) fn record_leader_hint(&mut self, leader: Option<Address>) {
        if let Some(leader) = leader
            && leader.node != self.node
        {
            self.leader_hint = Some(leader);
        }
    }

    /// Records a cluster that a leader named.
    pub(crate) fn record_cluster(&mut self, cluster: ClusterId) {
        self.known_cluster = Some(cluster);
    }

    /// Records a cluster that another process named, and removes the announcement
    /// of that process.
    pub(crate) fn record_cluster_of_process(&mut self, node: NodeId, cluster: ClusterId) {
        self.known_cluster = Some(cluster);
        self.announcements.remove(node);
    }

    /// Records the announcement of a coordinator without a cluster.
    pub(crate) fn record_announcement(&mut self, address: &Address, expected: u32, now: Monotonic) {
        self.announcements.record(address, expected, now);
    }

    /// Chooses the initial voters if this process may bootstrap the cluster now.
    pub(crate) fn choose_voters(
        &mut self,
        own: &Address,
        expected: u32,
        rule: BootstrapRule,
        now: Monotonic,
    ) -> Option<Membership> {
        if self.has_known_cluster() || !self.may_choose_cluster() {
            return None;
        }
        self.announcements.choose_voters(own, expected, rule, now)
    }

    /// Records that a voter has accepted the proposal or sent a consensus message.
    pub(crate) fn confirm_voter(&mut self, node: NodeId) {
        self.confirmed_voters.insert(node);
    }

    /// Returns the voters that have not confirmed the proposal, except this
    /// process.
    pub(crate) fn unconfirmed_voters(&self, voters: &Membership) -> Vec<(NodeId, SocketAddr)> {
        voters
            .voters
            .iter()
            .filter(|(node, _)| **node != self.node && !self.confirmed_voters.contains(*node))
            .map(|(node, socket)| (*node, *socket))
            .collect()
    }

    /// Returns whether this process may accept a proposal.
    pub(crate) fn may_accept(
        &mut self,
        own: &Address,
        proposal: &ClusterProposal,
        rule: BootstrapRule,
        now: Monotonic,
    ) -> bool {
        let voters = &proposal.voters;
        let is_named = voters.voters.get(&own.node) == Some(&own.socket);
        let has_other_cluster = self
            .known_cluster
            .is_some_and(|known| known != proposal.cluster);
        // Under the other rules at most one process proposes, and coordinators
        // that the proposal does not name join later.
        let has_unnamed =
            rule == BootstrapRule::Exact && self.announcements.has_unnamed(voters, now);
        is_named && !has_other_cluster && !has_unnamed && self.may_choose_cluster()
    }

    /// Accepts a proposal: saves it, and keeps the proposer to send the acceptance
    /// once the write completes.
    pub(crate) fn accept(
        &mut self,
        proposer: SocketAddr,
        proposal: ClusterProposal,
        effects: &mut Vec<Effect>,
    ) {
        self.proposer = Some(proposer);
        self.save_cluster(proposal, effects);
    }

    /// Saves a new identity without a cluster. If `rule` lets this process
    /// bootstrap the cluster, the identity records that.
    pub(crate) fn save_new(
        &mut self,
        own: &Address,
        rule: BootstrapRule,
        effects: &mut Vec<Effect>,
    ) {
        let mut initial = Membership::default();
        if rule == BootstrapRule::At(own.socket) {
            initial.voters.insert(own.node, own.socket);
        }
        self.save(None, initial, effects);
    }

    /// Returns the rule that holds for this process.
    ///
    /// A process that may bootstrap the cluster keeps the right over restarts, at
    /// which its options no longer grant it. The right is part of the identity
    /// on its disk. It is lost with that disk, and the write that saves a cluster
    /// ends it, so that one disk leads to one proposal at most.
    pub(crate) fn bootstrap_rule(&self, own: &Address, configured: BootstrapRule) -> BootstrapRule {
        let holds_right = self.saved.as_ref().is_some_and(|identity| {
            identity.cluster.is_none()
                && identity.initial.voters.get(&identity.node) == Some(&own.socket)
        });
        match configured {
            BootstrapRule::Never if holds_right => BootstrapRule::At(own.socket),
            BootstrapRule::Never | BootstrapRule::Exact | BootstrapRule::At(_) => configured,
        }
    }

    /// Saves the identity with the cluster that this process bootstraps or joins.
    pub(crate) fn save_cluster(&mut self, proposal: ClusterProposal, effects: &mut Vec<Effect>) {
        self.save(Some(proposal.cluster), proposal.voters, effects);
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

    /// Handles the completion of an identity write. Returns the cluster if the
    /// identity names one.
    pub(crate) fn finish_save(&mut self, now: Monotonic) -> Option<SavedCluster> {
        let identity = self.saving.take()?;
        let cluster = identity.cluster;
        self.saved = Some(identity);
        self.next_round = now;
        Some(SavedCluster {
            cluster: cluster?,
            proposer: self.proposer.take(),
        })
    }
}
