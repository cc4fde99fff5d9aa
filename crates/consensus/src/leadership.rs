//! State of a leader in its term: the replication progress of each other
//! member, the rounds of heartbeats, and a transfer in progress.

use crate::link_health::{LinkHealth, LinkMonitor};
use crate::progress::{Progress, SendContext};
use crate::rounds::Rounds;
use crate::transfer::{Transfer, TransferReason};
use crate::{Membership, Options, Outgoing};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use types::{LogIndex, Milliseconds, Monotonic, NodeId};

/// Heartbeat intervals for which a leader's links must stay degraded before it
/// transfers leadership.
const DEGRADED_HEARTBEATS: u64 = 6;
/// Heartbeat intervals that must pass after an election before the leader may
/// transfer leadership because its links are degraded: its window of replies
/// has to fill first.
const MIN_LEADERSHIP_HEARTBEATS: u64 = 20;
/// Heartbeat intervals that must pass instead if a transfer caused the election
/// of the leader.
const MIN_LEADERSHIP_AFTER_TRANSFER_HEARTBEATS: u64 = 80;
/// Entries that the target of a transfer may lack when a transfer because of
/// degraded links begins. They are sent while proposals are rejected.
const MAX_TARGET_LAG: u64 = 512;

/// State of a leader in its term.
#[derive(Debug)]
pub(crate) struct Leadership {
    progress: BTreeMap<NodeId, Progress>,
    rounds: Rounds,
    next_heartbeat: Monotonic,
    /// Index of the first entry of the leader's term.
    first_index: LogIndex,
    transfer: Option<Transfer>,
    elected_at: Monotonic,
    elected_by_transfer: bool,
    /// When the leader's links became degraded; `None` while they are not.
    degraded_since: Option<Monotonic>,
}

impl Leadership {
    /// Creates the state of a leader elected at `now` that appended the first
    /// entry of its term at `first_index`.
    pub fn new(first_index: LogIndex, now: Monotonic, elected_by_transfer: bool) -> Self {
        Self {
            progress: BTreeMap::new(),
            rounds: Rounds::new(),
            next_heartbeat: now,
            first_index,
            transfer: None,
            elected_at: now,
            elected_by_transfer,
            degraded_since: None,
        }
    }

    /// Returns the index of the first entry of the leader's term.
    pub fn first_index(&self) -> LogIndex {
        self.first_index
    }

    /// Returns the replication progress of each other member.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &Progress)> {
        self.progress.iter().map(|(node, member)| (*node, member))
    }

    /// Returns the replication progress of one other member, to be modified;
    /// `None` if `node` is not another member.
    pub fn member_mut(&mut self, node: NodeId) -> Option<&mut Progress> {
        self.progress.get_mut(&node)
    }

    /// Removes former members and adds new ones.
    pub fn update_members(&mut self, others: &[NodeId], last_index: LogIndex, now: Monotonic) {
        self.progress.retain(|node, _| others.contains(node));
        for node in others {
            self.progress
                .entry(*node)
                .or_insert_with(|| Progress::new(last_index, now));
        }
    }

    /// Returns whether the next round of heartbeats is due.
    pub fn heartbeat_is_due(&self, now: Monotonic) -> bool {
        now >= self.next_heartbeat
    }

    /// Returns when the next round is due or the transfer times out, whichever
    /// comes first.
    pub fn next_wakeup(&self) -> Monotonic {
        match &self.transfer {
            Some(transfer) => self.next_heartbeat.min(transfer.deadline()),
            None => self.next_heartbeat,
        }
    }

    /// Begins a round of heartbeats and schedules the next one.
    pub fn begin_round(&mut self, now: Monotonic, options: &Options) {
        self.rounds.begin(now, options.election_timeout);
        self.next_heartbeat = now + options.heartbeat_interval;
    }

    /// Returns the number of the newest round.
    pub fn current_round(&self) -> u64 {
        self.rounds.current()
    }

    /// Calls `send` for each other member, to queue messages to it.
    pub fn send_to_members(
        &mut self,
        context: &SendContext<'_>,
        messages: &mut Vec<Outgoing>,
        send: impl Fn(&mut Progress, &SendContext<'_>, NodeId, &mut Vec<Outgoing>),
    ) {
        for (node, progress) in &mut self.progress {
            send(progress, context, *node, messages);
        }
    }

    /// Returns the start of the newest round that a quorum answered; `None` if
    /// there is none. The leader counts as answering at `now`.
    pub fn quorum_round_begun_at(
        &self,
        own_id: NodeId,
        membership: &Membership,
        now: Monotonic,
    ) -> Option<Monotonic> {
        let round_begun_at = |voter: &NodeId| {
            if *voter == own_id {
                return Some(now);
            }
            self.progress.get(voter)?.answered_round_begun_at()
        };
        let mut times: Vec<Option<Monotonic>> =
            membership.voters.keys().map(round_begun_at).collect();
        times.sort_unstable();
        times
            .into_iter()
            .rev()
            .nth(membership.quorum() - 1)
            .flatten()
    }

    /// Returns whether a quorum, the leader included, replied less than
    /// `timeout` ago.
    pub fn has_quorum_contact(
        &self,
        own_id: NodeId,
        membership: &Membership,
        now: Monotonic,
        timeout: Milliseconds,
    ) -> bool {
        let replied_recently = |voter: &&NodeId| {
            let since_contact = if **voter == own_id {
                Milliseconds(0)
            } else if let Some(progress) = self.progress.get(voter) {
                now.since(progress.last_contact())
            } else {
                return false;
            };
            since_contact < timeout
        };
        let voters = membership.voters.keys();
        voters.filter(replied_recently).count() >= membership.quorum()
    }

    /// Returns the highest index that a quorum has synced. The leader's own log
    /// is synced up to `own_synced`.
    pub fn quorum_matched(
        &self,
        own_id: NodeId,
        membership: &Membership,
        own_synced: LogIndex,
    ) -> Option<LogIndex> {
        let matched = |voter: &NodeId| {
            if *voter == own_id {
                return own_synced;
            }
            let progress = self.progress.get(voter);
            progress.map_or(LogIndex(0), Progress::matched)
        };
        let mut indexes: Vec<LogIndex> = membership.voters.keys().map(matched).collect();
        indexes.sort_unstable();
        indexes.into_iter().rev().nth(membership.quorum() - 1)
    }

    /// Records a member's reply to a round, and whether it was late. If
    /// `lease_from_reply` is set, as only a mutation test does, the arrival of
    /// the reply counts as the start of the round.
    pub fn record_reply(
        &mut self,
        from: NodeId,
        round: u64,
        lease_from_reply: bool,
        now: Monotonic,
        monitor: &LinkMonitor,
        options: &Options,
    ) {
        let begun_at = self.rounds.begun_at(round);
        let lease_start = if lease_from_reply {
            Some(now)
        } else {
            begun_at
        };
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.record_contact(now, lease_start);
        if let Some(begun_at) = begun_at {
            let is_late = monitor.is_late_round_trip(now.since(begun_at), options);
            progress.record_round_reply(round, is_late, now, options);
        }
    }

    /// Returns the health of the leader's links to the voters.
    pub fn link_health(&self, membership: &Membership, monitor: &LinkMonitor) -> LinkHealth {
        let members = self.progress.iter();
        let voters = members.filter(|(node, _)| membership.voters.contains_key(node));
        monitor.leader_health(voters.map(|(node, progress)| (node, progress.round_replies())))
    }

    /// Records whether the links are degraded. Returns whether they have been
    /// degraded for long enough, and the leader was elected long enough ago, to
    /// transfer leadership.
    pub fn update_degraded(
        &mut self,
        is_degraded: bool,
        now: Monotonic,
        options: &Options,
    ) -> bool {
        if !is_degraded {
            self.degraded_since = None;
            return false;
        }
        let since = *self.degraded_since.get_or_insert(now);
        let min_leadership = if self.elected_by_transfer {
            MIN_LEADERSHIP_AFTER_TRANSFER_HEARTBEATS
        } else {
            MIN_LEADERSHIP_HEARTBEATS
        };
        now.since(since) >= options.heartbeats(DEGRADED_HEARTBEATS)
            && now.since(self.elected_at) >= options.heartbeats(min_leadership)
    }

    /// Returns the voter with the longest matching log; among equals the one
    /// that replied last. With `max_reply_age`, only voters whose last reply is
    /// more recent count.
    pub fn voter_with_longest_log(
        &self,
        membership: &Membership,
        now: Monotonic,
        max_reply_age: Option<Milliseconds>,
    ) -> Option<NodeId> {
        let is_responsive = |progress: &Progress| {
            max_reply_age.is_none_or(|limit| now.since(progress.last_contact()) < limit)
        };
        self.members()
            .filter(|(node, _)| membership.voters.contains_key(node))
            .filter(|(_, progress)| is_responsive(progress))
            .max_by_key(|(_, progress)| (progress.matched(), progress.last_contact()))
            .map(|(node, _)| node)
    }

    /// Returns the voter that is fit to lead, has a nearly complete log and has
    /// the fewest bad links; among equals the one that replied last, since its
    /// link works at present.
    pub fn healthiest_voter(
        &self,
        membership: &Membership,
        monitor: &LinkMonitor,
        last_index: LogIndex,
        now: Monotonic,
        options: &Options,
    ) -> Option<NodeId> {
        let peers = monitor.fit_peers(membership.quorum(), options.election_timeout, now);
        peers
            .filter(|(node, _)| membership.voters.contains_key(node))
            .filter_map(|(node, bad_links)| {
                let progress = self.progress.get(&node)?;
                let max_index = progress.matched().0.saturating_add(MAX_TARGET_LAG);
                (max_index >= last_index.0).then_some((node, bad_links, progress.last_contact()))
            })
            .min_by_key(|(_, bad_links, last_contact)| (*bad_links, Reverse(*last_contact)))
            .map(|(node, ..)| node)
    }

    /// Returns whether a transfer is in progress.
    pub fn is_transferring(&self) -> bool {
        self.transfer.is_some()
    }

    /// Returns the transfer in progress.
    pub fn transfer(&self) -> Option<&Transfer> {
        self.transfer.as_ref()
    }

    /// Returns whether the leader gave up its lease of this term because it
    /// sent `TimeoutNow`.
    pub fn has_given_up_lease(&self) -> bool {
        self.transfer
            .as_ref()
            .is_some_and(Transfer::timeout_now_sent)
    }

    /// Begins a transfer.
    pub fn begin_transfer(&mut self, transfer: Transfer) {
        self.transfer = Some(transfer);
    }

    /// Ends the transfer; proposals are accepted again.
    pub fn cancel_transfer(&mut self) {
        self.transfer = None;
    }

    /// Gives up the lease and returns the target of the transfer, with the
    /// reason, if the target has the whole log. The caller must then send
    /// `TimeoutNow` to it.
    pub fn take_ready_target(&mut self, last_index: LogIndex) -> Option<(NodeId, TransferReason)> {
        let transfer = self.transfer.as_mut()?;
        let progress = self.progress.get(&transfer.target())?;
        transfer
            .mark_sent_if_caught_up(progress.matched(), last_index)
            .then_some((transfer.target(), transfer.reason()))
    }
}
