//! Simulated cluster, reproducible by its seed: virtual time in milliseconds, a
//! faulty network, disks that lose writes that are not synced, freezes, and a
//! checker that runs after every event.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod checker;
pub mod machine;
pub mod script;

use checker::{Checker, Violation};
use consensus::{Membership, Message, Mutation, Options, RaftRole};
use machine::Machine;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use types::{LogIndex, Milliseconds, NodeId};

/// Share of the messages that are lost on a lossy link.
const LOSSY_SHARE: f64 = 0.06;
/// Time until a lost message arrives by retransmission, in milliseconds.
const RETRANSMISSION_MS: u64 = 220;

/// Event at a point in virtual time.
pub enum Event {
    Deliver {
        from: NodeId,
        to: NodeId,
        message: Message,
    },
    Synced {
        node: NodeId,
        incarnation: u64,
    },
    Unfreeze(NodeId),
}

/// Faults of the network.
#[derive(Clone, Copy)]
pub struct Network {
    pub loss: f64,
    pub duplicate: f64,
    /// Share of messages that are slow: they take up to `max_delay`.
    pub slow: f64,
    pub max_delay: u64,
    /// Only receiver of slow messages; `None` if all nodes can receive them.
    pub slow_to: Option<NodeId>,
}

impl Network {
    pub const RELIABLE: Self = Self {
        loss: 0.0,
        duplicate: 0.0,
        slow: 0.0,
        max_delay: 5,
        slow_to: None,
    };
    pub const FAULTY: Self = Self {
        loss: 0.05,
        duplicate: 0.05,
        slow: 0.05,
        max_delay: 2_500,
        slow_to: None,
    };
}

pub struct Cluster {
    pub now: u64,
    pub random: ChaCha8Rng,
    pub options: Options,
    pub machines: BTreeMap<NodeId, Machine>,
    pub network: Network,
    /// Links, from one node to another, that deliver no messages.
    pub cuts: BTreeSet<(NodeId, NodeId)>,
    /// Machines whose links to all others lose packets. As on a connection, a
    /// message waits until those lost before it on the same link are
    /// retransmitted.
    pub lossy: BTreeSet<NodeId>,
    /// Time at which each such link delivers again.
    link_free_at: BTreeMap<(NodeId, NodeId), u64>,
    /// Upper limit of the duration of a sync in milliseconds, for each machine
    /// whose disk is slow.
    pub slow_disks: BTreeMap<NodeId, u64>,
    /// Number of entries and snapshot chunks that were sent over a cut link.
    pub sent_over_cuts: usize,
    pub checker: Checker,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
}

pub fn socket(node: NodeId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(node.0).unwrap()))
}

pub fn membership(voters: &[u64], learners: &[u64]) -> Membership {
    let member = |id: &u64| (NodeId(*id), socket(NodeId(*id)));
    Membership {
        voters: voters.iter().map(member).collect(),
        learners: learners.iter().map(member).collect(),
    }
}

pub fn options(mutation: Option<Mutation>) -> Options {
    Options {
        max_append_bytes: 256,
        max_appends_in_flight: 4,
        snapshot_chunk_bytes: 16,
        retained_entries: 8,
        mutation,
        ..Options::default()
    }
}

/// Returns the number of entries in a message, or 1 for a snapshot chunk with
/// data.
fn payload_count(message: &Message) -> usize {
    match message {
        Message::Append { entries, .. } => entries.len(),
        Message::SnapshotChunk { data, .. } => usize::from(!data.is_empty()),
        _ => 0,
    }
}

impl Cluster {
    /// Creates a cluster and starts its machines. Nodes 1 to `voters` begin
    /// with the first membership, the others up to `machines` with none.
    pub fn new(seed: u64, voters: u64, machines: u64, mutation: Option<Mutation>) -> Self {
        let ids: Vec<u64> = (1..=voters).collect();
        let mut cluster = Self {
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            options: options(mutation),
            machines: BTreeMap::new(),
            network: Network::RELIABLE,
            cuts: BTreeSet::new(),
            lossy: BTreeSet::new(),
            link_free_at: BTreeMap::new(),
            slow_disks: BTreeMap::new(),
            sent_over_cuts: 0,
            checker: Checker::default(),
            events: BTreeMap::new(),
            next_event: 0,
        };
        for id in 1..=machines {
            let initial = if id <= voters {
                membership(&ids, &[])
            } else {
                Membership::default()
            };
            let machine = Machine::new(NodeId(id), initial);
            cluster.machines.insert(NodeId(id), machine);
            cluster.start(NodeId(id));
        }
        cluster
    }

    pub fn start(&mut self, id: NodeId) {
        let seed = self.random.random();
        let offset = self.random.random_range(0..1_000_000);
        let options = self.options.clone();
        let now = self.now;
        self.machine(id).start(options, seed, offset, now);
    }

    pub fn machine(&mut self, id: NodeId) -> &mut Machine {
        self.machines
            .get_mut(&id)
            .expect("a machine of the cluster")
    }

    pub fn crash(&mut self, id: NodeId) {
        let keep = self.random.random_range(0..3);
        self.machine(id).crash(keep);
    }

    pub fn freeze(&mut self, id: NodeId, length: u64) {
        let until = self.now + length;
        let machine = self.machine(id);
        if machine.node.is_some() && machine.frozen_until.is_none() {
            machine.frozen_until = Some(until);
            self.schedule(until, Event::Unfreeze(id));
        }
    }

    /// Cuts the links between `id` and all others, in one direction or both.
    pub fn isolate(&mut self, id: NodeId, outgoing: bool, incoming: bool) {
        let others: Vec<NodeId> = self.machines.keys().copied().collect();
        for other in others {
            if outgoing {
                self.cuts.insert((id, other));
            }
            if incoming {
                self.cuts.insert((other, id));
            }
        }
    }

    /// Restores all cut links and a reliable network, and starts all stopped
    /// machines.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.network = Network::RELIABLE;
        let stopped = self.machines.values().filter(|m| m.node.is_none());
        let down: Vec<NodeId> = stopped.map(|m| m.id).collect();
        for id in down {
            self.start(id);
        }
    }

    pub fn schedule(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        let at = at.max(self.now);
        self.events.insert((at, self.next_event), event);
    }

    fn transmit(&mut self, from: NodeId, to: NodeId, message: Message) {
        if !self.machines.contains_key(&to) {
            return;
        }
        if self.cuts.contains(&(from, to)) {
            self.sent_over_cuts += payload_count(&message);
            return;
        }
        let network = self.network;
        if self.random.random_bool(network.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(network.duplicate));
        for _ in 0..copies {
            let may_be_slow = network.slow_to.is_none_or(|receiver| receiver == to);
            let max_delay = if may_be_slow && self.random.random_bool(network.slow) {
                network.max_delay
            } else {
                5
            };
            let at = self.now + self.random.random_range(1..=max_delay);
            let at = self.lossy_arrival(from, to, at);
            let message = message.clone();
            self.schedule(at, Event::Deliver { from, to, message });
        }
    }

    /// Returns when a message arrives that would arrive at `at` over a link
    /// without loss.
    fn lossy_arrival(&mut self, from: NodeId, to: NodeId, at: u64) -> u64 {
        if !self.lossy.contains(&from) && !self.lossy.contains(&to) {
            return at;
        }
        let free_at = self.link_free_at.entry((from, to)).or_default();
        let at = at.max(*free_at);
        if self.random.random_bool(LOSSY_SHARE) {
            *free_at = at + RETRANSMISSION_MS;
            return at + RETRANSMISSION_MS;
        }
        at
    }

    /// Runs for `length` milliseconds of virtual time.
    pub fn run(&mut self, length: u64) -> Result<(), Violation> {
        let end = self.now + length;
        loop {
            let event_at = self.events.keys().next().map_or(u64::MAX, |(at, _)| *at);
            let wakeup_at = self.next_wakeup();
            let next = event_at.min(wakeup_at.max(self.now));
            if next > end {
                self.now = end;
                return Ok(());
            }
            self.now = next;
            if event_at <= next {
                if let Some((_, event)) = self.events.pop_first() {
                    self.handle(event);
                }
            } else {
                self.tick_due();
            }
            self.process_output()?;
        }
    }

    /// Runs until `done` returns true, for at most `length`. Returns whether it
    /// did.
    pub fn run_until(
        &mut self,
        length: u64,
        done: impl Fn(&Self) -> bool,
    ) -> Result<bool, Violation> {
        let end = self.now + length;
        while self.now < end {
            if done(self) {
                return Ok(true);
            }
            self.run(10)?;
        }
        Ok(done(self))
    }

    fn next_wakeup(&self) -> u64 {
        let wakeups = self.machines.values().filter_map(Machine::wakeup);
        wakeups.min().unwrap_or(u64::MAX)
    }

    fn tick_due(&mut self) {
        let now = self.now;
        for machine in self.machines.values_mut() {
            if machine.wakeup().is_some_and(|at| at <= now) {
                machine.tick(now);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Deliver { from, to, message } => self.machine(to).receive(now, from, message),
            Event::Synced { node, incarnation } => self.machine(node).sync(now, incarnation),
            Event::Unfreeze(id) => {
                let tick_first = self.random.random_bool(0.5);
                self.machine(id).unfreeze(now, tick_first);
            }
        }
    }

    /// Takes and processes the output of every node, then checks the
    /// invariants.
    pub fn process_output(&mut self) -> Result<(), Violation> {
        let ids: Vec<NodeId> = self.machines.keys().copied().collect();
        for id in ids {
            let max_sync_ms = self.slow_disks.get(&id).copied().unwrap_or(12);
            let delay = self.random.random_range(0..max_sync_ms);
            let now = self.now;
            let Some(machine) = self.machines.get_mut(&id) else {
                continue;
            };
            let output = machine.take_ready(now, delay, &mut self.checker)?;
            for outgoing in output.messages {
                self.transmit(id, outgoing.to, outgoing.message);
            }
            for (at, incarnation) in output.syncs {
                let node = id;
                self.schedule(at, Event::Synced { node, incarnation });
            }
        }
        self.checker.check(self.now, &self.machines)
    }

    /// Returns the node that holds the lease; `None` if there is none.
    pub fn leader(&self) -> Option<NodeId> {
        let holds_lease = |m: &&Machine| m.holds_lease(self.now);
        self.machines.values().find(holds_lease).map(|m| m.id)
    }

    pub fn wait_for_leader(&mut self) -> Result<NodeId, Violation> {
        self.run_until(20_000, |c| c.leader().is_some())?;
        self.leader().ok_or(Violation::NoProgress)
    }

    /// Proposes a command at the leader, if there is one.
    pub fn propose(&mut self, command: u64) -> Option<LogIndex> {
        let now = self.now;
        let leader = self.leader()?;
        self.machine(leader).propose(now, command)
    }

    pub fn applied(&self, id: NodeId) -> LogIndex {
        self.machines.get(&id).map_or(LogIndex(0), |m| m.applied)
    }

    pub fn role(&self, id: NodeId) -> Option<RaftRole> {
        Some(self.machines.get(&id)?.status(self.now)?.role)
    }

    pub fn election_timeout(&self) -> Milliseconds {
        self.options.election_timeout
    }
}
