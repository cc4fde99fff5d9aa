//! Hollow workers: the state machines of agents and emulated runners, thousands of
//! them in one process.
//!
//! Like a daemon, each worker has its own node id, loopback address, listener and
//! connections. Only HTTP between runner and agent is replaced, by function calls.

use super::observed::SharedObservations;
use super::plan::{LoadPayload, POOL};
use crate::LabError;
use crate::ports::Addresses;
use agent::{Agent, AgentOptions, Effect, Input};
use emulator::runner::{Behaviour, Runner, RunnerEvent, RunnerInstruction, RunnerOptions};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use transport::{ClusterKey, Envelope, PeerMessage, Transport, TransportOptions};
use types::{
    Address, Labels, Milliseconds, Monotonic, NodeId, Now, OrderAnswer, OrderKind, PoolName,
    RackName, Resources, Role, RunnerId, RunnerIncarnation, RunnerOrder, ZoneName,
};

/// Heartbeat interval of a runner, equal to that of the emulated runners.
const HEARTBEAT_INTERVAL: Milliseconds = Milliseconds(200);
/// Minimum time between two heartbeats if runs end in quick succession.
const HEARTBEAT_SPACING: Milliseconds = Milliseconds(20);
/// First group of loopback addresses; real daemons use lower groups.
const FIRST_GROUP: usize = 100;
/// Number of addresses used in a group.
const GROUP_MACHINES: usize = 250;
/// Number of agents started without a pause; coordinators limit the number of
/// unauthenticated connections.
const START_BATCH: usize = 20;
/// Pause between two batches.
const START_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of messages queued for one destination.
const QUEUE_LENGTH: usize = 1_024;
/// Maximum size of a message in bytes, equal to the daemons' default.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Number of workers in one rack.
const WORKERS_PER_RACK: usize = 40;
/// Zones, assigned to the workers in round robin.
const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Settings that all hollow workers of a trial share.
#[derive(Debug, Clone)]
pub struct HollowPlan {
    /// Peer sockets that the agents connect to first.
    pub seeds: Vec<SocketAddr>,
    /// Key that authenticates members of the cluster.
    pub key: ClusterKey,
    /// Capacity of every runner.
    pub capacity: Resources,
    /// Collector of the workers' observations.
    pub observed: SharedObservations,
}

/// Running hollow workers; dropping them stops all.
#[derive(Debug, Default)]
pub struct HollowWorkers {
    tasks: JoinSet<()>,
}

impl HollowWorkers {
    /// Starts `count` workers in batches.
    ///
    /// # Errors
    ///
    /// Fails if a socket or an agent cannot be started.
    pub async fn start(plan: &HollowPlan, count: usize) -> Result<Self, LabError> {
        let addresses = Addresses::default();
        let mut workers = Self::default();
        for index in 0..count {
            let (worker, inbox) = HollowWorker::build(plan, &addresses, index).await?;
            workers.tasks.spawn(worker.run(inbox));
            if index % START_BATCH == START_BATCH - 1 {
                tokio::time::sleep(START_PAUSE).await;
            }
        }
        Ok(workers)
    }
}

/// Agent with its runner.
struct HollowWorker {
    agent: Agent,
    runner: Runner,
    name: RunnerId,
    transport: Transport,
    observed: SharedObservations,
    next_heartbeat: Monotonic,
    last_heartbeat: Monotonic,
    is_ready: bool,
}

impl HollowWorker {
    async fn build(
        plan: &HollowPlan,
        addresses: &Addresses,
        index: usize,
    ) -> Result<(Self, transport::Inbox), LabError> {
        let name = format!("hollow-{index}");
        let invalid = |message: String| LabError::Runner {
            runner: name.clone(),
            message,
        };
        let zone = ZONES[index % ZONES.len()];
        let own = Address {
            node: NodeId(rand::random()),
            role: Role::Agent,
            zone: ZoneName::new(zone).map_err(|message| invalid(message.to_string()))?,
            socket: SocketAddr::new(address(addresses, index)?, 0),
        };
        let options = TransportOptions {
            listen: own.socket,
            queue_length: QUEUE_LENGTH,
            max_frame_bytes: MAX_FRAME_BYTES,
        };
        let started = Transport::start(options, plan.key.clone(), own).await;
        let (transport, inbox) = started.map_err(|message| invalid(message.to_string()))?;
        let runner =
            runner_options(plan, &name, index).map_err(|message| invalid(message.to_string()))?;
        let now = transport::clock::now();
        // Spreads the workers' heartbeats over the interval, as in a real fleet.
        let offset = Milliseconds(index as u64 % HEARTBEAT_INTERVAL.0);
        let worker = Self {
            agent: Agent::new(agent_options(plan, &transport, index), now),
            name: runner.runner.clone(),
            runner: Runner::new(runner, now.monotonic),
            transport,
            observed: plan.observed.clone(),
            next_heartbeat: now.monotonic + offset,
            last_heartbeat: now.monotonic,
            is_ready: false,
        };
        Ok((worker, inbox))
    }

    async fn run(mut self, mut inbox: transport::Inbox) {
        loop {
            self.advance(transport::clock::now());
            let pause = self.pause();
            tokio::select! {
                Some(envelope) = inbox.recv() => self.handle_message(envelope),
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn handle_message(&mut self, envelope: Envelope) {
        let configured = match &envelope.body {
            PeerMessage::Configuration { version, .. } => Some(*version),
            _ => None,
        };
        let now = transport::clock::now();
        self.input(now, Input::Peer(envelope));
        if let Some(version) = configured {
            self.observed.configured(version, now.monotonic);
        }
    }

    fn advance(&mut self, now: Now) {
        let events = self.runner.tick(now.monotonic);
        self.record(now, events);
        if now.monotonic >= self.next_heartbeat {
            self.heartbeat(now);
        }
        if now.monotonic >= self.agent.next_wakeup() {
            self.input(now, Input::Tick);
        }
    }

    fn heartbeat(&mut self, now: Now) {
        self.last_heartbeat = now.monotonic;
        self.next_heartbeat = now.monotonic + HEARTBEAT_INTERVAL;
        let report = self.runner.heartbeat(now.monotonic);
        self.input(now, Input::Heartbeat(report));
        let answer = self.agent.heartbeat_answer(&self.name);
        let instruction = RunnerInstruction {
            term: answer.term,
            confirmed: answer.confirmed,
            incarnation: answer.incarnation,
            lease: answer.lease,
            recorded: answer.recorded,
            stop: answer.stop,
        };
        let events = self.runner.heartbeat_answered(now.monotonic, &instruction);
        self.record(now, events);
    }

    fn input(&mut self, now: Now, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut effects = Vec::new();
            self.agent.handle(now, input, &mut effects);
            for effect in effects {
                inputs.extend(self.perform(now, effect));
            }
        }
    }

    fn perform(&mut self, now: Now, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Send { to, message } => self.transport.send(to, message),
            Effect::Deliver { order } => return Some(self.deliver(now, order)),
            Effect::Ready(readiness) => {
                if self.is_ready && readiness.is_err() {
                    self.observed.session_lost();
                }
                self.is_ready = readiness.is_ok();
            }
            Effect::Stopped => {}
        }
        None
    }

    fn deliver(&mut self, now: Now, order: RunnerOrder) -> Input {
        let (answer, events) = self.runner.order(now.monotonic, &order);
        self.record(now, events);
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        if is_start && answer != OrderAnswer::Started {
            self.observed.not_started();
        }
        Input::Answered { order, answer }
    }

    fn record(&mut self, now: Now, events: Vec<RunnerEvent>) {
        for event in events {
            match event {
                RunnerEvent::Started(spec) => {
                    let payload: Option<LoadPayload> = serde_json::from_str(&spec.payload).ok();
                    let wait = payload.map(|payload| {
                        let sent = Monotonic(payload.sent_at);
                        (now.monotonic.since(sent).0, payload.urgent)
                    });
                    self.observed.started(spec.run.term, now.monotonic, wait);
                }
                RunnerEvent::Ended { .. } => {
                    let soon = self.last_heartbeat + HEARTBEAT_SPACING;
                    self.next_heartbeat = self.next_heartbeat.min(soon);
                }
                RunnerEvent::EndRecorded { .. } | RunnerEvent::AcceptedStale(_) => {}
            }
        }
    }

    fn pause(&self) -> Duration {
        let next = self.next_heartbeat.min(self.agent.next_wakeup());
        let next = self.runner.next_wakeup().map_or(next, |due| due.min(next));
        Duration::from_millis(next.since(transport::clock::now().monotonic).0)
    }
}

fn address(addresses: &Addresses, index: usize) -> Result<std::net::IpAddr, LabError> {
    let too_many = |_| LabError::Address(std::io::Error::other("too many hollow workers"));
    let group = u8::try_from(FIRST_GROUP + index / GROUP_MACHINES).map_err(too_many)?;
    let machine = u8::try_from(1 + index % GROUP_MACHINES).map_err(too_many)?;
    Ok(addresses.machine(group, machine))
}

fn agent_options(plan: &HollowPlan, transport: &Transport, index: usize) -> AgentOptions {
    AgentOptions {
        address: transport.own().clone(),
        seeds: plan.seeds.clone(),
        session_interval: Milliseconds(400),
        order_timeout: Milliseconds(1_000),
        freeze_after: Milliseconds(1_000),
        replica_valid: Milliseconds(1_800),
        seed: index as u64,
    }
}

fn runner_options(
    plan: &HollowPlan,
    name: &str,
    index: usize,
) -> Result<RunnerOptions, types::InvalidName> {
    Ok(RunnerOptions {
        runner: RunnerId::new(name)?,
        incarnation: RunnerIncarnation(1),
        pool: PoolName::new(POOL)?,
        rack: RackName::new(format!("rack-{}", index / WORKERS_PER_RACK))?,
        labels: Labels::new(),
        capacity: plan.capacity,
        behaviour: Behaviour::Healthy,
        mutation: None,
        seed: index as u64,
    })
}
