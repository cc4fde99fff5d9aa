//! The identity of this process and its progress towards a cluster.
//!
//! A process without an identity saves one before it sends anything. Without a
//! cluster it discovers others through its seeds. As soon as any process it
//! reaches names a cluster it asks that cluster's leader for admission, and
//! never bootstraps one itself.

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

/// A cluster and its first voters, as saved in the identity.
#[derive(Debug, Clone)]
pub(crate) struct ClusterProposal {
    pub(crate) cluster: ClusterId,
    /// Empty where this process joined a cluster that existed before.
    pub(crate) voters: Membership,
}

/// What became durable with the identity.
#[derive(Debug)]
pub(crate) struct SavedCluster {
    pub(crate) cluster: ClusterId,
    /// The process that proposed the cluster and waits for the acceptance.
    pub(crate) proposer: Option<SocketAddr>,
}

/// The identity of this process, and the cluster it has or looks for.
#[derive(Debug)]
pub(crate) struct Identification {
    node: NodeId,
    /// On disk; none until the first save ended.
    saved: Option<Identity>,
    /// Handed to the disk; not durable yet.
    saving: Option<Identity>,
    /// Gets the acceptance once its proposal is on disk.
    proposer: Option<SocketAddr>,
    announcements: Announcements,
    /// A cluster that a reachable process named.
    known_cluster: Option<ClusterId>,
    leader_hint: Option<Address>,
    /// First voters that take part and need the proposal no more.
    confirmed_voters: BTreeSet<NodeId>,
    keep_alive_sequence: u64,
    next_round: Monotonic,
}

impl Identification {
    /// Starts from the identity that the disk held.
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

    /// The cluster and first voters on disk.
    pub(crate) fn saved_proposal(&self) -> Option<ClusterProposal> {
        let identity = self.saved.as_ref()?;
        Some(ClusterProposal {
            cluster: identity.cluster?,
            voters: identity.initial.clone(),
        })
    }

    /// The cluster on disk.
    pub(crate) fn cluster(&self) -> Option<ClusterId> {
        self.saved.as_ref().and_then(|identity| identity.cluster)
    }

    /// The cluster on disk, or else one that a reachable process named.
    pub(crate) fn own_or_known_cluster(&self) -> Option<ClusterId> {
        self.cluster().or(self.known_cluster)
    }

    /// Returns whether a reachable process named a cluster.
    pub(crate) fn knows_cluster(&self) -> bool {
        self.known_cluster.is_some()
    }

    /// Returns whether the identity on disk has no cluster and none is being saved.
    pub(crate) fn may_choose_cluster(&self) -> bool {
        let saved = self.saved.as_ref();
        self.saving.is_none() && saved.is_some_and(|identity| identity.cluster.is_none())
    }

    /// Returns whether a save is under way.
    pub(crate) fn is_saving(&self) -> bool {
        self.saving.is_some()
    }

    /// Returns whether an identity is on disk.
    pub(crate) fn has_identity(&self) -> bool {
        self.saved.is_some()
    }

    /// Begins the next round if its time has come.
    pub(crate) fn begin_round(&mut self, now: Monotonic) -> bool {
        if now < self.next_round {
            return false;
        }
        self.next_round = now + ROUND_INTERVAL;
        true
    }

    /// Draws the sequence number of the next keep-alive.
    pub(crate) fn next_keep_alive(&mut self) -> u64 {
        self.keep_alive_sequence += 1;
        self.keep_alive_sequence
    }

    /// The process that others last named as the leader.
    pub(crate) fn leader_hint(&self) -> Option<&Address> {
        self.leader_hint.as_ref()
    }

    /// Records which process another one named as the leader.
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

    /// Records a cluster that another process belongs to or knows.
    pub(crate) fn record_cluster_of(&mut self, node: NodeId, cluster: ClusterId) {
        self.known_cluster = Some(cluster);
        self.announcements.remove(node);
    }

    /// Records that another coordinator has no cluster.
    pub(crate) fn record_announcement(&mut self, address: &Address, expected: u32, now: Monotonic) {
        self.announcements.record(address, expected, now);
    }

    /// Chooses the first voters if this process is to bootstrap the cluster now.
    pub(crate) fn choose_voters(
        &mut self,
        own: &Address,
        expected: u32,
        rule: BootstrapRule,
        now: Monotonic,
    ) -> Option<Membership> {
        if self.knows_cluster() || !self.may_choose_cluster() {
            return None;
        }
        self.announcements.choose_voters(own, expected, rule, now)
    }

    /// Records that a first voter takes part in the cluster.
    pub(crate) fn confirm_voter(&mut self, node: NodeId) {
        self.confirmed_voters.insert(node);
    }

    /// First voters that may not have the proposal yet, without this process.
    pub(crate) fn unconfirmed_voters(&self, voters: &Membership) -> Vec<(NodeId, SocketAddr)> {
        voters
            .voters
            .iter()
            .filter(|(node, _)| **node != self.node && !self.confirmed_voters.contains(*node))
            .map(|(node, socket)| (*node, *socket))
            .collect()
    }

    /// Returns whether this process may accept another one's proposal.
    pub(crate) fn may_accept(
        &mut self,
        own: &Address,
        proposal: &ClusterProposal,
        rule: BootstrapRule,
        now: Monotonic,
    ) -> bool {
        let voters = &proposal.voters;
        let is_named = voters.voters.get(&own.node) == Some(&own.socket);
        let knows_other = self
            .known_cluster
            .is_some_and(|known| known != proposal.cluster);
        // Where one process alone may bootstrap, there is one proposal, and a
        // coordinator that it does not name joins.
        let has_unnamed =
            rule == BootstrapRule::Exact && self.announcements.has_unnamed(voters, now);
        is_named && !knows_other && !has_unnamed && self.may_choose_cluster()
    }

    /// Accepts a proposal: saves it, and remembers whom to answer then.
    pub(crate) fn accept(
        &mut self,
        proposer: SocketAddr,
        proposal: ClusterProposal,
        effects: &mut Vec<Effect>,
    ) {
        self.proposer = Some(proposer);
        self.save_cluster(proposal, effects);
    }

    /// Saves an identity without a cluster.
    pub(crate) fn save_new(&mut self, effects: &mut Vec<Effect>) {
        self.save(None, Membership::default(), effects);
    }

    /// Saves the cluster that this process belongs to from now on.
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

    /// Takes note that the save under way is durable. Returns the cluster if
    /// the identity names one.
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
