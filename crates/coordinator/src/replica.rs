//! The consensus node with the record it feeds, and the order of the disk.
//!
//! What the node gives out is written, applied and sent here. Messages that
//! promise something about the disk wait for the sync of the batch they
//! belong to. Since syncs end in order, a batch with nothing to write waits
//! for the newest one still under way.

use crate::core::Effect;
use crate::snapshots::{SnapshotDue, SnapshotSchedule, Turn};
use crate::{Coordinator, Mutation, core::Sender};
use consensus::message::Outgoing;
use consensus::{Membership, Message, Node, Payload, Ready, Recovered, Snapshot, SnapshotMeta};
use rand::Rng;
use state_machine::{Applied, Command, StateMachine};
use std::collections::VecDeque;
use std::sync::Arc;
use storage::Batch;
use transport::PeerMessage;
use types::{ClusterId, LogIndex, Monotonic, NodeId, Now, Term};

/// A write under way.
#[derive(Debug)]
struct Outstanding {
    number: u64,
    /// Newest batch of the node that this sync covers.
    ready: Option<u64>,
    messages: Vec<Outgoing>,
    /// Own snapshot: the log may be cut when it is synced.
    snapshot: Option<Snapshot>,
}

/// An entry applied to the record.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    pub(crate) index: LogIndex,
    pub(crate) term: Term,
    pub(crate) applied: Applied,
}

/// One copy of the replicated state.
pub(crate) struct Replica {
    pub(crate) cluster: ClusterId,
    pub(crate) node: Node,
    pub(crate) state_machine: StateMachine,
    applied: SnapshotMeta,
    schedule: SnapshotSchedule,
    snapshot_under_way: bool,
    next_number: u64,
    outstanding: VecDeque<Outstanding>,
}

impl Replica {
    /// A replica from what the disk held.
    pub(crate) fn new(
        cluster: ClusterId,
        schedule: SnapshotSchedule,
        initial: Membership,
        recovered: Recovered,
        node: impl FnOnce(Membership, Recovered) -> Node,
    ) -> Result<Self, String> {
        let (state_machine, applied) = match &recovered.snapshot {
            Some(snapshot) => (restore(snapshot)?, snapshot.meta.clone()),
            None => {
                let applied = SnapshotMeta {
                    membership: initial.clone(),
                    ..SnapshotMeta::default()
                };
                (StateMachine::new(), applied)
            }
        };
        Ok(Self {
            cluster,
            node: node(initial, recovered),
            state_machine,
            applied,
            schedule,
            snapshot_under_way: false,
            next_number: 1,
            outstanding: VecDeque::new(),
        })
    }

    /// Writes what a batch of the node holds and gives the messages that may
    /// leave now.
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

    /// The newest batch of the node still under way. Own snapshots beside it
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

    /// A sync ended: gives the messages that waited for it.
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

    /// Applies what a batch of the node committed.
    fn apply(&mut self, ready: Ready) -> Result<Vec<AppliedEntry>, String> {
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
            self.schedule.applied(entry.payload.bytes());
            match entry.payload {
                Payload::Noop => {}
                Payload::Membership(membership) => self.applied.membership = membership,
                Payload::Command(bytes) => {
                    let command = Command::decode(&bytes)
                        .map_err(|error| format!("entry {}: {error}", entry.index))?;
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
    fn snapshot_when_due(
        &mut self,
        now: Monotonic,
        effects: &mut Vec<Effect>,
    ) -> Result<(), String> {
        // A joiner that has not reached its own admission in the log does not
        // know the membership a snapshot must name.
        let membership_known = !self.applied.membership.voters.is_empty();
        if self.snapshot_under_way || !membership_known {
            return Ok(());
        }
        match self.schedule.due(self.node.is_leader(), self.turn()) {
            SnapshotDue::No => return Ok(()),
            SnapshotDue::AfterHandingOver => {
                if self.node.transfer_leadership(now).is_some() {
                    return Ok(());
                }
            }
            SnapshotDue::Yes => {}
        }
        let data = self
            .state_machine
            .snapshot()
            .map_err(|error| error.to_string())?;
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
}

impl Replica {
    fn turn(&self) -> Turn {
        let voters = &self.applied.membership.voters;
        let own = self.node.id();
        Turn {
            applied: self.applied.index,
            position: voters.keys().position(|voter| *voter == own),
            voters: voters.len(),
        }
    }
}

fn restore(snapshot: &Snapshot) -> Result<StateMachine, String> {
    StateMachine::restore(&snapshot.data)
        .map_err(|error| format!("snapshot at {}: {error}", snapshot.meta.index))
}

impl Coordinator {
    /// Starts the consensus node once the identity on disk names a cluster.
    pub(crate) fn start_replica(&mut self, recovered: Recovered, now: Monotonic) {
        let Some((cluster, initial)) = self.identification.attached() else {
            return;
        };
        let own = self.own.node;
        let options = self.options.consensus.clone();
        let seed = self.random.random();
        let read = recovered.snapshot.as_ref();
        let bytes = read.map_or(0, |snapshot| snapshot.data.len() as u64);
        let schedule = SnapshotSchedule::new(self.options.snapshot_every, own, bytes);
        let replica = Replica::new(
            cluster,
            schedule,
            initial,
            recovered,
            |initial, recovered| Node::new(own, options, initial, recovered, seed, now),
        );
        match replica {
            Ok(mut replica) => {
                if let Some(Mutation::StateMachine(mutation)) = self.options.mutation {
                    replica.state_machine.set_mutation(Some(mutation));
                }
                self.replica = Some(replica);
            }
            Err(reason) => self.fail(reason),
        }
    }

    /// Takes everything the node has to give: writes, applies, sends.
    pub(crate) fn pump(&mut self, now: Now, effects: &mut Vec<Effect>) {
        loop {
            let Some(replica) = &mut self.replica else {
                return;
            };
            let Some(mut ready) = replica.node.ready() else {
                break;
            };
            let messages = replica.store(now.monotonic, &mut ready, effects);
            let applied = replica.apply(ready);
            self.send_raft(now, messages, effects);
            match applied {
                Ok(entries) => self.entries_applied(now, entries),
                Err(reason) => return self.fail(reason),
            }
        }
        if let Some(replica) = &mut self.replica
            && let Err(reason) = replica.snapshot_when_due(now.monotonic, effects)
        {
            self.fail(reason);
        }
    }

    pub(crate) fn persisted(&mut self, now: Now, number: u64, effects: &mut Vec<Effect>) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let messages = replica.persisted(now.monotonic, number);
        self.send_raft(now, messages, effects);
    }

    /// Takes a consensus message, if it is for this cluster and this node.
    pub(crate) fn raft_received(
        &mut self,
        now: Now,
        sender: &Sender,
        cluster: ClusterId,
        to: NodeId,
        message: Message,
    ) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if cluster != replica.cluster || to != self.own.node {
            return;
        }
        self.identification.settled(sender.address.node);
        replica
            .node
            .step(now.monotonic, sender.address.node, message);
    }

    /// Sends to the sockets of the membership; to a process that is not in it
    /// (a leader, seen by a learner that has no log yet) as it was heard.
    fn send_raft(&self, now: Now, messages: Vec<Outgoing>, effects: &mut Vec<Effect>) {
        let Some(replica) = &self.replica else {
            return;
        };
        if messages.is_empty() {
            return;
        }
        let membership = replica.node.status(now.monotonic).membership;
        for outgoing in messages {
            let last_known = || self.directory.address(outgoing.to).map(|a| a.socket);
            let Some(to) = membership.socket(outgoing.to).or_else(last_known) else {
                continue;
            };
            effects.push(Effect::Send {
                to,
                message: PeerMessage::Raft {
                    cluster: replica.cluster,
                    to: outgoing.to,
                    message: outgoing.message,
                },
            });
        }
    }
}
