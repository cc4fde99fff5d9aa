//! Health of the links between voters, as measured by this node.
//!
//! A leader whose links lose packets, or whose machine is slow, is worse than a
//! crashed one: its lease expires and is renewed again and again, and no voter
//! replaces it, since a quorum replies each time. So every voter measures how
//! many replies of the other voters are late:
//!
//! * the leader by its rounds of heartbeats, which it sends anyway;
//! * a follower by probes to the other followers. Its link to the leader does
//!   not count, since late replies on it do not show that the follower's end
//!   is at fault. Each probe carries the sender's [`LinkHealth`], and the
//!   leader receives probes as well.
//!
//! If one link of the leader is bad, the cause may be the other end. If more
//! than half of its links are bad, the leader counts as degraded. It transfers
//! leadership if that lasts and if a voter with a complete enough log has good
//! links to a quorum without the leader; if the links of all voters are bad, it
//! remains leader. A voter that transferred leadership is not chosen as target
//! for a while, and a leader elected by such a transfer remains for a while, so
//! leadership does not oscillate.
//!
//! Safety does not depend on these measurements: a wrong one costs a transfer.

use crate::Options;
use std::collections::{BTreeMap, VecDeque};
use types::{Milliseconds, Monotonic, NodeId};

/// Heartbeat intervals between two probes.
const PROBE_INTERVAL_HEARTBEATS: u64 = 2;
/// Heartbeat intervals in the leader's window of replies.
const ROUND_WINDOW_HEARTBEATS: u64 = 20;
/// Probe intervals in a follower's window of replies. Probes are rare, and the
/// window must show a link that loses one packet in forty.
const PROBE_WINDOW_INTERVALS: u64 = 40;
/// Late replies to rounds from which on a link may count as bad.
const MIN_LATE_ROUNDS: usize = 3;
/// Share of late replies to rounds from which on a link may count as bad, in
/// percent.
const MIN_LATE_ROUNDS_PERCENT: usize = 15;
/// Multiple of the process's lag that is subtracted from a round trip: a round
/// and its reply wait for the leader's event loop at most four times, for the
/// round to be queued and to be written, and for the reply to be read and to be
/// handled.
const LAG_FACTOR: u64 = 4;
/// Late replies to probes from which on a link counts as bad.
const MIN_LATE_PROBES: usize = 2;
/// Smallest number of replies from which the health of a link is known.
const MIN_REPLIES: usize = 5;
/// Heartbeat intervals for which a disk counts as slow after a late sync:
/// longer than the leader's window of replies.
const SLOW_DISK_HEARTBEATS: u64 = 40;
/// Heartbeat intervals for which a voter that transferred leadership is not a
/// target of a transfer.
const TRANSFER_COOLDOWN_HEARTBEATS: u64 = 600;
/// Divisor of a voter's number of links that gives the largest number of bad
/// links with which the voter is fit to lead.
const FIT_BAD_LINKS_DIVISOR: u8 = 3;

/// Health of a voter's links to the other voters except the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, serde::Serialize, serde::Deserialize)]
pub struct LinkHealth {
    /// Links whose replies arrive in time.
    pub good_links: u8,
    /// Links whose replies arrive late.
    pub bad_links: u8,
    /// Whether the voter's disk is slow, or was a short time ago: its replies
    /// to the leader are late because of the disk and not of the link.
    pub slow_disk: bool,
    /// Whether the voter transferred leadership a short time ago.
    pub recently_transferred: bool,
}

impl LinkHealth {
    /// Returns whether more links are bad than good.
    pub(crate) fn is_degraded(&self) -> bool {
        self.bad_links > self.good_links
    }

    /// Returns whether the voter could lead without the current leader: it
    /// reaches `quorum` voters, itself included, and at most a third of its
    /// links are bad.
    fn could_lead(&self, quorum: usize) -> bool {
        let links = self.good_links.saturating_add(self.bad_links);
        let reaches_quorum = usize::from(self.good_links) + 1 >= quorum;
        let is_available = !self.slow_disk && !self.recently_transferred;
        let has_few_bad_links = self.bad_links.saturating_mul(FIT_BAD_LINKS_DIVISOR) <= links;
        reaches_quorum && is_available && has_few_bad_links
    }

    /// Returns whether other voters should start an election before this one.
    pub(crate) fn is_unfit_to_lead(&self) -> bool {
        self.slow_disk || self.recently_transferred || self.is_degraded()
    }

    fn count_bad_link(&mut self) {
        self.bad_links = self.bad_links.saturating_add(1);
    }

    fn count_good_link(&mut self) {
        self.good_links = self.good_links.saturating_add(1);
    }
}

/// Arrival of a reply, and whether it was late.
#[derive(Debug, Clone, Copy)]
struct Reply {
    at: Monotonic,
    is_late: bool,
}

/// Replies of one voter in a sliding window.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReplyWindow {
    replies: VecDeque<Reply>,
    late_count: usize,
}

impl ReplyWindow {
    /// Records a reply to a round of heartbeats.
    pub fn record_round(&mut self, now: Monotonic, is_late: bool, options: &Options) {
        self.record(now, is_late, options.heartbeats(ROUND_WINDOW_HEARTBEATS));
    }

    fn record_probe(&mut self, now: Monotonic, is_late: bool, options: &Options) {
        let heartbeats = PROBE_INTERVAL_HEARTBEATS * PROBE_WINDOW_INTERVALS;
        self.record(now, is_late, options.heartbeats(heartbeats));
    }

    fn record(&mut self, now: Monotonic, is_late: bool, window: Milliseconds) {
        self.replies.push_back(Reply { at: now, is_late });
        self.late_count += usize::from(is_late);
        while let Some(reply) = self.replies.front().copied()
            && now.since(reply.at) > window
        {
            self.late_count -= usize::from(reply.is_late);
            self.replies.pop_front();
        }
    }

    /// Returns whether the window has enough replies for the link's health to
    /// be known.
    fn is_conclusive(&self) -> bool {
        self.replies.len() >= MIN_REPLIES
    }

    fn has_late_rounds(&self) -> bool {
        let reaches_share = self.late_count * 100 >= MIN_LATE_ROUNDS_PERCENT * self.replies.len();
        self.is_conclusive() && self.late_count >= MIN_LATE_ROUNDS && reaches_share
    }

    fn has_late_probes(&self) -> bool {
        self.late_count >= MIN_LATE_PROBES
    }
}

/// A probe that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct PendingProbe {
    number: u64,
    sent_at: Monotonic,
}

/// A follower's measurements of its link to another voter.
#[derive(Debug, Clone, Default)]
struct ProbedLink {
    pending: VecDeque<PendingProbe>,
    replies: ReplyWindow,
}

impl ProbedLink {
    fn record_sent(&mut self, number: u64, now: Monotonic) {
        self.pending.push_back(PendingProbe {
            number,
            sent_at: now,
        });
        if self.pending.len() as u64 > PROBE_WINDOW_INTERVALS {
            self.pending.pop_front();
        }
    }

    fn record_reply(&mut self, number: u64, now: Monotonic, options: &Options) {
        while let Some(probe) = self.pending.front().copied()
            && probe.number <= number
        {
            self.pending.pop_front();
            if probe.number == number {
                let is_late = now.since(probe.sent_at) > options.late_threshold();
                self.replies.record_probe(now, is_late, options);
            }
        }
    }

    fn is_bad(&self, now: Monotonic, options: &Options) -> bool {
        let is_overdue = |probe: &PendingProbe| now.since(probe.sent_at) > options.late_threshold();
        self.replies.has_late_probes() || self.pending.front().is_some_and(is_overdue)
    }
}

/// Health reported by another voter, and when the report arrived.
#[derive(Debug, Clone, Copy)]
struct PeerReport {
    health: LinkHealth,
    received_at: Monotonic,
}

/// Measurements of this node's links and disk, and the reports of its peers.
#[derive(Debug, Default)]
pub(crate) struct LinkMonitor {
    links: BTreeMap<NodeId, ProbedLink>,
    last_probe: u64,
    next_probe: Monotonic,
    last_late_sync: Option<Monotonic>,
    last_degraded_transfer: Option<Monotonic>,
    degraded_transfers: u32,
    lag: Milliseconds,
    peer_reports: BTreeMap<NodeId, PeerReport>,
}

impl LinkMonitor {
    /// Returns when the next probes are due.
    pub fn next_probe(&self) -> Monotonic {
        self.next_probe
    }

    /// Returns the number of leadership transfers by this process because its
    /// links were degraded.
    pub fn degraded_transfers(&self) -> u32 {
        self.degraded_transfers
    }

    /// Returns the lag of this process, the time by which it delays its own
    /// messages.
    pub fn lag(&self) -> Milliseconds {
        self.lag
    }

    /// Records the lag of this process, the time by which it delays its own
    /// messages.
    pub fn record_lag(&mut self, lag: Milliseconds) {
        self.lag = lag;
    }

    /// Returns the last report of each peer.
    pub fn peer_reports(&self) -> Vec<(NodeId, LinkHealth)> {
        let reports = self.peer_reports.iter();
        reports
            .map(|(node, report)| (*node, report.health))
            .collect()
    }

    /// Records the health that a peer reported with a probe.
    pub fn record_peer_report(&mut self, from: NodeId, health: LinkHealth, now: Monotonic) {
        let report = PeerReport {
            health,
            received_at: now,
        };
        self.peer_reports.insert(from, report);
    }

    /// Sets when the next probes are due.
    pub fn schedule_next_probe(&mut self, now: Monotonic, options: &Options) {
        self.next_probe = now + options.heartbeats(PROBE_INTERVAL_HEARTBEATS);
    }

    /// Removes the probed links, since this node is the leader or not a voter.
    pub fn clear_links(&mut self) {
        self.links.clear();
    }

    /// Begins probes to `voters` and returns their number. Replies are measured
    /// except on the link to `leader`.
    pub fn begin_probe(
        &mut self,
        voters: &[NodeId],
        leader: Option<NodeId>,
        now: Monotonic,
    ) -> u64 {
        self.last_probe += 1;
        self.links.retain(|node, _| voters.contains(node));
        for voter in voters.iter().filter(|voter| Some(**voter) != leader) {
            let link = self.links.entry(*voter).or_default();
            link.record_sent(self.last_probe, now);
        }
        self.last_probe
    }

    /// Records the reply to a probe.
    pub fn record_probe_reply(
        &mut self,
        from: NodeId,
        number: u64,
        now: Monotonic,
        options: &Options,
    ) {
        if let Some(link) = self.links.get_mut(&from) {
            link.record_reply(number, now, options);
        }
    }

    /// Records the duration of a sync.
    pub fn record_sync(&mut self, elapsed: Milliseconds, now: Monotonic, options: &Options) {
        if elapsed > options.late_threshold() {
            self.last_late_sync = Some(now);
        }
    }

    /// Records that this node transfers leadership because its links are
    /// degraded.
    pub fn record_degraded_transfer(&mut self, now: Monotonic) {
        self.last_degraded_transfer = Some(now);
        self.degraded_transfers = self.degraded_transfers.saturating_add(1);
    }

    /// Returns the health of a follower's links except the one to `leader`.
    /// `oldest_sync` is when the oldest unfinished sync began; `None` if there
    /// is none.
    pub fn follower_health(
        &self,
        leader: Option<NodeId>,
        oldest_sync: Option<Monotonic>,
        now: Monotonic,
        options: &Options,
    ) -> LinkHealth {
        let mut health = LinkHealth {
            slow_disk: self.has_slow_disk(oldest_sync, now, options),
            recently_transferred: self.has_recently_transferred(now, options),
            ..LinkHealth::default()
        };
        let links = self.links.iter();
        let measured =
            links.filter(|(node, link)| Some(**node) != leader && link.replies.is_conclusive());
        for (_, link) in measured {
            if link.is_bad(now, options) {
                health.count_bad_link();
            } else {
                health.count_good_link();
            }
        }
        health
    }

    fn has_recently_transferred(&self, now: Monotonic, options: &Options) -> bool {
        let cooldown = options.heartbeats(TRANSFER_COOLDOWN_HEARTBEATS);
        let last = self.last_degraded_transfer;
        last.is_some_and(|at| now.since(at) < cooldown)
    }

    fn has_slow_disk(
        &self,
        oldest_sync: Option<Monotonic>,
        now: Monotonic,
        options: &Options,
    ) -> bool {
        let slow_duration = options.heartbeats(SLOW_DISK_HEARTBEATS);
        let was_late = self
            .last_late_sync
            .is_some_and(|at| now.since(at) < slow_duration);
        let is_late = oldest_sync.is_some_and(|at| now.since(at) > options.late_threshold());
        was_late || is_late
    }

    /// Returns whether the time from a round to a follower's reply is too long
    /// after subtraction of this process's lag.
    pub fn is_late_round_trip(&self, elapsed: Milliseconds, options: &Options) -> bool {
        let own_lag = self.lag.0.saturating_mul(LAG_FACTOR);
        Milliseconds(elapsed.0.saturating_sub(own_lag)) > options.late_threshold()
    }

    /// Returns the health of the leader's links, given the replies of each
    /// voter to its rounds. Voters that report a slow disk do not count.
    pub fn leader_health<'a>(
        &self,
        voters: impl Iterator<Item = (&'a NodeId, &'a ReplyWindow)>,
    ) -> LinkHealth {
        let mut health = LinkHealth::default();
        for (node, replies) in voters {
            let report = self.peer_reports.get(node);
            if report.is_some_and(|report| report.health.slow_disk) {
                continue;
            }
            if replies.has_late_rounds() {
                health.count_bad_link();
            } else if replies.is_conclusive() {
                health.count_good_link();
            }
        }
        health
    }

    /// Returns the peers whose report is younger than `max_age` and shows that
    /// they could lead with `quorum` voters, each with its number of bad links.
    pub fn fit_peers(
        &self,
        quorum: usize,
        max_age: Milliseconds,
        now: Monotonic,
    ) -> impl Iterator<Item = (NodeId, u8)> {
        let reports = self.peer_reports.iter();
        reports
            .filter(move |(_, report)| {
                report.health.could_lead(quorum) && now.since(report.received_at) < max_age
            })
            .map(|(node, report)| (*node, report.health.bad_links))
    }
}
