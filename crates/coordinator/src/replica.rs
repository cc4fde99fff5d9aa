//! The consensus node, the state machine that it feeds, and the order of the
//! disk.
//!
//! What the node returns is written, applied and sent in this order. Messages
//! that promise something about the disk wait for the sync of the batch they
//! belong to. Since syncs end in order, a batch with nothing to write waits
//! for the newest one still under way.

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
struct Outstanding {
    number: u64,
    /// Newest batch of the node that this sync covers.
    ready: Option<u64>,
    messages: Vec<Outgoing>,
    /// Own snapshot: the log may be cut when it is synced.
    snapshot: Option<Snapshot>,
}

/// An entry that was applied to the state machine.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) applied: Applied,
}

/// A batch of the consensus node, written and applied.
pub(crate) struct ProcessedBatch {
    /// Messages that may leave before any sync.
    pub(crate) messages: Vec<Outgoing>,
    pub(crate) applied: Result<Vec<AppliedEntry>, ReplicaError>,
}

/// What a replica is built with, beside what the disk held.
pub(crate) struct ReplicaOptions {
    pub(crate) cluster: ClusterId,
    /// Identity of this member.
    pub(crate) node: NodeId,
    /// First voters of the cluster; empty where this process joined.
    pub(crate) initial: Membership,
    /// Timings of consensus.
    pub(crate) consensus: consensus::Options,
    /// Seed of the election timeouts.
    pub(crate) seed: u64,
    /// Least number of entries between two snapshots.
    pub(crate) snapshot_every: u64,
    /// A fault built into the state machine, for the simulation.
    pub(crate) mutation: Option<state_machine::mutation::Mutation>,
}

/// One copy of the replicated state.
pub(crate) struct Replica {
    cluster: ClusterId,
    node: Node,
    state_machine: StateMachine,
    applied: SnapshotMeta,
    schedule: SnapshotSchedule,
    snapshot_under_way: bool,
    next_number: u64,
    outstanding: VecDeque<Outstanding>,
}

impl Replica {
    /// Builds a replica from what the disk held.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot on disk does not decode.
    pub(crate) fn new(
        options: ReplicaOptions,
        recovered: Recovered,
        now: Monotonic,
    ) -> Result<Self, ReplicaError> {
        let read_bytes = recovered.snapshot.as_ref().map(|read| read.data.len());
        let schedule = SnapshotSchedule::new(
            options.snapshot_every,
            options.node,
            read_bytes.unwrap_or_default() as u64,
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
            snapshot_under_way: false,
            next_number: 1,
            outstanding: VecDeque::new(),
        })
    }

    /// The cluster that the replica belongs to.
    pub(crate) fn cluster(&self) -> ClusterId {
        self.cluster
    }

    /// The state machine with all committed entries that this member knows.
    pub(crate) fn state_machine(&self) -> &StateMachine {
        &self.state_machine
    }

    /// The status of the consensus node.
    pub(crate) fn status(&self, now: Monotonic) -> Status {
        self.node.status(now)
    }

    /// Returns whether this member leads and its lease holds.
    pub(crate) fn holds_lease(&self, now: Monotonic) -> bool {
        self.node.holds_lease(now)
    }

    /// Returns whether a transfer of leadership is under way.
    pub(crate) fn is_handing_over(&self) -> bool {
        self.node.is_handing_over()
    }

    /// When the consensus node wants the next tick.
    pub(crate) fn next_wakeup(&self) -> Monotonic {
        self.node.next_wakeup()
    }

    /// Lets the consensus node check its timers.
    pub(crate) fn tick(&mut self, now: Monotonic) {
        self.node.tick(now);
    }

    /// Records how long messages wait for this process.
    pub(crate) fn record_lag(&mut self, lag: Milliseconds) {
        self.node.record_lag(lag);
    }

    /// Gives the consensus node a message of another member.
    pub(crate) fn step(&mut self, now: Monotonic, from: NodeId, message: Message) {
        self.node.step(now, from, message);
    }

    /// Hands leadership to the voter that is furthest; returns it if there is one.
    pub(crate) fn transfer_leadership(&mut self, now: Monotonic) -> Option<NodeId> {
        self.node.transfer_leadership(now)
    }

    /// Proposes a command; none if the node does not take it, because it hands
    /// over or does not lead.
    pub(crate) fn propose(&mut self, now: Monotonic, command: &Command) -> Option<LogIndex> {
        let bytes = command.encode().ok()?;
        self.node.propose(now, bytes).ok()
    }

    /// Proposes a membership.
    ///
    /// # Errors
    ///
    /// Returns why the node does not take the proposal now.
    pub(crate) fn propose_membership(
        &mut self,
        now: Monotonic,
        membership: Membership,
    ) -> Result<LogIndex, ProposeError> {
        self.node.propose_membership(now, membership)
    }

    /// Processes the next batch of the node, if it has one: writes, applies,
    /// and returns what may leave now.
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

    /// Writes a batch of the node; returns the messages that may leave now.
    fn store(
        &mut self,
        now: Monotonic,
        ready: &mut Ready,
        effects: &mut Vec<Effect>,
    ) -> Vec<Outgoing> {
        let mut messages = std::mem::take(&mut ready.messages);
        let later = std::mem::take(&mut ready.messages_after_persist);
        if ready.needs_persist() {
            let batch = Batch {
                hard_state: ready.hard_state,
                snapshot: ready.snapshot.clone(),
                entries: std::mem::take(&mut ready.entries),
            };
            self.persist(batch, Some(ready.number), later, None, effects);
        } else if let Some(newest) = self.newest_batch() {
            newest.ready = Some(ready.number);
            newest.messages.extend(later);
        } else {
            messages.extend(later);
            self.node.persisted(now, ready.number);
        }
        messages
    }

    /// The newest batch of the node that is not durable. Own snapshots beside it
    /// promise nothing to others.
    fn newest_batch(&mut self) -> Option<&mut Outstanding> {
        let mut newest_first = self.outstanding.iter_mut().rev();
        newest_first.find(|outstanding| outstanding.ready.is_some())
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
        self.outstanding.push_back(Outstanding {
            number,
            ready,
            messages,
            snapshot,
        });
        effects.push(Effect::Persist { number, batch });
    }

    /// Takes note that a write is durable; returns the messages that waited for it.
    pub(crate) fn persisted(&mut self, now: Monotonic, number: u64) -> Vec<Outgoing> {
        let mut messages = Vec::new();
        while let Some(oldest) = self.outstanding.pop_front() {
            if oldest.number > number {
                self.outstanding.push_front(oldest);
                break;
            }
            messages.extend(oldest.messages);
            if let Some(ready) = oldest.ready {
                self.node.persisted(now, ready);
            }
            if let Some(snapshot) = oldest.snapshot {
                self.snapshot_under_way = false;
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

    /// Writes a snapshot of its own when one is due.
    ///
    /// # Errors
    ///
    /// Returns an error if the state does not encode.
    pub(crate) fn snapshot_when_due(
        &mut self,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Result<(), ReplicaError> {
        // A joiner that has not reached its own admission in the log does not
        // know the membership a snapshot must name.
        let membership_known = !self.applied.membership.voters.is_empty();
        if self.snapshot_under_way || !membership_known {
            return Ok(());
        }
        match self.schedule.due(self.node.is_leader(), self.voter_turn()) {
            SnapshotDue::No => return Ok(()),
            SnapshotDue::AfterHandingOver => {
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
        self.snapshot_under_way = true;
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
