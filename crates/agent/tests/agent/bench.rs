//! An agent with a hand-moved clock, one runner and a leader.

use agent::{Agent, AgentMutation, AgentOptions, Effect, Input, NotReady};
use std::net::SocketAddr;
use transport::{Envelope, OrderResult, PeerMessage, RunnerUpdate, SessionLease};
use types::{
    Address, ClusterId, ConfigurationVersion, HeartbeatSequence, Labels, Milliseconds, Monotonic,
    NodeId, Now, OrderAnswer, OrderKind, OrderSequence, PoolName, RackName, Resources, Role, RunId,
    RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport, Term, WallTime, ZoneName,
};

pub const INTERVAL: u64 = 400;
pub const LEASE: u64 = 2_000;
pub const FREEZE: u64 = 1_000;
pub const ORDER_TIMEOUT: u64 = 700;
pub const LIFE: u64 = 3;
const OWN: u64 = 50;

pub fn address(number: u64, role: Role) -> Address {
    Address {
        node: NodeId(number),
        role,
        zone: ZoneName::new("a").unwrap(),
        socket: SocketAddr::from(([10, 0, 0, 1], 1_000 + number as u16)),
    }
}

pub fn leader() -> Address {
    address(1, Role::Coordinator)
}

pub fn runner_id() -> RunnerId {
    RunnerId::new("runner-1").unwrap()
}

pub fn run_id(sequence: u64) -> RunId {
    RunId {
        term: Term(1),
        sequence,
    }
}

pub fn report(incarnation: u64, sequence: u64) -> RunnerReport {
    RunnerReport {
        endpoint: None,
        unnamed: Vec::new(),
        runner: runner_id(),
        incarnation: RunnerIncarnation(incarnation),
        sequence: HeartbeatSequence(sequence),
        pool: PoolName::new("stills").unwrap(),
        rack: RackName::new("rack-1").unwrap(),
        labels: Labels::new(),
        capacity: Resources::ZERO,
        free: Resources::ZERO,
        draining: false,
        self_stop: true,
        active: Vec::new(),
        ended: Vec::new(),
    }
}

/// A revocation of run `sequence`, numbered like it. To the agent all orders are
/// alike.
pub fn order(term: u64, sequence: u64) -> RunnerOrder {
    RunnerOrder {
        name: None,
        term: Term(term),
        sequence: OrderSequence(sequence),
        runner: runner_id(),
        incarnation: RunnerIncarnation(LIFE),
        kind: OrderKind::Revoke {
            run: run_id(sequence),
        },
    }
}

pub fn update(term: u64, confirmed: u64) -> RunnerUpdate {
    RunnerUpdate {
        names: Vec::new(),
        term: Term(term),
        runner: runner_id(),
        incarnation: RunnerIncarnation(LIFE),
        confirmed: HeartbeatSequence(confirmed),
        lease: Milliseconds(10_000),
        recorded: Vec::new(),
        stop: Vec::new(),
    }
}

pub struct Bench {
    pub agent: Agent,
    pub at: u64,
    pub effects: Vec<Effect>,
    next_heartbeat: u64,
    newest_hello: Option<u64>,
    last_readiness: Option<Result<(), NotReady>>,
}

impl Bench {
    pub fn new() -> Self {
        Self::build(|agent| agent)
    }

    pub fn mutated(mutation: AgentMutation) -> Self {
        Self::build(|agent| agent.with_mutation(mutation))
    }

    fn build(change: impl FnOnce(Agent) -> Agent) -> Self {
        let options = AgentOptions {
            address: address(OWN, Role::Agent),
            seeds: vec![leader().socket],
            session_interval: Milliseconds(INTERVAL),
            order_timeout: Milliseconds(ORDER_TIMEOUT),
            freeze_after: Milliseconds(FREEZE),
            replica_valid: Milliseconds(2_000),
            seed: 5,
        };
        Self {
            agent: change(Agent::new(options, Now::default())),
            at: 0,
            effects: Vec::new(),
            next_heartbeat: 1,
            newest_hello: None,
            last_readiness: None,
        }
    }

    /// With a session of term 1 and a runner that has been heard in it.
    pub fn serving() -> Self {
        let mut bench = Self::new();
        bench.open(1);
        bench.heartbeat();
        bench
    }

    pub fn now(&self) -> Now {
        Now {
            monotonic: Monotonic(self.at),
            wall: WallTime(self.at),
        }
    }

    /// Gives one input; `effects` holds what came of it.
    pub fn input(&mut self, input: Input) {
        self.effects.clear();
        let now = self.now();
        self.agent.handle(now, input, &mut self.effects);
        self.newest_hello = self.hello_in_effects().or(self.newest_hello);
        self.last_readiness = self.readiness().or(self.last_readiness.take());
    }

    /// Lets time pass in ticks, as asked for by the agent.
    pub fn run_to(&mut self, at: u64) {
        while self.at < at {
            let wakeup = self.agent.next_wakeup().0;
            self.at = wakeup.clamp(self.at + 1, at);
            self.input(Input::Tick);
        }
    }

    pub fn receive(&mut self, from: Address, body: PeerMessage) {
        let envelope = Envelope {
            from,
            via: None,
            body,
        };
        self.input(Input::Peer(envelope));
    }

    /// Answers the newest keep-alive with a lease of this term.
    pub fn open(&mut self, term: u64) {
        if self.newest_hello.is_none() {
            let hint = PeerMessage::NotLeader {
                leader: Some(leader()),
            };
            self.receive(address(2, Role::Coordinator), hint);
        }
        let sequence = self.newest_hello.expect("a hello to the leader");
        self.receive(leader(), lease(term, sequence));
    }

    fn hello_in_effects(&self) -> Option<u64> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::KeepAlive(keep_alive),
                to,
            } if *to == leader().socket => Some(keep_alive.sequence),
            _ => None,
        })
    }

    pub fn heartbeat(&mut self) {
        let report = report(LIFE, self.next_heartbeat);
        self.next_heartbeat += 1;
        self.input(Input::Heartbeat(report));
    }

    pub fn order(&mut self, orders: Vec<RunnerOrder>) {
        let term = orders.first().map_or(Term(0), |order| order.term);
        self.order_to(NodeId(OWN), term, orders);
    }

    pub fn order_to(&mut self, agent: NodeId, term: Term, orders: Vec<RunnerOrder>) {
        let message = PeerMessage::Orders {
            term,
            agent,
            orders,
        };
        self.receive(leader(), message);
    }

    pub fn answer(&mut self, order: RunnerOrder, answer: OrderAnswer) {
        self.input(Input::Answered { order, answer });
    }

    pub fn delivered(&self) -> Vec<OrderSequence> {
        let delivered = self.effects.iter().filter_map(|effect| match effect {
            Effect::Deliver { order } => Some(order.sequence),
            _ => None,
        });
        delivered.collect()
    }

    pub fn delivered_with_terms(&self) -> Vec<(Term, OrderSequence)> {
        let delivered = self.effects.iter().filter_map(|effect| match effect {
            Effect::Deliver { order } => Some((order.term, order.sequence)),
            _ => None,
        });
        delivered.collect()
    }

    /// The term that runners are told.
    pub fn highest_term(&mut self) -> Term {
        self.agent.heartbeat_answer(&runner_id()).term
    }

    /// Whether the agent said last that it has a session.
    pub fn is_open(&self) -> bool {
        self.last_readiness == Some(Ok(()))
    }

    pub fn results(&self) -> Vec<OrderResult> {
        let results = self.effects.iter().filter_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::OrderResults { results },
                ..
            } => Some(results.clone()),
            _ => None,
        });
        results.flatten().collect()
    }

    pub fn answers(&self) -> Vec<OrderAnswer> {
        self.results()
            .into_iter()
            .map(|result| result.answer)
            .collect()
    }

    pub fn reported(&self) -> Vec<HeartbeatSequence> {
        let reports = self.effects.iter().filter_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::AgentReport(report),
                ..
            } => Some(report.reports.iter().map(|report| report.sequence)),
            _ => None,
        });
        reports.flatten().collect()
    }

    pub fn readiness(&self) -> Option<Result<(), NotReady>> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Ready(readiness) => Some(*readiness),
            _ => None,
        })
    }
}

pub fn lease(term: u64, sequence: u64) -> PeerMessage {
    PeerMessage::Lease(SessionLease {
        term: Term(term),
        leader: leader(),
        cluster: ClusterId(9),
        sequence,
        lease: Milliseconds(LEASE),
        configuration: ConfigurationVersion(0),
        coordinators: vec![leader()],
        others: Vec::new(),
    })
}
