//! Consensus node, state machine and pending disk writes of one member.
//!
//! Each ready batch of the node is written and applied. Messages that depend on
//! data being durable are sent only after the sync of their batch. Syncs
//! complete in order, so the messages of a batch with nothing to write wait for
//! the newest pending write.

mod error;
pub mod snapshots;

pub(crate) use error::ReplicaError;

use crate::effect::Effect;
use crate::replica::snapshots::{SnapshotDue, SnapshotSchedule, VoterTurn};
use consensus::message::Outgoing;
use consensus::{
    Membership, Message, Node, Payload, ProposeError, Ready, Recovered, Snapshot, SnapshotMeta,
    Status,
};
use state_machine::{Applied, Command, StateMachine};
use std::collections::VecDeque;
use std::sync::Arc;
use storage::Batch;
use types::{ClusterId, LogIndex, Milliseconds, Monotonic, NodeId, Term};

/// A write that is not durable yet.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    /// Number of the newest ready batch that this sync covers; `None` for a
    /// snapshot taken by this member.
    ready: Option<u64>,
    /// Messages to send after the sync.
    messages: Vec<Outgoing>,
    /// Snapshot taken by this member. The log is compacted once it is synced.
    snapshot: Option<Snapshot>,
}

/// An entry that was applied to the state machine.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) applied: Applied,
}

/// Result of processing a ready batch of the consensus node.
pub(crate) struct ProcessedBatch {
    /// Messages that need not wait for a sync.
    pub(crate) messages: Vec<Outgoing>,
    pub(crate) applied: Result<Vec<AppliedEntry>, ReplicaError>,
}

/// Settings of a replica.
pub(crate) struct ReplicaOptions {
    pub(crate) cluster: ClusterId,
    /// Identity of this member.
    pub(crate) node: NodeId,
    /// Initial voters of the cluster; empty if this process joined an existing one.
    pub(crate) initial: Membership,
    /// Timings of consensus.
    pub(crate) consensus: consensus::Options,
    /// Seed of the election timeouts.
    pub(crate) seed: u64,
    /// Least number of entries between two snapshots.
    pub(crate) snapshot_every: u64,
    /// Fault injected into the state machine by the simulation; `None` otherwise.
    pub(crate) mutation: Option<state_machine::mutation::Mutation>,
}

/// Copy of the replicated state on this member.
pub(crate) struct Replica {
    cluster: ClusterId,
    node: Node,
    state_machine: StateMachine,
    applied: SnapshotMeta,
    schedule: SnapshotSchedule,
    snapshot_pending: bool,
    next_number: u64,
    pending_writes: VecDeque<PendingWrite>,
}

impl Replica {
    /// Builds a replica from the log and snapshot read from disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot on disk does not decode.
    pub(crate) fn new(
        options: ReplicaOptions,
        recovered: Recovered,
        now: Monotonic,
    ) -> Result<Self, ReplicaError> {
        let snapshot_bytes = recovered
            .snapshot
            .as_ref()
            .map(|snapshot| snapshot.data.len());
        let schedule = SnapshotSchedule::new(
            options.snapshot_every,
            options.node,
            snapshot_bytes.unwrap_or_default() as u64,
        );
        let (mut state_machine, applied) = match &recovered.snapshot {
            Some(snapshot) => (restore(snapshot)?, snapshot.meta.clone()),
            None => {
                let applied = SnapshotMeta {
                    membership: options.initial.clone(),
                    ..SnapshotMeta::default()
                };
                (StateMachine::new(), applied)
            }
        };
        if options.mutation.is_some() {
            state_machine.set_mutation(options.mutation);
        }
        let node = Node::new(
            options.node,
            options.consensus,
            options.initial,
            recovered,
            options.seed,
            now,
        );
        Ok(Self {
            cluster: options.cluster,
            node,
            state_machine,
            applied,
            schedule,
            snapshot_pending: false,
            next_number: 1,
            pending_writes: VecDeque::new(),
        })
    }

    /// Returns the cluster of the replica.
    pub(crate) fn cluster(&self) -> ClusterId {
        self.cluster
    }

    /// Returns the state machine, with all entries that this member has learnt to
    /// be committed.
    pub(crate) fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// Returns the status of the consensus node.
    pub(crate) fn status(&self, now: Monotonic) -> Status {
        self.node.status(now)
    }

    /// Returns whether this member is the leader and its lease is valid.
    pub(crate) fn holds_lease(&self, now: Monotonic) -> bool {
        self.node.holds_lease(now)
    }

    /// Returns whether a leadership transfer is in progress.
    pub(crate) fn is_transferring_leadership(&self) -> bool {
        self.node.is_transferring_leadership()
    }

    /// Returns the time by which the next tick of the consensus node is due.
    pub(crate) fn next_wakeup(&self) -> Monotonic {
        self.node.next_wakeup()
    }

    /// Lets the consensus node check its timers.
    pub(crate) fn tick(&mut self, now: Monotonic) {
        self.node.tick(now);
    }

    /// Records how long messages wait in this process.
    pub(crate) fn record_lag(&mut self, lag: Milliseconds) {
        self.node.record_lag(lag);
    }

    /// Passes a message of another member to the consensus node.
    pub(crate) fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        self.node.step(now, from, message);
    }

    /// Transfers leadership to the voter with the longest log and returns it, if
    /// there is one.
    pub(crate) fn transfer_leadership(&mut self, now: Monotonic) -> Option<NodeId> {
        self.node.transfer_leadership(now)
    }

    /// Proposes a command and returns its index; `None` if the node rejects it
    /// since it is not the leader or transfers leadership.
    pub(crate) fn propose(&mut self, now: Monotonic, command: &Command) -> Option<LogIndex> {
        let bytes = command.encode().ok()?;
        self.node.propose(now, bytes).ok()
    }

    /// Proposes a new membership and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if the node rejects the proposal.
    pub(crate) fn propose_membership(
        &mut self,
        now: Monotonic,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        self.node.propose_membership(now, membership)
    }

    /// Processes the next ready batch of the node, if any: queues its write,
    /// applies its committed entries, and returns the messages to send now.
    pub(crate) fn process_ready(
        &mut self,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Option<ProcessedBatch> {
        let mut ready = self.node.ready()?;
        let messages = self.store(now, &mut ready, effects);
        let applied = self.apply(ready);
        Some(ProcessedBatch { messages, applied })
    }

    /// Queues the write of a batch. Returns the messages to send now.
    fn store(
        &mut self,
        now: Monotonic,
        ready: &mut Ready,
        effects: &mut Vec<Effect>,
    ) -> Vec<Outgoing> {
        let mut messages = std::mem::take(&mut ready.messages);
        let after_persist = std::mem::take(&mut ready.messages_after_persist);
        if ready.needs_persist() {
            let batch = Batch {
                hard_state: ready.hard_state,
                snapshot: ready.snapshot.clone(),
                entries: std::mem::take(&mut ready.entries),
            };
            self.persist(batch, Some(ready.number), after_persist, None, effects);
        } else if let Some(newest) = self.newest_batch_write() {
            newest.ready = Some(ready.number);
            newest.messages.extend(after_persist);
        } else {
            messages.extend(after_persist);
            self.node.persisted(now, ready.number);
        }
        messages
    }

    /// Returns the newest pending write of a batch. Snapshots taken by this member
    /// are passed over: no message depends on them.
    fn newest_batch_write(&mut self) -> Option<&mut PendingWrite> {
        let mut newest_first = self.pending_writes.iter_mut().rev();
        newest_first.find(|write| write.ready.is_some())
    }

    fn persist(
        &mut self,
        batch: Batch,
        ready: Option<u64>,
        messages: Vec<Outgoing>,
        snapshot: Option<Snapshot>,
        effects: &mut Vec<Effect>,
    ) {
        let number = self.next_number;
        self.next_number += 1;
        self.pending_writes.push_back(PendingWrite {
            number,
            ready,
            messages,
            snapshot,
        });
        effects.push(Effect::Persist { number, batch });
    }

    /// Handles the completion of a write and of all before it. Returns the messages
    /// that waited for them.
    pub(crate) fn persisted(&mut self, now: Monotonic, number: u64) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        while let Some(oldest) = self.pending_writes.pop_front() {
            if oldest.number > number {
                self.pending_writes.push_front(oldest);
                break;
            }
            messages.extend(oldest.messages);
            if let Some(ready) = oldest.ready {
                self.node.persisted(now, ready);
            }
            if let Some(snapshot) = oldest.snapshot {
                self.snapshot_pending = false;
                self.node.compact(snapshot);
            }
        }
        messages
    }

    /// Applies the committed entries of a batch.
    ///
    /// # Errors
    ///
    /// Returns an error if a snapshot or an entry does not decode.
    fn apply(&mut self, ready: Ready) -> Result<Vec<AppliedEntry>, ReplicaError> {
        if let Some(snapshot) = &ready.snapshot {
            let mutation = self.state_machine.mutation();
            self.state_machine = restore(snapshot)?;
            self.state_machine.set_mutation(mutation);
            self.applied = snapshot.meta.clone();
            self.schedule.restart(snapshot.data.len());
        }
        let mut results = Vec::new();
        for entry in ready.committed {
            if entry.index <= self.applied.index {
                continue;
            }
            self.applied.index = entry.index;
            self.applied.term = entry.term;
            self.schedule.record_applied(entry.payload.bytes());
            match entry.payload {
                Payload::Noop => {}
                Payload::Membership(membership) => self.applied.membership = membership,
                Payload::Command(bytes) => {
                    let index = entry.index;
                    let command = Command::decode(&bytes)
                        .map_err(|source| ReplicaError::DecodeEntry { index, source })?;
                    results.push(AppliedEntry {
                        index: entry.index,
                        term: entry.term,
                        applied: self.state_machine.apply(&command),
                    });
                }
            }
        }
        Ok(results)
    }

    /// Writes a snapshot if one is due. A leader with a large state transfers
    /// leadership first, if another voter can take over.
    ///
    /// # Errors
    ///
    /// Returns an error if the state does not encode.
    pub(crate) fn write_snapshot_if_due(
        &mut self,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Result<(), ReplicaError> {
        // A snapshot contains the membership. A process that joins has none until
        // it applies its own admission.
        let has_membership = !self.applied.membership.voters.is_empty();
        if self.snapshot_pending || !has_membership {
            return Ok(());
        }
        match self.schedule.due(self.node.is_leader(), self.voter_turn()) {
            SnapshotDue::No => return Ok(()),
            SnapshotDue::AfterLeadershipTransfer => {
                if self.node.transfer_leadership(now).is_some() {
                    return Ok(());
                }
            }
            SnapshotDue::Yes => {}
        }
        self.write_snapshot(effects)
    }

    fn write_snapshot(&mut self, effects: &mut Vec<Effect>) -> Result<(), ReplicaError> {
        let data = self
            .state_machine
            .snapshot()
            .map_err(ReplicaError::EncodeSnapshot)?;
        tracing::info!(index = %self.applied.index, bytes = data.len(), "snapshot taken");
        self.schedule.restart(data.len());
        let snapshot = Snapshot {
            meta: self.applied.clone(),
            data: Arc::from(data),
        };
        self.snapshot_pending = true;
        let batch = Batch {
            snapshot: Some(snapshot.clone()),
            ..Batch::default()
        };
        self.persist(batch, None, Vec::new(), Some(snapshot), effects);
        Ok(())
    }

    fn voter_turn(&self) -> VoterTurn {
        let voters = &self.applied.membership.voters;
        let own = self.node.id();
        VoterTurn {
            applied: self.applied.index,
            position: voters.keys().position(|voter| *voter == own),
            voters: voters.len(),
        }
    }
}

fn restore(snapshot: &Snapshot) -> Result<StateMachine, ReplicaError> {
    StateMachine::restore(&snapshot.data).map_err(|source| ReplicaError::RestoreSnapshot {
        index: snapshot.meta.index,
        source,
    })
}
