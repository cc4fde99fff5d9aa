//! How well placed a voter is to lead, and the leader that transfers leadership.
//!
//! A leader that is up, but degraded, is worse than a dead one: its links
//! lose packets or its machine is slow, its lease lapses and comes back, and
//! nobody replaces it, since each time a quorum answers again. So every voter
//! measures how late others answer it:
//!
//! * the leader by the rounds of its heartbeats, which are sent anyway;
//! * a follower by probes to the other followers. Its link to the leader tells
//!   nothing of itself, and is left out. Each probe carries what it measured, so
//!   the leader hears it as well.
//!
//! The leader judges itself by what it has in common with most others: if one
//! link is bad, the other end may be; if more than half of its links are bad, it
//! is. It hands over (see [`crate::transfer`]) if that lasts, and if a follower
//! that is up to date has good links to a quorum without it. It stays where all
//! are bad. Who transferred leadership is not chosen again for a while, and a leader that took
//! over this way keeps its place for a while, so leadership does not wander.
//!
//! Nothing here is part of the safety argument: a wrong measure costs a transfer.

use crate::node::Role;
use crate::{Message, Node};
use std::collections::{BTreeMap, VecDeque};
use types::{Milliseconds, Monotonic, NodeId};

/// An answer is late after this part of the lease: a lease that needs four such
/// answers in a row is about to lapse.
const LATE_DIVISOR: u64 = 4;
/// Heartbeat intervals between two probes.
const PROBE_HEARTBEATS: u64 = 2;
/// Heartbeat intervals in the leader's window of answers.
const ROUND_WINDOW_HEARTBEATS: u64 = 20;
/// Probe intervals in a follower's window of answers: probes are few, and a link
/// that loses one packet in forty must show.
const PROBE_WINDOW: u64 = 40;
/// Late answers to rounds that make a link bad, and their part of all, in percent.
const LATE_ROUNDS: usize = 3;
const LATE_ROUNDS_PERCENT: usize = 15;
/// A round and its answer wait for the loop of the leader four times at most: for
/// the round to be queued and to be written, for the answer to be read and taken.
const LAG_FACTOR: u64 = 4;
/// Late answers to probes that make a link bad.
const LATE_PROBES: usize = 2;
/// Answers without which nothing is known of a link.
const FEWEST_ANSWERS: usize = 5;
/// Heartbeat intervals for which a disk counts as slow after a late sync: longer
/// than the leader's window of answers.
const SLOW_DISK_HEARTBEATS: u64 = 40;
/// A leader is degraded for so many heartbeat intervals before it transfers leadership.
const DEGRADED_HEARTBEATS: u64 = 6;
/// Heartbeat intervals that a leader leads before it judges itself: its window has
/// to fill.
const SETTLE_HEARTBEATS: u64 = 20;
/// The same for a leader that took over from one that transferred leadership.
const SETTLE_AFTER_TRANSFER_HEARTBEATS: u64 = 80;
/// Heartbeat intervals for which a leader that transferred leadership is not chosen again.
const REST_HEARTBEATS: u64 = 600;
/// Entries that a successor may lack when the transfer begins: they follow while
/// proposals wait.
const SUCCESSOR_LAG: u64 = 512;

/// What a voter measured of its links to other voters than the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct LinkHealth {
    /// Links whose answers come in time.
    pub good_links: u8,
    /// Links whose answers come late.
    pub bad_links: u8,
    /// Whether its disk is slow, or was a moment ago: its answers to the leader
    /// come late for that, and not for the link.
    pub slow_disk: bool,
    /// Whether it transferred leadership a while ago.
    pub recently_transferred: bool,
}

impl LinkHealth {
    /// Returns whether the voter could lead without the present leader: it reaches a
    /// quorum of `quorum` voters, and a third of its links at most is bad.
    fn could_lead(&self, quorum: usize) -> bool {
        let links = self.good_links.saturating_add(self.bad_links);
        let reaches = usize::from(self.good_links) + 1 >= quorum;
        let is_fit = !self.slow_disk && !self.recently_transferred;
        reaches && is_fit && self.bad_links.saturating_mul(3) <= links
    }

    /// Returns whether others should stand for election before this voter.
    pub(crate) fn is_poor(&self) -> bool {
        self.slow_disk || self.recently_transferred || self.bad_links > self.good_links
    }
}

/// Answers in a sliding window, each in time or late.
#[derive(Debug, Clone, Default)]
pub(crate) struct Answers {
    answers: VecDeque<(Monotonic, bool)>,
    late: usize,
}

impl Answers {
    /// Records an answer, and forgets those older than the window.
    pub(crate) fn record(&mut self, now: Monotonic, late: bool, window: Milliseconds) {
        self.answers.push_back((now, late));
        self.late += usize::from(late);
        self.forget(now, window);
    }

    fn forget(&mut self, now: Monotonic, window: Milliseconds) {
        while let Some((at, late)) = self.answers.front().copied()
            && now.since(at) > window
        {
            self.late -= usize::from(late);
            self.answers.pop_front();
        }
    }

    fn is_known(&self) -> bool {
        self.answers.len() >= FEWEST_ANSWERS
    }

    /// Returns whether answers to rounds come too late too often.
    fn rounds_are_late(&self) -> bool {
        let share = self.late * 100 >= LATE_ROUNDS_PERCENT * self.answers.len();
        self.is_known() && self.late >= LATE_ROUNDS && share
    }

    fn probes_are_late(&self) -> bool {
        self.late >= LATE_PROBES
    }
}

/// A follower's measure of its link to another voter.
#[derive(Debug, Clone, Default)]
struct ProbedLink {
    /// Probes without an answer, by number, with the time they left.
    waiting: VecDeque<(u64, Monotonic)>,
    answers: Answers,
}

/// What a node knows of its own links and, as the leader, of what others measured'.
#[derive(Debug, Default)]
pub(crate) struct LinkMeasures {
    links: BTreeMap<NodeId, ProbedLink>,
    last_probe: u64,
    pub(crate) next_probe: Monotonic,
    /// When a sync last ended late.
    late_sync_at: Option<Monotonic>,
    /// When this node last transferred leadership.
    last_degraded_transfer: Option<Monotonic>,
    /// Times it did.
    pub(crate) degraded_transfers: u32,
    /// How long this process has kept its messages waiting.
    pub(crate) lag: Milliseconds,
    /// What other voters said last, and when.
    peer_reports: BTreeMap<NodeId, (LinkHealth, Monotonic)>,
}

impl LinkMeasures {
    /// What other voters said last.
    pub(crate) fn peer_reports(&self) -> Vec<(NodeId, LinkHealth)> {
        let peer_reports = self.peer_reports.iter();
        peer_reports
            .map(|(node, (health, _))| (*node, *health))
            .collect()
    }
}

impl Node {
    fn late_after(&self) -> Milliseconds {
        Milliseconds(self.options.leader_lease.0 / LATE_DIVISOR)
    }

    fn heartbeats(&self, count: u64) -> Milliseconds {
        Milliseconds(self.options.heartbeat_interval.0.saturating_mul(count))
    }

    /// Sends probes when they are due. A leader has its rounds.
    pub(crate) fn probe_when_due(&mut self) {
        if !self.options.transfer_when_degraded || self.clock < self.measures.next_probe {
            return;
        }
        let interval = self.heartbeats(PROBE_HEARTBEATS);
        self.measures.next_probe = self.clock + interval;
        if !self.is_voter() || matches!(self.role, Role::Leader(_)) {
            self.measures.links.clear();
            return;
        }
        self.measures.last_probe += 1;
        let number = self.measures.last_probe;
        let health = self.own_link_health();
        let others = self.other_voters();
        self.measures.links.retain(|node, _| others.contains(node));
        for to in others {
            self.send(to, Message::Probe { number, health });
            if Some(to) != self.leader {
                let link = self.measures.links.entry(to).or_default();
                link.waiting.push_back((number, self.clock));
                if link.waiting.len() as u64 > PROBE_WINDOW {
                    link.waiting.pop_front();
                }
            }
        }
    }

    /// Takes a probe of another voter, or the answer to one.
    pub(crate) fn step_probe(&mut self, from: NodeId, message: Message) {
        match message {
            Message::Probe { number, health } => {
                self.measures
                    .peer_reports
                    .insert(from, (health, self.clock));
                if !matches!(self.role, Role::Leader(_)) {
                    self.send(from, Message::ProbeReply { number });
                }
            }
            Message::ProbeReply { number } => self.record_probe(from, number),
            _ => {}
        }
    }

    fn record_probe(&mut self, from: NodeId, number: u64) {
        let late_after = self.late_after();
        let window = self.heartbeats(PROBE_HEARTBEATS * PROBE_WINDOW);
        let now = self.clock;
        let Some(link) = self.measures.links.get_mut(&from) else {
            return;
        };
        while let Some((waiting, sent)) = link.waiting.front().copied()
            && waiting <= number
        {
            link.waiting.pop_front();
            if waiting == number {
                let late = now.since(sent) > late_after;
                link.answers.record(now, late, window);
            }
        }
    }

    /// What this voter measured, without its link to the leader.
    pub(crate) fn own_link_health(&self) -> LinkHealth {
        let late_after = self.late_after();
        let mut health = LinkHealth {
            slow_disk: self.has_slow_disk(),
            recently_transferred: self.is_resting(),
            ..LinkHealth::default()
        };
        for (node, link) in &self.measures.links {
            let overdue = link.waiting.front();
            let unresponsive =
                overdue.is_some_and(|(_, sent)| self.clock.since(*sent) > late_after);
            if Some(*node) == self.leader || !link.answers.is_known() {
                continue;
            }
            match link.answers.probes_are_late() || unresponsive {
                true => health.bad_links = health.bad_links.saturating_add(1),
                false => health.good_links = health.good_links.saturating_add(1),
            }
        }
        health
    }

    fn is_resting(&self) -> bool {
        let rest = self.heartbeats(REST_HEARTBEATS);
        let last_transfer = self.measures.last_degraded_transfer;
        last_transfer.is_some_and(|at| self.clock.since(at) < rest)
    }

    /// Records how long a sync took.
    pub(crate) fn record_sync(&mut self, took: Milliseconds) {
        if took > self.late_after() {
            self.measures.late_sync_at = Some(self.clock);
        }
    }

    fn has_slow_disk(&self) -> bool {
        let lately = self.heartbeats(SLOW_DISK_HEARTBEATS);
        let late_sync = self.measures.late_sync_at;
        let was_late = late_sync.is_some_and(|at| self.clock.since(at) < lately);
        let waits = self.batches.oldest_given_at();
        was_late || waits.is_some_and(|at| self.clock.since(at) > self.late_after())
    }

    /// Leader: notes how long a follower took to answer a round.
    pub(crate) fn record_round_trip(&mut self, from: NodeId, took: Milliseconds) {
        let lag = self.measures.lag.0.saturating_mul(LAG_FACTOR);
        let on_the_way = Milliseconds(took.0.saturating_sub(lag));
        let late = on_the_way > self.late_after();
        let window = self.heartbeats(ROUND_WINDOW_HEARTBEATS);
        let now = self.clock;
        if let Role::Leader(leadership) = &mut self.role
            && let Some(progress) = leadership.progress.get_mut(&from)
        {
            progress.answers.record(now, late, window);
        }
    }

    /// Leader: its links to other voters, as its rounds tell.
    pub(crate) fn leader_link_health(&self) -> LinkHealth {
        let mut health = LinkHealth::default();
        let Role::Leader(leadership) = &self.role else {
            return health;
        };
        let voters = &self.membership().voters;
        let members = leadership.progress.iter();
        for (node, progress) in members.filter(|(node, _)| voters.contains_key(node)) {
            let report = self.measures.peer_reports.get(node);
            if report.is_some_and(|(health, _)| health.slow_disk) {
                continue;
            }
            if progress.answers.rounds_are_late() {
                health.bad_links = health.bad_links.saturating_add(1);
            } else if progress.answers.is_known() {
                health.good_links = health.good_links.saturating_add(1);
            }
        }
        health
    }

    /// Leader, at each round: transfers leadership if it has been degraded for a while
    /// and another voter is not.
    pub(crate) fn give_way_if_badly_placed(&mut self) {
        let health = self.leader_link_health();
        let badly_placed = health.bad_links > health.good_links;
        let (now, timeout) = (self.clock, self.heartbeats(DEGRADED_HEARTBEATS));
        let first = self.heartbeats(SETTLE_HEARTBEATS);
        let after_transfer = self.heartbeats(SETTLE_AFTER_TRANSFER_HEARTBEATS);
        let transfer_when_degraded = self.options.transfer_when_degraded;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if !badly_placed {
            leadership.badly_placed_since = None;
            return;
        }
        let since = *leadership.badly_placed_since.get_or_insert(now);
        let settled_after = match leadership.by_transfer {
            true => after_transfer,
            false => first,
        };
        let is_due =
            now.since(since) >= timeout && now.since(leadership.elected_at) >= settled_after;
        if !transfer_when_degraded || !is_due || leadership.transfer.is_some() {
            return;
        }
        let Some(target) = self.best_placed_voter() else {
            return;
        };
        tracing::warn!(node = %self.id, term = %self.term, peer = %target,
            bad_links = health.bad_links, good_links = health.good_links,
            lag_ms = self.measures.lag.0,
            "transferring leadership: links degraded");
        self.transfer_to(target, true);
    }

    /// This node transferred leadership.
    pub(crate) fn record_degraded_transfer(&mut self) {
        self.measures.last_degraded_transfer = Some(self.clock);
        self.measures.degraded_transfers = self.measures.degraded_transfers.saturating_add(1);
    }

    /// The voter that could lead and has the fewest bad links; among equals the
    /// one that was heard last, since the link to it works at this moment.
    fn best_placed_voter(&self) -> Option<NodeId> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        let membership = self.membership();
        let quorum = membership.quorum();
        let fresh = self.options.election_timeout;
        let last_index = self.log.last_index().0;
        let peer_reports = self.measures.peer_reports.iter();
        peer_reports
            .filter(|(node, (health, at))| {
                let progress = leadership.progress.get(node);
                membership.voters.contains_key(node)
                    && health.could_lead(quorum)
                    && self.clock.since(*at) < fresh
                    && progress.is_some_and(|progress| {
                        progress.matched.0.saturating_add(SUCCESSOR_LAG) >= last_index
                    })
            })
            .min_by_key(|(node, (health, _))| {
                let last_contact = leadership.progress.get(node).map(|p| p.last_contact);
                (health.bad_links, std::cmp::Reverse(last_contact))
            })
            .map(|(node, _)| *node)
    }
}
