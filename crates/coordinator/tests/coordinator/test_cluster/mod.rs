//! Test cluster for the coordinator core, with virtual time, a simulated network,
//! disks in memory and scripted agents.

pub mod agent;
pub mod document;
pub mod jobs;
mod requests;
mod server;

use agent::ScriptedAgent;
use coordinator::{Coordinator, CoordinatorOptions, Effect, Input};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
pub use server::Server;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use storage::{MemoryDisk, Store};
use transport::{Envelope, OperationReply, PeerMessage, Rejection, Reply};
use types::{Address, Milliseconds, Monotonic, NodeId, Now, Role, WallTime, ZoneName};

/// Least delay of a message in milliseconds.
const LATENCY: u64 = 1;
/// Wall time at the origin of the monotonic clock, in milliseconds.
const WALL_START: u64 = 1_700_000_000_000;
const GATEWAY_PORT: u16 = 9_000;

pub fn socket(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn address(node: u64, role: Role, port: u16) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: ZoneName::new("a").unwrap(),
        socket: socket(port),
    }
}

pub struct TestCluster {
    pub now: u64,
    pub servers: Vec<Server>,
    pub agents: Vec<ScriptedAgent>,
    pub replies: BTreeMap<u64, Result<OperationReply, Rejection>>,
    /// All messages sent, with the port of the sender.
    pub sent: Vec<(u16, PeerMessage)>,
    /// Indexes of the snapshots written by coordinators.
    pub snapshots: Vec<types::LogIndex>,
    /// Ports whose messages are lost in both directions.
    pub partitioned: BTreeSet<u16>,
    pub options: CoordinatorOptions,
    /// Share of messages that are lost, per thousand.
    pub loss_per_thousand: u32,
    /// Longest delay of a message beyond [`LATENCY`], in milliseconds.
    pub extra_delay: u64,
    pub random: ChaCha8Rng,
    /// Messages in flight, by time of delivery and order of sending.
    in_flight: BTreeMap<(u64, u64), (SocketAddr, Envelope)>,
    next_message: u64,
    next_request: u64,
}

impl TestCluster {
    /// Creates `count` empty coordinators on ports from 8000 without starting them.
    pub fn new(count: u16) -> Self {
        let seeds: Vec<SocketAddr> = (0..count).map(|n| socket(8_000 + n)).collect();
        let servers = (0..count).map(|n| Server::new(8_000 + n, 1 + u64::from(n)));
        Self {
            now: 1_000,
            servers: servers.collect(),
            agents: Vec::new(),
            replies: BTreeMap::new(),
            sent: Vec::new(),
            snapshots: Vec::new(),
            partitioned: BTreeSet::new(),
            options: options(seeds),
            loss_per_thousand: 0,
            extra_delay: 0,
            random: ChaCha8Rng::seed_from_u64(1),
            in_flight: BTreeMap::new(),
            next_message: 0,
            next_request: 0,
        }
    }

    /// Starts three coordinators, with a leader and a configuration.
    pub fn ready() -> Self {
        Self::ready_with(None)
    }

    /// Starts a cluster like [`TestCluster::ready`], with a fault in its
    /// coordinators.
    pub fn ready_with(mutation: Option<coordinator::Mutation>) -> Self {
        Self::ready_by(|options| options.mutation = mutation)
    }

    /// Starts a cluster like [`TestCluster::ready`] whose options `change` has changed.
    pub fn ready_by(change: impl FnOnce(&mut CoordinatorOptions)) -> Self {
        let mut cluster = Self::new(3);
        change(&mut cluster.options);
        for server in 0..3 {
            cluster.start(server);
        }
        cluster.run(4_000);
        assert!(cluster.leader().is_some(), "no leader after 4 s");
        let put = cluster.put_configuration(1, document::document());
        cluster.run(200);
        assert!(matches!(cluster.replies.get(&put), Some(Ok(_))));
        cluster
    }

    pub fn clock(&self) -> Now {
        Now {
            monotonic: Monotonic(self.now),
            wall: WallTime(WALL_START + self.now),
        }
    }

    /// Starts a coordinator from its disk, which is created empty if missing.
    pub fn start(&mut self, server: usize) {
        let now = self.clock();
        let mut options = self.options.clone();
        let server = &mut self.servers[server];
        let disk = match server.store.take() {
            Some(store) => store.into_disk(),
            None => MemoryDisk::new(),
        };
        let opened = Store::open(disk).unwrap();
        options.address = address(server.next_identity, Role::Coordinator, server.port);
        server.store = Some(opened.store);
        server.core = Some(Coordinator::new(
            options,
            opened.identity,
            opened.recovered,
            now,
        ));
        server.stopped = false;
    }

    /// Kills a coordinator without a graceful shutdown. Its disk is kept.
    pub fn kill(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.core = None;
        server.held_syncs.clear();
        server.waiting.clear();
    }

    /// Wipes the disk of a killed coordinator, which gets a new identity.
    pub fn wipe(&mut self, server: usize) {
        let server = &mut self.servers[server];
        server.store = None;
        server.next_identity += 100;
    }

    /// Returns the coordinator that is the leader with a valid lease and is not
    /// frozen.
    pub fn leader(&self) -> Option<usize> {
        let now = self.clock();
        (0..self.servers.len()).find(|server| {
            let server = &self.servers[*server];
            let serves = server
                .core
                .as_ref()
                .is_some_and(|core| core.is_serving(now));
            serves && !server.frozen
        })
    }

    pub fn core(&self, server: usize) -> &Coordinator {
        self.servers[server].core.as_ref().unwrap()
    }

    pub fn status(&self, server: usize) -> Option<consensus::Status> {
        self.servers[server].core.as_ref()?.status(self.clock())
    }

    pub fn state_machine(&self) -> &state_machine::StateMachine {
        let leader = self.leader().expect("no leader");
        self.core(leader).state_machine().unwrap()
    }

    /// Advances the time in steps of one millisecond.
    pub fn run(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds {
            self.now += 1;
            self.deliver();
            self.tick_agents();
            for server in 0..self.servers.len() {
                let due = self.servers[server]
                    .core
                    .as_ref()
                    .is_some_and(|core| core.next_wakeup().0 <= self.now);
                if due && !self.servers[server].frozen {
                    self.input(server, Input::Tick);
                }
            }
        }
    }

    /// Runs until the condition holds; panics after `limit` milliseconds.
    pub fn run_until(&mut self, limit: u64, what: &str, holds: impl Fn(&Self) -> bool) {
        for _ in 0..limit {
            if holds(self) {
                return;
            }
            self.run(1);
        }
        panic!("timed out after {limit} ms waiting for {what}");
    }

    fn tick_agents(&mut self) {
        let coordinators: Vec<SocketAddr> = self.servers.iter().map(|s| socket(s.port)).collect();
        let mut out = Vec::new();
        for agent in &mut self.agents {
            let port = agent.address.socket.port();
            for (to, message) in agent.tick(self.now, &coordinators) {
                out.push((port, agent.address.clone(), to, message));
            }
        }
        for (port, from, to, message) in out {
            self.send(port, from, to, message);
        }
    }

    fn send(&mut self, port: u16, from: Address, to: SocketAddr, message: PeerMessage) {
        self.sent.push((port, message.clone()));
        if self.partitioned.contains(&port) || self.partitioned.contains(&to.port()) {
            return;
        }
        if self.random.random_range(0..1_000) < self.loss_per_thousand {
            return;
        }
        let at = self.now + LATENCY + self.random.random_range(0..=self.extra_delay);
        self.next_message += 1;
        let envelope = Envelope {
            from,
            via: None,
            body: message,
        };
        self.in_flight
            .insert((at, self.next_message), (to, envelope));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, envelope) = entry.remove();
            if self.partitioned.contains(&to.port()) {
                continue;
            }
            self.deliver_one(to, envelope);
        }
    }

    fn deliver_one(&mut self, to: SocketAddr, envelope: Envelope) {
        if let Some(server) = self.servers.iter().position(|s| socket(s.port) == to) {
            self.input(server, Input::Peer(envelope));
        } else if let Some(agent) = self.agents.iter_mut().find(|a| a.address.socket == to) {
            let now = self.now;
            let port = agent.address.socket.port();
            let from = agent.address.clone();
            for (to, message) in agent.receive(now, envelope) {
                self.send(port, from.clone(), to, message);
            }
        } else if to.port() == GATEWAY_PORT
            && let PeerMessage::Reply(Reply { id, result }) = unwrap_relay(envelope.body)
        {
            self.replies.insert(id.0, result);
        }
    }

    /// Passes an input to a coordinator and carries out the effects.
    pub fn input(&mut self, server: usize, input: Input) {
        if self.servers[server].core.is_none() {
            return;
        }
        if self.servers[server].frozen {
            if !matches!(input, Input::Tick) {
                self.servers[server].waiting.push(input);
            }
            return;
        }
        let mut inputs = vec![input];
        while !inputs.is_empty() {
            let input = inputs.remove(0);
            let effects = self.effects(server, input);
            for effect in effects {
                inputs.extend(self.execute(server, effect));
            }
        }
    }

    /// Resumes a frozen coordinator, which handles the waiting inputs in order.
    /// Returns the effects, which are not carried out.
    pub fn resume(&mut self, server: usize) -> Vec<Effect> {
        self.servers[server].frozen = false;
        let mut all = Vec::new();
        for input in std::mem::take(&mut self.servers[server].waiting) {
            all.extend(self.effects(server, input));
        }
        all
    }

    /// Carries out an effect and those that result from it.
    pub fn apply(&mut self, server: usize, effect: Effect) {
        if let Some(input) = self.execute(server, effect) {
            self.input(server, input);
        }
    }

    /// Passes an input to a coordinator and returns the effects, which are not
    /// carried out.
    pub fn effects(&mut self, server: usize, input: Input) -> Vec<Effect> {
        let now = self.clock();
        let mut effects = Vec::new();
        if let Some(core) = &mut self.servers[server].core {
            core.handle(now, input, &mut effects);
        }
        effects
    }

    fn execute(&mut self, server: usize, effect: Effect) -> Option<Input> {
        let port = self.servers[server].port;
        match effect {
            Effect::Send { to, message } => {
                let node = self.servers[server].next_identity;
                self.send(port, address(node, Role::Coordinator, port), to, message);
                None
            }
            Effect::Persist { number, batch } => {
                let snapshot = batch.snapshot.as_ref();
                self.snapshots
                    .extend(snapshot.map(|snapshot| snapshot.meta.index));
                let server = &mut self.servers[server];
                if server.disk_held {
                    server.held_syncs.push(number);
                }
                server.store.as_mut().unwrap().write(&batch).unwrap();
                (!server.disk_held).then_some(Input::Persisted { number })
            }
            Effect::SaveIdentity(identity) => {
                let server = &mut self.servers[server];
                let store = server.store.as_mut().unwrap();
                store.save_identity(&identity).unwrap();
                Some(Input::IdentitySaved)
            }
            Effect::Stopped => {
                self.servers[server].stopped = true;
                None
            }
            Effect::Ready(_) | Effect::Decision(_) => None,
        }
    }

    /// Completes the syncs that were held.
    pub fn release_disk(&mut self, server: usize) {
        self.servers[server].disk_held = false;
        for number in std::mem::take(&mut self.servers[server].held_syncs) {
            self.input(server, Input::Persisted { number });
        }
    }
}

fn unwrap_relay(message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Relay(relay) => *relay.body,
        other => other,
    }
}

fn options(seeds: Vec<SocketAddr>) -> CoordinatorOptions {
    CoordinatorOptions {
        address: address(0, Role::Coordinator, 0),
        seeds,
        bootstrap_rule: coordinator::BootstrapRule::Exact,
        stalled_after: None,
        move_slow: true,
        initial_coordinators: 3,
        consensus: consensus::Options::default(),
        scheduler: scheduler::SchedulerOptions::default(),
        session_lease: Milliseconds(2_000),
        replace_voter_after: Milliseconds(3_000),
        runner_wait: Milliseconds(2_000),
        snapshot_every: 1_000,
        max_waiting_requests: 100,
        decision_log_capacity: 100,
        seed: 7,
        mutation: None,
    }
}
