//! What a leader knows of one other member, and what it sends there next.
//!
//! A member that does not answer is asked with empty messages until it does:
//! entries and pieces sent to it would lie in its connection, and all arrive,
//! each again and again, when the link heals.

use crate::link_health::Answers;
use crate::log::{Log, after, before};
use crate::snapshot::OutgoingSnapshot;
use crate::{Entry, Message, Options, Outgoing, Snapshot};
use std::collections::VecDeque;
use types::{LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// Heartbeat intervals without progress after which appends in flight count
/// as lost.
const LOSS_HEARTBEATS: u64 = 2;

/// How entries are sent to a member.
#[derive(Debug)]
pub(crate) enum Sending {
    /// One append at a time, until it is known where the logs are equal.
    Probe { waiting: bool },
    /// Several appends in flight; with the last index of each.
    Replicate { in_flight: VecDeque<LogIndex> },
    /// The entries it needs are gone: a snapshot goes first.
    Snapshot(OutgoingSnapshot),
}

/// What a leader has at hand for sending.
pub(crate) struct Source<'a> {
    pub term: Term,
    pub commit: LogIndex,
    pub round: u64,
    pub now: Monotonic,
    pub log: &'a Log,
    pub snapshot: Option<&'a Snapshot>,
    pub options: &'a Options,
}

/// A leader's view of one other member.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Last index known equal and synced there.
    pub matched: LogIndex,
    /// Next index to send.
    next: LogIndex,
    pub sending: Sending,
    /// When it last answered in this term, or joined the list.
    pub last_contact: Monotonic,
    /// When the newest round it answered was begun.
    pub answered_round: Option<Monotonic>,
    /// Number of the newest round it answered.
    pub last_round: u64,
    /// How late it answered rounds lately.
    pub answers: Answers,
    /// When `matched` last grew, or sending began anew.
    advanced_at: Monotonic,
}

impl Progress {
    pub fn new(next: LogIndex, now: Monotonic) -> Self {
        Self {
            matched: LogIndex(0),
            next,
            sending: Sending::Probe { waiting: false },
            last_contact: now,
            answered_round: None,
            last_round: 0,
            answers: Answers::default(),
            advanced_at: now,
        }
    }

    /// Sends as much as the window allows.
    pub fn pump(&mut self, source: &Source<'_>, to: NodeId, out: &mut Vec<Outgoing>) {
        loop {
            let window = source.options.max_appends_in_flight.max(1);
            let may_send = match &self.sending {
                Sending::Probe { waiting } => !waiting,
                Sending::Replicate { in_flight } => {
                    in_flight.len() < window && self.next <= source.log.last_index()
                }
                Sending::Snapshot(transfer) => !transfer.waiting(),
            };
            if !may_send {
                return;
            }
            out.push(Outgoing {
                to,
                message: self.next_message(source),
            });
        }
    }

    /// The next append or piece of a snapshot; switches to a snapshot when
    /// the entries are gone.
    fn next_message(&mut self, source: &Source<'_>) -> Message {
        let previous = before(self.next);
        if let Sending::Snapshot(transfer) = &mut self.sending {
            return transfer.next_chunk(source);
        }
        match (source.log.term_at(previous), source.snapshot) {
            (None, Some(snapshot)) => {
                let mut transfer = OutgoingSnapshot::new(snapshot.clone());
                let chunk = transfer.next_chunk(source);
                self.sending = Sending::Snapshot(transfer);
                chunk
            }
            (previous_term, _) => {
                let max_bytes = source.options.max_append_bytes;
                let entries = source.log.batch(self.next, max_bytes);
                self.record_sent(&entries, source.now);
                append(source, previous, previous_term.unwrap_or_default(), entries)
            }
        }
    }

    fn record_sent(&mut self, entries: &[Entry], now: Monotonic) {
        match &mut self.sending {
            Sending::Probe { waiting } => *waiting = true,
            Sending::Replicate { in_flight } => {
                if let Some(last) = entries.last() {
                    if in_flight.is_empty() {
                        self.advanced_at = now;
                    }
                    in_flight.push_back(last.index);
                    self.next = after(last.index);
                }
            }
            Sending::Snapshot(_) => {}
        }
    }

    /// Begins a round: sends a heartbeat, and more where there is room.
    pub fn heartbeat(&mut self, source: &Source<'_>, to: NodeId, out: &mut Vec<Outgoing>) {
        if self.is_stalled(source) {
            self.probe();
            self.ask_again(source, to, out);
        } else {
            match &mut self.sending {
                Sending::Probe { waiting: true } => self.ask_again(source, to, out),
                Sending::Probe { waiting: false } => {}
                Sending::Snapshot(transfer) => out.extend(transfer.ask_again(source, to)),
                Sending::Replicate { .. } => self.beat(source, to, out),
            }
        }
        self.pump(source, to, out);
    }

    /// Returns whether appends in flight count as lost.
    fn is_stalled(&self, source: &Source<'_>) -> bool {
        let timeout = Milliseconds(source.options.heartbeat_interval.0 * LOSS_HEARTBEATS);
        let in_flight = match &self.sending {
            Sending::Replicate { in_flight } => !in_flight.is_empty(),
            _ => false,
        };
        in_flight && source.now.since(self.advanced_at) >= timeout
    }

    /// Everything up to `matched` is equal there, so an empty append after it
    /// never fails and carries the commit index that far.
    fn beat(&mut self, source: &Source<'_>, to: NodeId, out: &mut Vec<Outgoing>) {
        let Some(term) = source.log.term_at(self.matched) else {
            return self.probe();
        };
        out.push(Outgoing {
            to,
            message: append(source, self.matched, term, Vec::new()),
        });
    }

    /// Asks for the entry before the next one, and sends none: what was sent
    /// has not been answered. A pump follows where that entry is gone.
    fn ask_again(&mut self, source: &Source<'_>, to: NodeId, out: &mut Vec<Outgoing>) {
        let previous = before(self.next);
        let term = source.log.term_at(previous);
        self.sending = Sending::Probe {
            waiting: term.is_some(),
        };
        out.extend(term.map(|term| Outgoing {
            to,
            message: append(source, previous, term, Vec::new()),
        }));
    }

    /// Goes back to sending one append at a time, from what is known equal.
    fn probe(&mut self) {
        self.next = after(self.matched);
        self.sending = Sending::Probe { waiting: false };
    }

    /// Records that the member holds the log up to `index`, synced.
    pub fn succeed(&mut self, index: LogIndex, log: &Log, now: Monotonic) {
        if index > self.matched {
            self.matched = index;
            self.advanced_at = now;
        }
        self.next = self.next.max(after(self.matched));
        match &mut self.sending {
            Sending::Replicate { in_flight } => {
                while in_flight.front().is_some_and(|last| *last <= self.matched) {
                    in_flight.pop_front();
                }
            }
            Sending::Snapshot(_) if after(self.matched) < log.first_index() => {}
            _ => {
                self.next = after(self.matched);
                self.advanced_at = now;
                self.sending = Sending::Replicate {
                    in_flight: VecDeque::new(),
                };
            }
        }
    }

    /// Ends the transfer of a snapshot that is installed.
    pub fn leave_snapshot(&mut self) {
        self.sending = Sending::Probe { waiting: false };
    }

    /// Records that an append was rejected; `hint` is where the logs may still
    /// be equal, and lies before what was tried. Any other rejection is an old
    /// one: the appends behind a lost one are all rejected, and must not each
    /// have the lost one sent again.
    pub fn fail(&mut self, hint: LogIndex) {
        let tried = before(self.next);
        if matches!(self.sending, Sending::Snapshot(_)) || hint >= tried {
            return;
        }
        self.next = after(hint.max(self.matched));
        self.sending = Sending::Probe { waiting: false };
    }
}

fn append(
    source: &Source<'_>,
    previous_index: LogIndex,
    previous_term: Term,
    entries: Vec<Entry>,
) -> Message {
    Message::Append {
        term: source.term,
        previous_index,
        previous_term,
        entries,
        commit: source.commit,
        round: source.round,
    }
}
