//! An agent with a manually advanced clock, and the messages of one runner and a leader.

use agent::{Agent, AgentMutation, AgentOptions, Effect, Input, NotReady};
use std::net::SocketAddr;
use transport::{Envelope, OrderResult, PeerMessage, RunnerUpdate, SessionLease};
use types::{
    Address, ClusterId, ConfigurationVersion, HeartbeatSequence, Labels, Milliseconds, Monotonic,
    NodeId, Now, OrderAnswer, OrderKind, OrderSequence, PoolName, RackName, Resources, Role, RunId,
    RunnerId, RunnerIncarnation, RunnerOrder, RunnerReport, Term, WallTime, ZoneName,
};

pub const SESSION_INTERVAL_MS: u64 = 400;
pub const SESSION_LEASE_MS: u64 = 2_000;
pub const FREEZE_AFTER_MS: u64 = 1_000;
pub const ORDER_TIMEOUT_MS: u64 = 700;
/// Incarnation of the runner.
pub const INCARNATION: u64 = 3;
const AGENT_NODE: u64 = 50;

pub fn address(number: u64, role: Role) -> Address {
    Address {
        node: NodeId(number),
        role,
        zone: ZoneName::new("a").unwrap(),
        socket: SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(number).unwrap())),
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

/// Returns an order that revokes the run with the same sequence. The agent treats all
/// kinds of orders alike, except starts on draining runners.
pub fn order(term: u64, sequence: u64) -> RunnerOrder {
    RunnerOrder {
        name: None,
        term: Term(term),
        sequence: OrderSequence(sequence),
        runner: runner_id(),
        incarnation: RunnerIncarnation(INCARNATION),
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
        incarnation: RunnerIncarnation(INCARNATION),
        confirmed: HeartbeatSequence(confirmed),
        lease: Milliseconds(10_000),
        recorded: Vec::new(),
        stop: Vec::new(),
    }
}

/// The agent under test, with its clock and the effects of its last input.
pub struct Harness {
    pub agent: Agent,
    pub now_ms: u64,
    /// Effects of the last input.
    pub effects: Vec<Effect>,
    next_heartbeat: u64,
    newest_keep_alive: Option<u64>,
    last_readiness: Option<Result<(), NotReady>>,
}

impl Harness {
    pub fn new() -> Self {
        Self::build(|agent| agent)
    }

    pub fn with_mutation(mutation: AgentMutation) -> Self {
        Self::build(|agent| agent.with_mutation(mutation))
    }

    fn build(configure: impl FnOnce(Agent) -> Agent) -> Self {
        let options = AgentOptions {
            address: address(AGENT_NODE, Role::Agent),
            seeds: vec![leader().socket],
            session_interval: Milliseconds(SESSION_INTERVAL_MS),
            order_timeout: Milliseconds(ORDER_TIMEOUT_MS),
            freeze_after: Milliseconds(FREEZE_AFTER_MS),
            replica_valid: Milliseconds(2_000),
            seed: 5,
        };
        Self {
            agent: configure(Agent::new(options, Now::default())),
            now_ms: 0,
            effects: Vec::new(),
            next_heartbeat: 1,
            newest_keep_alive: None,
            last_readiness: None,
        }
    }

    /// Creates an agent with a session of term 1 and a runner that has sent a heartbeat in
    /// the session.
    pub fn with_session_and_runner() -> Self {
        let mut harness = Self::new();
        harness.open_session(1);
        harness.receive_heartbeat();
        harness
    }

    pub fn now(&self) -> Now {
        Now {
            monotonic: Monotonic(self.now_ms),
            wall: WallTime(self.now_ms),
        }
    }

    /// Passes one input to the agent, and stores its effects in `effects`.
    pub fn input(&mut self, input: Input) {
        self.effects.clear();
        let now = self.now();
        self.agent.handle(now, input, &mut self.effects);
        self.newest_keep_alive = self.keep_alive_in_effects().or(self.newest_keep_alive);
        self.last_readiness = self.readiness().or(self.last_readiness.take());
    }

    /// Advances the clock to `end_ms`, with a tick at each wakeup that the agent requests.
    pub fn advance_to(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            let wakeup = self.agent.next_wakeup().0;
            self.now_ms = wakeup.clamp(self.now_ms + 1, end_ms);
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

    /// Opens a session by answering the newest keep-alive with a lease of this term.
    pub fn open_session(&mut self, term: u64) {
        if self.newest_keep_alive.is_none() {
            let redirect = PeerMessage::NotLeader {
                leader: Some(leader()),
            };
            self.receive(address(2, Role::Coordinator), redirect);
        }
        let sequence = self
            .newest_keep_alive
            .expect("no keep-alive was sent to the leader");
        self.receive(leader(), lease(term, sequence));
    }

    fn keep_alive_in_effects(&self) -> Option<u64> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::KeepAlive(keep_alive),
                to,
            } if *to == leader().socket => Some(keep_alive.sequence),
            _ => None,
        })
    }

    /// Passes the next heartbeat of the runner to the agent.
    pub fn receive_heartbeat(&mut self) {
        let report = report(INCARNATION, self.next_heartbeat);
        self.next_heartbeat += 1;
        self.input(Input::Heartbeat(report));
    }

    /// Sends orders under the term of the first one.
    pub fn send_orders(&mut self, orders: Vec<RunnerOrder>) {
        let term = orders.first().map_or(Term(0), |order| order.term);
        self.send_orders_to(NodeId(AGENT_NODE), term, orders);
    }

    pub fn send_orders_to(&mut self, agent: NodeId, term: Term, orders: Vec<RunnerOrder>) {
        let message = PeerMessage::Orders {
            term,
            agent,
            orders,
        };
        self.receive(leader(), message);
    }

    pub fn answer_order(&mut self, order: RunnerOrder, answer: OrderAnswer) {
        self.input(Input::Answered { order, answer });
    }

    pub fn delivered_orders(&self) -> Vec<OrderSequence> {
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

    /// Returns the term in the answers to heartbeats.
    pub fn highest_term(&mut self) -> Term {
        self.agent.heartbeat_answer(&runner_id()).term
    }

    /// Returns whether the last readiness that the agent reported is ready.
    pub fn is_ready(&self) -> bool {
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

    /// Returns the heartbeats that the last input reported to the leader.
    pub fn reported_heartbeats(&self) -> Vec<HeartbeatSequence> {
        let reports = self.effects.iter().filter_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::AgentReport(report),
                ..
            } => Some(report.reports.iter().map(|report| report.sequence)),
            _ => None,
        });
        reports.flatten().collect()
    }

    /// Returns the readiness that the last input reported, or `None` if it did not change.
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
        lease: Milliseconds(SESSION_LEASE_MS),
        configuration: ConfigurationVersion(0),
        coordinators: vec![leader()],
        others: Vec::new(),
    })
}
