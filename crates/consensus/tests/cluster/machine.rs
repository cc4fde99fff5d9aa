//! A simulated machine with a node, its disk and its state machine.

use super::checker::{Checker, Violation};
use consensus::{Entry, Membership, Message, Node, Options, Outgoing, Recovered, Snapshot, Status};
use std::collections::VecDeque;
use std::sync::Arc;
use types::{LogIndex, Monotonic, NodeId, Term};

/// Length of a snapshot in bytes: more than one chunk.
const SNAPSHOT_BYTES: usize = 50;

/// A write that is not synced yet.
enum Write {
    Batch(Box<consensus::Ready>),
    Compact(Snapshot),
}

/// Output that was taken from a machine in one call.
#[derive(Default)]
pub struct Output {
    pub messages: Vec<Outgoing>,
    /// Time at which each new write is synced, and the incarnation of the
    /// machine that began it.
    pub syncs: Vec<(u64, u64)>,
}

pub struct Machine {
    pub id: NodeId,
    pub node: Option<Node>,
    pub disk: Recovered,
    pub frozen_until: Option<u64>,
    pub applied: LogIndex,
    /// State of the state machine: a digest of all entries applied.
    pub digest: u64,
    initial: Membership,
    incarnation: u64,
    clock_offset: u64,
    writes: VecDeque<Write>,
    last_sync_at: u64,
    new_syncs: Vec<(u64, u64)>,
    /// Messages of synced batches that are not sent yet.
    sendable: Vec<Outgoing>,
    /// Messages that arrived while the machine was frozen.
    inbox: Vec<(NodeId, Message)>,
    /// Number of syncs that were completed while the machine was frozen.
    late_syncs: u64,
}

impl Machine {
    pub fn new(id: NodeId, initial: Membership) -> Self {
        Self {
            id,
            node: None,
            disk: Recovered::default(),
            frozen_until: None,
            applied: LogIndex(0),
            digest: 0,
            initial,
            incarnation: 0,
            clock_offset: 0,
            writes: VecDeque::new(),
            last_sync_at: 0,
            new_syncs: Vec::new(),
            sendable: Vec::new(),
            inbox: Vec::new(),
            late_syncs: 0,
        }
    }

    /// Returns the time on the machine's own clock. Each start has another
    /// offset, so clocks of different processes cannot be compared.
    fn clock(&self, now: u64) -> Monotonic {
        Monotonic(now + self.clock_offset)
    }

    pub fn start(&mut self, options: Options, seed: u64, offset: u64, now: u64) {
        self.incarnation += 1;
        self.clock_offset = offset;
        let snapshot = self.disk.snapshot.clone().unwrap_or_default();
        self.restore(&snapshot);
        let clock = self.clock(now);
        let recovered = self.disk.clone();
        let initial = self.initial.clone();
        self.node = Some(Node::new(self.id, options, initial, recovered, seed, clock));
    }

    /// Stops the node. Of the writes that are not synced yet, the first `keep`
    /// reach the disk and the others are lost.
    pub fn crash(&mut self, keep: usize) {
        self.node = None;
        let kept = keep.min(self.writes.len());
        let writes: Vec<Write> = self.writes.drain(..).take(kept).collect();
        for write in writes {
            self.write_to_disk(&write);
        }
        self.frozen_until = None;
        self.inbox.clear();
        self.sendable.clear();
        self.new_syncs.clear();
        self.late_syncs = 0;
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        self.applied = snapshot.meta.index;
        let bytes = snapshot.data.first_chunk::<8>().copied();
        self.digest = bytes.map_or(0, u64::from_le_bytes);
    }

    /// Returns the node if it runs and is not frozen.
    fn running_node(&mut self) -> Option<&mut Node> {
        match self.frozen_until {
            Some(_) => None,
            None => self.node.as_mut(),
        }
    }

    pub fn wakeup(&self) -> Option<u64> {
        if self.frozen_until.is_some() {
            return None;
        }
        let wakeup = self.node.as_ref()?.next_wakeup();
        Some(wakeup.0.saturating_sub(self.clock_offset))
    }

    pub fn tick(&mut self, now: u64) {
        let clock = self.clock(now);
        if let Some(node) = &mut self.node {
            node.tick(clock);
        }
    }

    pub fn receive(&mut self, now: u64, from: NodeId, message: Message) {
        let clock = self.clock(now);
        match &mut self.node {
            Some(_) if self.frozen_until.is_some() => self.inbox.push((from, message)),
            Some(node) => node.step(clock, from, message),
            None => {}
        }
    }

    pub fn unfreeze(&mut self, now: u64, tick_first: bool) {
        if self.frozen_until.take_if(|until| *until <= now).is_none() {
            return;
        }
        if tick_first {
            self.tick(now);
        }
        for (from, message) in std::mem::take(&mut self.inbox) {
            self.receive(now, from, message);
        }
        for _ in 0..std::mem::take(&mut self.late_syncs) {
            self.sync(now, self.incarnation);
        }
    }

    /// Completes the sync of the oldest write.
    pub fn sync(&mut self, now: u64, incarnation: u64) {
        if incarnation != self.incarnation || self.node.is_none() {
            return;
        }
        if self.frozen_until.is_some() {
            self.late_syncs += 1;
            return;
        }
        let Some(write) = self.writes.pop_front() else {
            return;
        };
        self.write_to_disk(&write);
        let clock = self.clock(now);
        let Some(node) = &mut self.node else { return };
        match write {
            Write::Batch(ready) => {
                node.persisted(clock, ready.number);
                self.sendable.extend(ready.messages_after_persist);
            }
            Write::Compact(snapshot) => node.compact(snapshot),
        }
    }

    fn write_to_disk(&mut self, write: &Write) {
        match write {
            Write::Compact(snapshot) => self.write_snapshot(snapshot),
            Write::Batch(ready) => {
                if let Some(hard_state) = ready.hard_state {
                    self.disk.hard_state = hard_state;
                }
                if let Some(snapshot) = &ready.snapshot {
                    self.write_snapshot(snapshot);
                }
                self.write_entries(&ready.entries);
            }
        }
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) {
        let meta = &snapshot.meta;
        let newest = self.disk.snapshot.as_ref().map(|s| s.meta.index);
        if newest.is_some_and(|index| index >= meta.index) {
            return;
        }
        let entries = &mut self.disk.entries;
        let has_last_entry = entries
            .iter()
            .any(|e| e.index == meta.index && e.term == meta.term);
        entries.retain(|e| has_last_entry && e.index > meta.index);
        self.disk.snapshot = Some(snapshot.clone());
    }

    fn write_entries(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.disk.entries.retain(|e| e.index < first.index);
            self.disk.entries.extend_from_slice(entries);
        }
    }

    /// Takes all output of the node. Its writes are synced after `delay`.
    pub fn take_ready(
        &mut self,
        now: u64,
        delay: u64,
        checker: &mut Checker,
    ) -> Result<Output, Violation> {
        let mut output = Output::default();
        if self.frozen_until.is_some() {
            return Ok(output);
        }
        while let Some(mut ready) = self.node.as_mut().and_then(Node::ready) {
            if let Some(snapshot) = &ready.snapshot {
                self.restore(snapshot);
                checker.record_restored(self.applied, self.digest)?;
            }
            for entry in std::mem::take(&mut ready.committed) {
                self.apply(&entry, checker)?;
            }
            output.messages.append(&mut ready.messages);
            if ready.needs_persist() {
                self.begin_write(now, delay, Write::Batch(Box::new(ready)));
            } else {
                output.messages.append(&mut ready.messages_after_persist);
            }
        }
        output.messages.append(&mut self.sendable);
        output.syncs.append(&mut self.new_syncs);
        Ok(output)
    }

    fn begin_write(&mut self, now: u64, delay: u64, write: Write) {
        self.last_sync_at = self.last_sync_at.max(now + delay);
        self.writes.push_back(write);
        self.new_syncs.push((self.last_sync_at, self.incarnation));
    }

    fn apply(&mut self, entry: &Entry, checker: &mut Checker) -> Result<(), Violation> {
        if entry.index.0 != self.applied.0 + 1 {
            return Err(Violation::AppliedOutOfOrder);
        }
        self.applied = entry.index;
        self.digest = super::checker::digest(self.digest, entry);
        checker.record_applied(entry, self.digest)
    }

    /// Takes a snapshot of the state machine and begins to write it.
    pub fn compact(&mut self, now: u64) {
        let applied = self.applied;
        let Some(meta) = self.running_node().and_then(|n| n.snapshot_meta(applied)) else {
            return;
        };
        let mut data = self.digest.to_le_bytes().to_vec();
        data.resize(SNAPSHOT_BYTES, 7);
        let data = Arc::from(data);
        self.begin_write(now, 20, Write::Compact(Snapshot { meta, data }));
    }

    pub fn propose(&mut self, now: u64, command: u64) -> Option<LogIndex> {
        let clock = self.clock(now);
        let command = command.to_le_bytes().to_vec();
        self.running_node()?.propose(clock, command).ok()
    }

    pub fn propose_membership(&mut self, now: u64, next: Membership) -> Option<LogIndex> {
        let clock = self.clock(now);
        self.running_node()?.propose_membership(clock, next).ok()
    }

    pub fn transfer(&mut self, now: u64) -> Option<NodeId> {
        let clock = self.clock(now);
        self.running_node()?.transfer_leadership(clock)
    }

    pub fn holds_lease(&self, now: u64) -> bool {
        let clock = self.clock(now);
        self.node.as_ref().is_some_and(|n| n.holds_lease(clock))
    }

    pub fn status(&self, now: u64) -> Option<Status> {
        Some(self.node.as_ref()?.status(self.clock(now)))
    }

    pub fn term(&self, now: u64) -> Term {
        self.status(now).map_or(Term(0), |s| s.term)
    }
}
