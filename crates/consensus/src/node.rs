//! The Raft node, which composes the components of this crate.
//!
//! Each submodule implements one part of the algorithm on [`Node`].

mod election;
mod follower;
mod leadership_transfer;
mod lease;
mod link_probes;
mod membership_change;
mod persistence;
mod replication;
mod snapshots;

use crate::election_timer::ElectionTimer;
use crate::leadership::Leadership;
use crate::link_health::LinkMonitor;
use crate::log::Log;
use crate::membership::MembershipHistory;
use crate::persist_queue::{Outbox, PersistQueue};
use crate::role::Role;
use crate::snapshot::SnapshotReceiver;
use crate::{
    HardState, Membership, Message, Mutation, Options, Outgoing, Payload, ProposeError, RaftRole,
    Recovered, Snapshot, Status,
};
use std::sync::Arc;
use types::{LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// A Raft node without I/O. The caller passes in messages, ticks and proposals
/// and carries out each [`crate::Ready`]; see the crate documentation.
#[derive(Debug)]
pub struct Node {
    id: NodeId,
    options: Options,
    /// Latest time that the caller passed in; never decreases.
    clock: Monotonic,
    term: Term,
    voted_for: Option<NodeId>,
    commit: LogIndex,
    /// Last index handed out to be applied, as an entry or in a snapshot.
    delivered: LogIndex,
    log: Log,
    membership_history: MembershipHistory,
    /// Newest snapshot, for followers that need compacted entries; `None`
    /// before the first one.
    snapshot: Option<Snapshot>,
    snapshot_receiver: SnapshotReceiver,
    role: Role,
    leader: Option<NodeId>,
    /// When this node last accepted a message from a leader, in any term;
    /// `None` before the first one since its start.
    leader_last_contact: Option<Monotonic>,
    /// Time from which this node may grant votes. A restarted voter has lost
    /// its vote restriction (see [`lease`]) and waits until it would have
    /// ended.
    may_vote_from: Monotonic,
    election_timer: ElectionTimer,
    outbox: Outbox,
    persist_queue: PersistQueue,
    link_monitor: LinkMonitor,
    /// Whether a leadership transfer started the node's last election.
    last_election_by_transfer: bool,
}

impl Node {
    /// Creates a node from the data recovered from its disk.
    ///
    /// `membership` is used only while neither the snapshot nor the log has
    /// one: it holds the voters of the first start, or is empty for a node that
    /// is to be added later. The state machine starts from the recovered
    /// snapshot, if there is one: the first committed entry handed out is the
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
        let has_recorded_membership =
            !base.membership.voters.is_empty() || !base.membership.learners.is_empty();
        let membership = if has_recorded_membership {
            base.membership
        } else {
            membership
        };
        let log = Log::new(base.index, base.term, recovered.entries);
        let commit = hard_state.commit.min(log.last_index()).max(base.index);
        let mut node = Self {
            id,
            clock: now,
            term: hard_state.term.max(log.last_term()),
            voted_for: hard_state
                .voted_for
                .filter(|_| hard_state.term >= log.last_term()),
            commit,
            delivered: base.index,
            membership_history: MembershipHistory::new(base.index, membership),
            snapshot: recovered.snapshot,
            snapshot_receiver: SnapshotReceiver::default(),
            role: Role::Follower,
            leader: None,
            leader_last_contact: None,
            may_vote_from: now,
            election_timer: ElectionTimer::new(seed, now),
            outbox: Outbox::default(),
            persist_queue: PersistQueue::new(hard_state),
            log,
            options,
            link_monitor: LinkMonitor::default(),
            last_election_by_transfer: false,
        };
        node.recover_memberships();
        node.start_election_timer(hard_state);
        node
    }

    fn recover_memberships(&mut self) {
        for entry in self.log.iter() {
            if let Payload::Membership(membership) = &entry.payload {
                self.membership_history
                    .push(entry.index, membership.clone());
            }
        }
    }

    /// Starts the election timer. A node that has seen a term may have accepted
    /// a message from a leader just before it restarted, so it grants no vote
    /// for one election timeout. A node that never saw a term may vote at once.
    fn start_election_timer(&mut self, hard_state: HardState) {
        let has_seen_term = hard_state.term > Term(0);
        if has_seen_term && !self.options.disables(Mutation::VoteAfterRestart) {
            self.may_vote_from = self.clock + self.options.election_timeout;
        }
        self.reset_election_timer();
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        self.advance_clock(now);
        if from == self.id {
            return;
        }
        match message {
            Message::PreVote { .. }
            | Message::PreVoteReply { .. }
            | Message::Vote { .. }
            | Message::VoteReply { .. } => self.step_election(from, &message),
            Message::Append { .. } | Message::SnapshotChunk { .. } => {
                self.step_follower(from, message);
            }
            Message::AppendReply { .. } | Message::SnapshotReply { .. } => {
                self.step_leader(from, &message);
            }
            Message::TimeoutNow { term } => self.on_timeout_now(term),
            Message::Probe { .. } | Message::ProbeReply { .. } => self.step_probe(from, &message),
        }
    }

    /// Handles what is due at `now`: elections, heartbeats, probes and
    /// timeouts.
    pub fn tick(&mut self, now: Monotonic) {
        self.advance_clock(now);
        if let Role::Leader(leadership) = &self.role {
            if leadership.heartbeat_is_due(self.clock) {
                self.begin_round();
                self.transfer_if_degraded();
            }
            self.expire_transfer();
        } else if self.clock >= self.election_timer.deadline() {
            self.on_election_timeout();
        }
        self.probe_if_due();
    }

    /// Advances the clock before an input is handled. A leader without the
    /// replies of a quorum steps down here, so one that was suspended for too
    /// long does so before it acts.
    fn advance_clock(&mut self, now: Monotonic) {
        self.clock = self.clock.max(now);
        if !self.has_quorum_contact() {
            tracing::info!(node = %self.id, term = %self.term, "stepped down: no quorum");
            self.request_successor_election();
            self.become_follower(self.term, None);
        }
    }

    /// Returns when the caller must call [`Node::tick`] next.
    pub fn next_wakeup(&self) -> Monotonic {
        match &self.role {
            Role::Leader(leadership) => leadership.next_wakeup(),
            _ if self.options.transfer_when_degraded => {
                let deadline = self.election_timer.deadline();
                deadline.min(self.link_monitor.next_probe())
            }
            _ => self.election_timer.deadline(),
        }
    }

    /// Appends a command and returns its index. The proposal is committed if
    /// the entry committed at that index has the term of the proposal.
    ///
    /// # Errors
    ///
    /// [`ProposeError::NotLeader`] if this node is not the leader or is
    /// transferring leadership.
    pub fn propose(&mut self, now: Monotonic, command: Vec<u8>) -> Result<LogIndex, ProposeError> {
        self.advance_clock(now);
        self.check_may_propose()?;
        let payload = Payload::Command(Arc::from(command));
        Ok(self.log.push(self.term, payload))
    }

    fn check_may_propose(&self) -> Result<(), ProposeError> {
        let is_transferring = self.role.leadership().map(Leadership::is_transferring);
        if is_transferring == Some(false) {
            Ok(())
        } else {
            Err(ProposeError::NotLeader)
        }
    }

    /// Queues a message that may be sent before any sync.
    fn send(&mut self, to: NodeId, message: Message) {
        self.outbox.messages.push(Outgoing { to, message });
    }

    /// Queues a message that may be sent only once all output before it is
    /// synced.
    fn send_after_persist(&mut self, to: NodeId, message: Message) {
        if self.options.disables(Mutation::ReplyBeforeSync) {
            self.send(to, message);
            return;
        }
        self.outbox.after_persist.push(Outgoing { to, message });
    }

    /// Returns whether this node is the leader of its term, with or without the
    /// lease.
    pub fn is_leader(&self) -> bool {
        self.role.is_leader()
    }

    /// Records the lag of this process, the time by which it delays its own
    /// messages. The lag does not count against the node's links.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        self.link_monitor.record_lag(lag);
    }

    /// Returns this node's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the state of the node at `now`, for operators and tests.
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
            links: self.follower_link_health(),
            peer_reports: self.link_monitor.peer_reports(),
            degraded_transfers: self.link_monitor.degraded_transfers(),
        };
        if let Some(leadership) = self.role.leadership() {
            status.links = leadership.link_health(self.membership(), &self.link_monitor);
            for (node, progress) in leadership.members() {
                let since_last_contact = now.since(progress.last_contact());
                status.since_last_contact.push((node, since_last_contact));
                status.matched.push((node, progress.matched()));
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
