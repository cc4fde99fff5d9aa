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

/// A Raft node without I/O; the crate's page says how it is driven.
#[derive(Debug)]
pub struct Node {
    id: NodeId,
    options: Options,
    /// The latest time seen; it never decreases.
    clock: Monotonic,
    term: Term,
    voted_for: Option<NodeId>,
    commit: LogIndex,
    /// Last index handed to the state machine, as an entry or in a snapshot.
    delivered: LogIndex,
    log: Log,
    history: MembershipHistory,
    /// The newest snapshot, for followers that need compacted entries.
    snapshot: Option<Snapshot>,
    snapshot_receiver: SnapshotReceiver,
    role: Role,
    leader: Option<NodeId>,
    /// When a message of a live leader was last accepted, in whatever term.
    leader_last_contact: Option<Monotonic>,
    /// A restarted voter grants no vote before, since it lost its promises.
    votes_from: Monotonic,
    election_timer: ElectionTimer,
    outbox: Outbox,
    persist_queue: PersistQueue,
    link_monitor: LinkMonitor,
    /// Whether the node's last election was started by a transfer.
    campaigns_by_transfer: bool,
}

impl Node {
    /// Creates a node from the data recovered from its disk.
    ///
    /// `membership` is used only while neither snapshot nor log has one: the
    /// voters of the first start, or an empty one for a node that waits to be
    /// added. The state machine starts from the recovered snapshot, if any:
    /// the first committed entry handed out is the one after it.
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
        let is_recorded =
            !base.membership.voters.is_empty() || !base.membership.learners.is_empty();
        let membership = if is_recorded {
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
            history: MembershipHistory::new(base.index, membership),
            snapshot: recovered.snapshot,
            snapshot_receiver: SnapshotReceiver::default(),
            role: Role::Follower,
            leader: None,
            leader_last_contact: None,
            votes_from: now,
            election_timer: ElectionTimer::new(seed, now),
            outbox: Outbox::default(),
            persist_queue: PersistQueue::new(hard_state),
            log,
            options,
            link_monitor: LinkMonitor::default(),
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

    /// A node that never saw a term made no promise and may vote at once. Any
    /// other waits until the promises that it lost have expired.
    fn begin_after_restart(&mut self, hard_state: HardState) {
        let may_have_promised = hard_state.term > Term(0);
        if may_have_promised && !self.options.disables(Mutation::VoteAfterRestart) {
            self.votes_from = self.clock + self.options.election_timeout;
        }
        self.reset_election_timer();
    }

    /// Handles a message from another node.
    pub fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        self.observe(now);
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

    /// Acts on the passage of time: elections, heartbeats, probes, timeouts.
    pub fn tick(&mut self, now: Monotonic) {
        self.observe(now);
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

    /// Advances the clock before an input is handled: a leader that was
    /// suspended for too long must step down before it acts.
    fn observe(&mut self, now: Monotonic) {
        self.clock = self.clock.max(now);
        if !self.has_quorum_contact() {
            tracing::info!(node = %self.id, term = %self.term, "stepped down: no quorum");
            self.release_followers();
            self.become_follower(self.term, None);
        }
    }

    /// When the caller must call [`Node::tick`] next.
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
        self.observe(now);
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

    /// Queues a message that promises nothing about the disk.
    fn send(&mut self, to: NodeId, message: Message) {
        self.outbox.messages.push(Outgoing { to, message });
    }

    /// Queues a message that may be sent once all output before it is synced.
    fn send_after_persist(&mut self, to: NodeId, message: Message) {
        if self.options.disables(Mutation::ReplyBeforeSync) {
            self.send(to, message);
            return;
        }
        self.outbox.after_persist.push(Outgoing { to, message });
    }

    /// Returns whether this node leads its term, with or without the lease.
    pub fn is_leader(&self) -> bool {
        self.role.is_leader()
    }

    /// Records how long this process delays its own messages, so that its own
    /// lag does not count against its links.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        self.link_monitor.record_lag(lag);
    }

    /// This node's identity.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The state of the node at `now`.
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
