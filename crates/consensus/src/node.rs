//! The Raft node: its state, its inputs and what it says of itself.

use crate::lease::Rounds;
use crate::link_health::LinkMeasures;
use crate::log::Log;
use crate::membership::MembershipHistory;
use crate::progress::Progress;
use crate::ready::{Batches, Outbox};
use crate::snapshot::IncomingSnapshot;
use crate::transfer::Transfer;
use crate::{
    HardState, LinkHealth, Membership, Message, Options, Outgoing, Payload, RaftRole, Recovered,
    Snapshot,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use thiserror::Error;
use types::{LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// Why a proposal was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ProposeError {
    /// This node does not lead, or is handing over.
    #[error("this node is not the leader")]
    NotLeader,
    /// An earlier membership change is not committed yet, or this leader has
    /// not committed an entry of its own term yet.
    #[error("a membership change is still under way")]
    ChangeInProgress,
    /// The new membership differs from the old one by more than one voter.
    #[error("a membership change may add or remove one voter at a time")]
    MoreThanOneVoter,
    /// The new membership has no voter left.
    #[error("a membership needs at least one voter")]
    NoVoters,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: RaftRole,
    /// Its term.
    pub term: Term,
    /// The leader it knows.
    pub leader: Option<NodeId>,
    /// Its commit index.
    pub commit: LogIndex,
    /// Its last index.
    pub last_index: LogIndex,
    /// The membership in force.
    pub membership: Membership,
    /// Leader only: time since each other member was last heard.
    pub since_last_contact: Vec<(NodeId, Milliseconds)>,
    /// Leader only: last index known equal at each other member.
    pub matched: Vec<(NodeId, LogIndex)>,
    /// What it measured of its links: a leader by its rounds, a follower by
    /// probes to other followers.
    pub links: LinkHealth,
    /// What other voters said of theirs last.
    pub peer_reports: Vec<(NodeId, LinkHealth)>,
    /// Times this process transferred leadership.
    pub degraded_transfers: u32,
}

/// What a node keeps in its role.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// With those that would vote for it.
    PreCandidate(BTreeSet<NodeId>),
    /// With those that voted for it; its own vote counts once synced.
    Candidate(BTreeSet<NodeId>),
    Leader(Leadership),
}

/// What a leader keeps for its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub progress: BTreeMap<NodeId, Progress>,
    pub rounds: Rounds,
    pub next_heartbeat: Monotonic,
    /// Index of the first entry of its own term.
    pub first_index: LogIndex,
    pub transfer: Option<Transfer>,
    pub elected_at: Monotonic,
    /// Elected since its predecessor handed over.
    pub by_transfer: bool,
    /// Since when more than half of its links are bad.
    pub badly_placed_since: Option<Monotonic>,
}

/// A Raft node; see the crate's page for how it is driven.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: NodeId,
    pub(crate) options: Options,
    pub(crate) random: ChaCha8Rng,
    /// The latest time seen; it never runs back.
    pub(crate) clock: Monotonic,
    pub(crate) term: Term,
    pub(crate) voted_for: Option<NodeId>,
    pub(crate) commit: LogIndex,
    /// Last index handed to the state machine, by entry or snapshot.
    pub(crate) delivered: LogIndex,
    pub(crate) log: Log,
    pub(crate) history: MembershipHistory,
    /// The newest snapshot, for followers that are too far behind.
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) role: Role,
    pub(crate) leader: Option<NodeId>,
    /// When a message of a live leader was last taken, of whatever term.
    pub(crate) leader_last_contact: Option<Monotonic>,
    /// A restarted voter grants no vote before, for it forgot its promises.
    pub(crate) votes_from: Monotonic,
    pub(crate) election_deadline: Monotonic,
    pub(crate) outbox: Outbox,
    pub(crate) batches: Batches,
    pub(crate) measures: LinkMeasures,
    /// The election this node stands in follows a transfer.
    pub(crate) campaigns_by_transfer: bool,
}

impl Node {
    /// A node from what its disk held. `membership` is used only while neither
    /// snapshot nor log names one: the voters agreed at first start, or an
    /// empty one for a node that waits to be added. The snapshot, if any, is
    /// the state machine's base: the first committed entry handed out is the
    /// one after it.
    pub fn new(
        id: NodeId,
        options: Options,
        membership: Membership,
        recovered: Recovered,
        seed: u64,
        now: Monotonic,
    ) -> Self {
        let hard_state = recovered.hard_state;
        let base = recovered.snapshot.as_ref().map(|s| s.meta.clone());
        let base = base.unwrap_or_default();
        let named = !base.membership.voters.is_empty() || !base.membership.learners.is_empty();
        let membership = if named { base.membership } else { membership };
        let log = Log::new(base.index, base.term, recovered.entries);
        let commit = hard_state.commit.min(log.last_index()).max(base.index);
        let mut node = Self {
            id,
            random: ChaCha8Rng::seed_from_u64(seed),
            clock: now,
            term: hard_state.term.max(log.last_term()),
            voted_for: hard_state
                .voted_for
                .filter(|_| hard_state.term >= log.last_term()),
            commit,
            delivered: base.index,
            history: MembershipHistory::new(base.index, membership),
            snapshot: recovered.snapshot,
            incoming: None,
            role: Role::Follower,
            leader: None,
            leader_last_contact: None,
            votes_from: now,
            election_deadline: now,
            outbox: Outbox::default(),
            batches: Batches::new(hard_state),
            log,
            options,
            measures: LinkMeasures::default(),
            campaigns_by_transfer: false,
        };
        node.recover_memberships();
        node.begin_after_restart(hard_state);
        node
    }

    fn recover_memberships(&mut self) {
        for entry in self.log.iter() {
            if let Payload::Membership(membership) = &entry.payload {
                self.history.push(entry.index, membership.clone());
            }
        }
    }

    /// A node that never saw a term never promised anything and may vote at
    /// once; any other waits until its forgotten promises have run out.
    fn begin_after_restart(&mut self, hard_state: HardState) {
        let wait = hard_state.term > Term(0);
        if wait && !self.options.has(crate::Mutation::VoteAfterRestart) {
            self.votes_from = self.clock + self.options.election_timeout;
        }
        self.reset_election_deadline();
    }

    /// Takes a message from another node.
    pub fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        self.observe(now);
        if from == self.id {
            return;
        }
        match message {
            Message::PreVote { .. }
            | Message::PreVoteReply { .. }
            | Message::Vote { .. }
            | Message::VoteReply { .. } => self.step_election(from, message),
            Message::Append { .. } | Message::SnapshotChunk { .. } => {
                self.step_follower(from, message);
            }
            Message::AppendReply { .. } | Message::SnapshotReply { .. } => {
                self.step_leader(from, message);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(term),
            Message::Probe { .. } | Message::ProbeReply { .. } => self.step_probe(from, message),
        }
    }

    /// Looks at the clock: elections, heartbeats, loss of the lease.
    pub fn tick(&mut self, now: Monotonic) {
        self.observe(now);
        match &self.role {
            Role::Leader(leadership) => {
                if self.clock >= leadership.next_heartbeat {
                    self.begin_round();
                    self.give_way_if_badly_placed();
                }
                self.check_transfer();
            }
            _ if self.clock >= self.election_deadline => self.on_election_timeout(),
            _ => {}
        }
        self.probe_when_due();
    }

    /// Takes the time, before anything else is done with an input: a leader
    /// that slept too long must not act as one any more.
    pub(crate) fn observe(&mut self, now: Monotonic) {
        self.clock = self.clock.max(now);
        if !self.hears_quorum() {
            tracing::info!(node = %self.id, term = %self.term, "stepped down: no quorum");
            self.release_followers();
            self.become_follower(self.term, None);
        }
    }

    /// When [`Node::tick`] wants to be called next.
    pub fn next_wakeup(&self) -> Monotonic {
        match &self.role {
            Role::Leader(leadership) => match leadership.transfer_deadline() {
                Some(deadline) => leadership.next_heartbeat.min(deadline),
                None => leadership.next_heartbeat,
            },
            _ if self.options.transfer_when_degraded => {
                self.election_deadline.min(self.measures.next_probe)
            }
            _ => self.election_deadline,
        }
    }

    /// Appends a command; its index tells when it is committed. The caller
    /// must check the term of the committed entry.
    pub fn propose(&mut self, now: Monotonic, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        self.observe(now);
        self.check_may_propose()?;
        Ok(self
            .log
            .push(self.term, Payload::Command(Arc::from(command))))
    }

    pub(crate) fn check_may_propose(&self) -> Result<(), ProposeError> {
        match &self.role {
            Role::Leader(leadership) if leadership.transfer.is_none() => Ok(()),
            _ => Err(ProposeError::NotLeader),
        }
    }

    /// Queues a message that promises nothing about the disk.
    pub(crate) fn send(&mut self, to: NodeId, message: Message) {
        self.outbox.messages.push(Outgoing { to, message });
    }

    /// Queues a message that may leave once all that came before it is synced.
    pub(crate) fn send_after_persist(&mut self, to: NodeId, message: Message) {
        if self.options.has(crate::Mutation::ReplyBeforeSync) {
            self.send(to, message);
            return;
        }
        self.outbox.after_persist.push(Outgoing { to, message });
    }

    /// Returns whether this node leads its term, whether it holds the lease or not.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Says how long the process has kept its messages waiting: an answer that
    /// lay here for so long does not speak against the link.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        self.measures.lag = lag;
    }

    /// This node's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// What the node says of itself.
    pub fn status(&self, now: Monotonic) -> Status {
        let mut status = Status {
            role: self.public_role(),
            term: self.term,
            leader: self.leader,
            commit: self.commit,
            last_index: self.log.last_index(),
            membership: self.membership().clone(),
            since_last_contact: Vec::new(),
            matched: Vec::new(),
            links: self.own_link_health(),
            peer_reports: self.measures.peer_reports(),
            degraded_transfers: self.measures.degraded_transfers,
        };
        if let Role::Leader(leadership) = &self.role {
            status.links = self.leader_link_health();
            for (node, progress) in &leadership.progress {
                let since_last_contact = now.since(progress.last_contact);
                status.since_last_contact.push((*node, since_last_contact));
                status.matched.push((*node, progress.matched));
            }
        }
        status
    }

    fn public_role(&self) -> RaftRole {
        match &self.role {
            Role::Leader(_) => RaftRole::Leader,
            Role::Candidate(_) => RaftRole::Candidate,
            Role::PreCandidate(_) => RaftRole::PreCandidate,
            Role::Follower if self.is_voter() => RaftRole::Follower,
            Role::Follower => RaftRole::Learner,
        }
    }
}
