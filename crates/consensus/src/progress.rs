//! Replication progress of one other member, and the next message to it.
//!
//! A member that does not reply receives empty messages until it does. Entries
//! and chunks that are sent repeatedly would queue up in its connection, and
//! all copies would arrive once the link recovers.

use crate::link_health::ReplyWindow;
use crate::log::{Log, after, before};
use crate::snapshot::OutgoingSnapshot;
use crate::{Entry, Message, Options, Outgoing, Snapshot};
use std::collections::VecDeque;
use types::{LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// Heartbeat intervals without progress after which appends in flight count as
/// lost.
const LOSS_HEARTBEATS: u64 = 2;

/// State of the replication to a member.
#[derive(Debug)]
pub(crate) enum ReplicationState {
    /// One append at a time, until it is known up to which index the logs
    /// match.
    Probe { awaiting_reply: bool },
    /// Several appends in flight at once, with the last index of each.
    Replicate { in_flight: VecDeque<LogIndex> },
    /// A snapshot, since the entries that the member needs are compacted.
    Snapshot(OutgoingSnapshot),
}

/// State of the leader from which messages are built.
pub(crate) struct SendContext<'a> {
    pub term: Term,
    pub commit: LogIndex,
    pub round: u64,
    pub now: Monotonic,
    pub log: &'a Log,
    pub snapshot: Option<&'a Snapshot>,
    pub options: &'a Options,
}

/// Replication progress of one other member, as known to the leader.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index known to match and to be synced at the member.
    matched: LogIndex,
    /// Index of the next entry to send.
    next: LogIndex,
    state: ReplicationState,
    /// When the member last replied in this term, or was added.
    last_contact: Monotonic,
    /// Start of the newest round that the member answered; `None` before its
    /// first reply.
    answered_round_begun_at: Option<Monotonic>,
    /// Number of the newest round that the member answered.
    last_round: u64,
    /// Recent replies of the member to rounds.
    round_replies: ReplyWindow,
    /// When `matched` last increased, or when the first append was sent after
    /// none was in flight.
    advanced_at: Monotonic,
}

impl Progress {
    /// Creates the progress of a member that was added at `now`; replication
    /// begins at `next`.
    pub fn new(next: LogIndex, now: Monotonic) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            state: ReplicationState::Probe {
                awaiting_reply: false,
            },
            last_contact: now,
            answered_round_begun_at: None,
            last_round: 0,
            round_replies: ReplyWindow::default(),
            advanced_at: now,
        }
    }

    /// Returns the last index known to match and to be synced at the member.
    pub fn matched(&self) -> LogIndex {
        self.matched
    }

    /// Returns when the member last replied in this term, or was added.
    pub fn last_contact(&self) -> Monotonic {
        self.last_contact
    }

    /// Returns the start of the newest round that the member answered; `None`
    /// before its first reply.
    pub fn answered_round_begun_at(&self) -> Option<Monotonic> {
        self.answered_round_begun_at
    }

    /// Returns the recent replies of the member to rounds.
    pub fn round_replies(&self) -> &ReplyWindow {
        &self.round_replies
    }

    /// Records a reply to a round that began at `round_begun_at`; `None` if
    /// that time is not known.
    pub fn record_contact(&mut self, now: Monotonic, round_begun_at: Option<Monotonic>) {
        self.last_contact = now;
        self.answered_round_begun_at = self.answered_round_begun_at.max(round_begun_at);
    }

    /// Records whether the first reply to a round was late. Later replies to
    /// the same round answer entries that were sent after its start, and do not
    /// count.
    pub fn record_round_reply(
        &mut self,
        round: u64,
        is_late: bool,
        now: Monotonic,
        options: &Options,
    ) {
        if round > self.last_round {
            self.last_round = round;
            self.round_replies.record_round(now, is_late, options);
        }
    }

    /// Queues as many messages as the limit of messages in flight allows.
    pub fn send_available(
        &mut self,
        context: &SendContext<'_>,
        to: NodeId,
        out: &mut Vec<Outgoing>,
    ) {
        loop {
            let window = context.options.max_appends_in_flight.max(1);
            let may_send = match &self.state {
                ReplicationState::Probe { awaiting_reply } => !awaiting_reply,
                ReplicationState::Replicate { in_flight } => {
                    in_flight.len() < window && self.next <= context.log.last_index()
                }
                ReplicationState::Snapshot(transfer) => !transfer.has_chunk_in_flight(),
            };
            if !may_send {
                return;
            }
            out.push(Outgoing {
                to,
                message: self.next_message(context),
            });
        }
    }

    /// Returns the next append or chunk of a snapshot. Switches to a snapshot
    /// if the entries are compacted.
    fn next_message(&mut self, context: &SendContext<'_>) -> Message {
        let previous = before(self.next);
        if let ReplicationState::Snapshot(transfer) = &mut self.state {
            return next_chunk(transfer, context);
        }
        match (context.log.term_at(previous), context.snapshot) {
            (None, Some(snapshot)) => {
                let mut transfer = OutgoingSnapshot::new(snapshot.clone());
                let chunk = next_chunk(&mut transfer, context);
                self.state = ReplicationState::Snapshot(transfer);
                chunk
            }
            (previous_term, _) => {
                let max_bytes = context.options.max_append_bytes;
                let entries = context.log.batch(self.next, max_bytes);
                self.record_sent(&entries, context.now);
                append(
                    context,
                    previous,
                    previous_term.unwrap_or_default(),
                    entries,
                )
            }
        }
    }

    fn record_sent(&mut self, entries: &[Entry], now: Monotonic) {
        match &mut self.state {
            ReplicationState::Probe { awaiting_reply } => *awaiting_reply = true,
            ReplicationState::Replicate { in_flight } => {
                if let Some(last) = entries.last() {
                    if in_flight.is_empty() {
                        self.advanced_at = now;
                    }
                    in_flight.push_back(last.index);
                    self.next = after(last.index);
                }
            }
            ReplicationState::Snapshot(_) => {}
        }
    }

    /// Queues the heartbeat of a new round, and entries if the limit of
    /// messages in flight allows.
    pub fn send_heartbeat_round(
        &mut self,
        context: &SendContext<'_>,
        to: NodeId,
        out: &mut Vec<Outgoing>,
    ) {
        if self.is_stalled(context) {
            self.restart_probing();
            self.send_empty_append(context, to, out);
        } else {
            match &mut self.state {
                ReplicationState::Probe {
                    awaiting_reply: true,
                } => self.send_empty_append(context, to, out),
                ReplicationState::Probe {
                    awaiting_reply: false,
                } => {}
                ReplicationState::Snapshot(transfer) => {
                    let message = transfer.empty_chunk(context.term, context.round);
                    out.extend(message.map(|message| Outgoing { to, message }));
                }
                ReplicationState::Replicate { .. } => self.send_heartbeat(context, to, out),
            }
        }
        self.send_available(context, to, out);
    }

    /// Returns whether appends in flight count as lost.
    fn is_stalled(&self, context: &SendContext<'_>) -> bool {
        let timeout = Milliseconds(context.options.heartbeat_interval.0 * LOSS_HEARTBEATS);
        let has_appends_in_flight = match &self.state {
            ReplicationState::Replicate { in_flight } => !in_flight.is_empty(),
            ReplicationState::Probe { .. } | ReplicationState::Snapshot(_) => false,
        };
        has_appends_in_flight && context.now.since(self.advanced_at) >= timeout
    }

    /// Queues an empty append after `matched`. The log matches up to there, so
    /// the member accepts the append and commits up to there.
    fn send_heartbeat(&mut self, context: &SendContext<'_>, to: NodeId, out: &mut Vec<Outgoing>) {
        let Some(term) = context.log.term_at(self.matched) else {
            self.restart_probing();
            return;
        };
        out.push(Outgoing {
            to,
            message: append(context, self.matched, term, Vec::new()),
        });
    }

    /// Queues an empty append before the next entry, since the last message was
    /// not answered. If the previous entry is compacted, queues nothing, and
    /// [`Progress::send_available`] begins a snapshot.
    fn send_empty_append(
        &mut self,
        context: &SendContext<'_>,
        to: NodeId,
        out: &mut Vec<Outgoing>,
    ) {
        let previous = before(self.next);
        let term = context.log.term_at(previous);
        self.state = ReplicationState::Probe {
            awaiting_reply: term.is_some(),
        };
        out.extend(term.map(|term| Outgoing {
            to,
            message: append(context, previous, term, Vec::new()),
        }));
    }

    /// Switches back to one append at a time, from the last index known to
    /// match.
    fn restart_probing(&mut self) {
        self.next = after(self.matched);
        self.state = ReplicationState::Probe {
            awaiting_reply: false,
        };
    }

    /// Records that the member has synced the log up to `index`.
    pub fn record_match(&mut self, index: LogIndex, log: &Log, now: Monotonic) {
        if index > self.matched {
            self.matched = index;
            self.advanced_at = now;
        }
        self.next = self.next.max(after(self.matched));
        match &mut self.state {
            ReplicationState::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= self.matched) {
                    in_flight.pop_front();
                }
            }
            ReplicationState::Snapshot(_) if after(self.matched) < log.first_index() => {}
            _ => {
                self.next = after(self.matched);
                self.advanced_at = now;
                self.state = ReplicationState::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    /// Records a member's reply to a chunk of the snapshot at `index`;
    /// `next_offset` is the offset of the next chunk to send. Returns whether
    /// the snapshot is installed.
    pub fn record_snapshot_reply(&mut self, index: LogIndex, next_offset: u64, round: u64) -> bool {
        let ReplicationState::Snapshot(transfer) = &mut self.state else {
            return false;
        };
        if transfer.index() != index {
            return false;
        }
        if next_offset < transfer.total() {
            transfer.resume(next_offset, round);
            return false;
        }
        self.end_snapshot();
        true
    }

    fn end_snapshot(&mut self) {
        self.state = ReplicationState::Probe {
            awaiting_reply: false,
        };
    }

    /// Records that the member rejected an append. `hint` is where the logs may
    /// still match, and is before the index tried. A rejection with another
    /// hint is outdated and ignored: a member rejects all appends that follow a
    /// lost one, and these rejections must not each cause the lost append to be
    /// sent again.
    pub fn record_reject(&mut self, hint: LogIndex) {
        let tried = before(self.next);
        if matches!(self.state, ReplicationState::Snapshot(_)) || hint >= tried {
            return;
        }
        self.next = after(hint.max(self.matched));
        self.state = ReplicationState::Probe {
            awaiting_reply: false,
        };
    }
}

fn next_chunk(transfer: &mut OutgoingSnapshot, context: &SendContext<'_>) -> Message {
    let max_bytes = context.options.snapshot_chunk_bytes;
    transfer.next_chunk(context.term, context.round, max_bytes)
}

fn append(
    context: &SendContext<'_>,
    previous_index: LogIndex,
    previous_term: Term,
    entries: Vec<Entry>,
) -> Message {
    Message::Append {
        term: context.term,
        previous_index,
        previous_term,
        entries,
        commit: context.commit,
        round: context.round,
    }
}
