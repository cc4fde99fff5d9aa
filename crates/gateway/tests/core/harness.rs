//! A gateway core with emulated coordinators and a clock that the test controls.

use configuration::{ClusterConfiguration, Key, KeyHash, KeyRole};
use gateway::{Caller, Effect, Gateway, GatewayOptions, Input, NotReady, TicketId};
use std::net::SocketAddr;
use transport::{
    Envelope, KeepAlive, Members, Operation, OperationReply, PeerMessage, Rejection, Reply,
    Request, SessionLease,
};
use types::{
    Address, ClusterId, ConfigurationVersion, JobKey, JobSpec, Milliseconds, Monotonic, NodeId,
    Now, Role, StepSpec, Term, Urgency, WallTime,
};

/// Maximum number of pending requests of the gateway.
pub const MAX_WAITING_REQUESTS: usize = 32;
/// Time to the first resend of an unanswered request, in milliseconds.
pub const RESEND_AFTER_MS: u64 = 400;
/// Time between two ticks, in milliseconds.
const TICK_INTERVAL_MS: u64 = 50;

/// Emulated coordinator: the leader, a follower that names the leader, or unresponsive.
pub struct Coordinator {
    pub address: Address,
    pub is_leader: bool,
    /// Whether the coordinator drops every message.
    pub unresponsive: bool,
}

/// Answer that the core passes to the shell.
pub type Answer = (TicketId, Result<OperationReply, Rejection>);

/// The gateway under test, its emulated coordinators and its recorded effects.
pub struct Harness {
    pub gateway: Gateway,
    /// Current time, in milliseconds.
    pub now: u64,
    pub coordinators: Vec<Coordinator>,
    pub term: u64,
    pub version: u64,
    pub document: ClusterConfiguration,
    /// Requests that coordinators received, each with the index of the coordinator and
    /// the time in milliseconds.
    pub requests: Vec<(usize, u64, Request)>,
    pub answers: Vec<Answer>,
    pub readiness: Vec<Result<(), NotReady>>,
    /// Number of keep-alives by which the gateway left its session.
    pub leave_messages: usize,
    pub stopped: bool,
    next_ticket: u64,
}

fn address(node: u64, role: Role) -> Address {
    Address {
        node: NodeId(node),
        role,
        zone: "z-1".parse().unwrap(),
        socket: SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(node).unwrap())),
    }
}

impl Harness {
    /// Creates a gateway without a session. Coordinator 0 of 2 is the leader.
    pub fn new() -> Self {
        Self::with_identity(9)
    }

    fn with_identity(node: u64) -> Self {
        let coordinators: Vec<_> = (1..=2)
            .map(|node| Coordinator {
                address: address(node, Role::Coordinator),
                is_leader: node == 1,
                unresponsive: false,
            })
            .collect();
        let options = GatewayOptions {
            address: address(node, Role::Gateway),
            seeds: coordinators.iter().map(|c| c.address.socket).collect(),
            session_interval: Milliseconds(200),
            replica_valid: Milliseconds(2_000),
            max_waiting_requests: MAX_WAITING_REQUESTS,
            resend_after: Milliseconds(RESEND_AFTER_MS),
            seed: 5,
        };
        Self {
            gateway: Gateway::new(options, at(1_000)),
            now: 1_000,
            coordinators,
            term: 1,
            version: 0,
            document: ClusterConfiguration::default(),
            requests: Vec::new(),
            answers: Vec::new(),
            readiness: Vec::new(),
            leave_messages: 0,
            stopped: false,
            next_ticket: 0,
        }
    }

    /// Creates a gateway that has a session and is ready.
    pub fn connected() -> Self {
        Self::connected_as(9)
    }

    /// Creates a gateway with the identity `node` that has a session and is ready.
    pub fn connected_as(node: u64) -> Self {
        let mut harness = Self::with_identity(node);
        harness.advance(500);
        assert_eq!(harness.readiness.last(), Some(&Ok(())));
        harness
    }

    /// Creates a gateway with a session, whose configuration contains the keys `boss`
    /// (operator), `app` (caller of tenant poster) and `box` (runner). The secret of
    /// each key is `secret`.
    pub fn with_keys() -> Self {
        let mut harness = Self::new();
        let key = |id: &str, role| Key {
            id: id.parse().unwrap(),
            role,
            hash: KeyHash::new([1; 16], b"secret"),
        };
        harness.document.keys = vec![
            key("boss", KeyRole::Operator),
            key("app", KeyRole::Caller("poster".parse().unwrap())),
            key("box", KeyRole::Runner),
        ];
        harness.version = 1;
        harness.advance(500);
        harness
    }

    /// Advances the clock in steps of [`TICK_INTERVAL_MS`]. Each step passes a tick to
    /// the gateway and delivers the messages that follow.
    pub fn advance(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.now = (self.now + TICK_INTERVAL_MS).min(end);
            self.input(Input::Tick);
        }
    }

    /// Advances the clock in one step without ticks, as when the process is frozen, and
    /// then passes `input` to the gateway.
    pub fn freeze(&mut self, length: u64, input: Input) {
        self.now += length;
        self.input(input);
    }

    /// Passes one input to the gateway and executes all effects.
    pub fn input(&mut self, input: Input) {
        let mut pending = vec![input];
        while let Some(input) = pending.pop() {
            let mut effects = Vec::new();
            self.gateway.handle(at(self.now), input, &mut effects);
            for effect in effects {
                self.execute(effect, &mut pending);
            }
        }
    }

    /// Sends a request without a key, and returns its ticket.
    pub fn ask(&mut self, time_left: u64, operation: Operation) -> TicketId {
        self.ask_as(None, time_left, operation)
    }

    /// Sends a request with a token, and returns its ticket.
    pub fn ask_as(
        &mut self,
        token: Option<&str>,
        time_left: u64,
        operation: Operation,
    ) -> TicketId {
        self.next_ticket += 1;
        let ticket = TicketId(self.next_ticket);
        self.input(Input::Request {
            ticket,
            caller: Caller {
                token: token.map(str::to_owned),
            },
            time_left: Milliseconds(time_left),
            operation,
        });
        ticket
    }

    /// Returns the answer to a request, or `None` if it is unanswered. Panics if there is
    /// more than one answer.
    pub fn answer(&self, ticket: TicketId) -> Option<&Result<OperationReply, Rejection>> {
        let mut answers = self
            .answers
            .iter()
            .filter(|(answered, _)| *answered == ticket);
        let first = answers.next();
        assert!(
            answers.next().is_none(),
            "more than one answer to {ticket:?}"
        );
        first.map(|(_, result)| result)
    }

    /// Returns the rejection of a request. Panics if the request was not rejected.
    pub fn rejection(&self, ticket: TicketId) -> &Rejection {
        let answer = self.answer(ticket).expect("request is unanswered");
        answer.as_ref().expect_err("request was not rejected")
    }

    /// Replies from coordinator `from` to the request that was received last.
    pub fn reply(&mut self, from: usize, result: Result<OperationReply, Rejection>) {
        let request = &self
            .requests
            .last()
            .expect("no coordinator received a request")
            .2;
        let body = PeerMessage::Reply(Reply {
            id: request.id,
            result,
        });
        self.deliver(from, body);
    }

    /// Delivers a message of coordinator `from` to the gateway.
    pub fn deliver(&mut self, from: usize, body: PeerMessage) {
        self.input(Input::Peer(self.envelope(from, body)));
    }

    /// Makes coordinator `to` the leader of the next term.
    pub fn elect(&mut self, to: usize) {
        self.term += 1;
        for (index, coordinator) in self.coordinators.iter_mut().enumerate() {
            coordinator.is_leader = index == to;
        }
    }

    fn envelope(&self, from: usize, body: PeerMessage) -> Envelope {
        Envelope {
            from: self.coordinators[from].address.clone(),
            via: None,
            body,
        }
    }

    fn execute(&mut self, effect: Effect, pending: &mut Vec<Input>) {
        match effect {
            Effect::Respond { ticket, result } => self.answers.push((ticket, result)),
            Effect::Ready(readiness) => self.readiness.push(readiness),
            Effect::Stopped => self.stopped = true,
            Effect::Send { to, message } => {
                let found = self
                    .coordinators
                    .iter()
                    .position(|c| c.address.socket == to);
                let index = found.expect("message to an unknown socket");
                if !self.coordinators[index].unresponsive {
                    let answers = self.route(index, message);
                    pending.extend(answers.into_iter().map(Input::Peer));
                }
            }
        }
    }

    /// Delivers a message to a coordinator, or to the destination of a relayed message.
    /// Returns the replies.
    fn route(&mut self, index: usize, message: PeerMessage) -> Vec<Envelope> {
        let (receiver, via, body) = match message {
            PeerMessage::Relay(relay) => {
                let to = relay.destination;
                let found = self
                    .coordinators
                    .iter()
                    .position(|c| c.address.socket == to);
                let via = self.coordinators[index].address.socket;
                (
                    found.expect("relayed message to an unknown socket"),
                    Some(via),
                    *relay.body,
                )
            }
            body => (index, None, body),
        };
        if self.coordinators[receiver].unresponsive {
            return Vec::new();
        }
        let from = self.coordinators[receiver].address.clone();
        let answers = self.receive(receiver, body).into_iter();
        answers
            .map(|body| Envelope {
                from: from.clone(),
                via,
                body,
            })
            .collect()
    }

    fn receive(&mut self, index: usize, message: PeerMessage) -> Vec<PeerMessage> {
        let leader = self.coordinators.iter().find(|c| c.is_leader);
        let leader = leader.map(|c| c.address.clone());
        match message {
            PeerMessage::Discover => vec![PeerMessage::Members(Members {
                members: self
                    .coordinators
                    .iter()
                    .map(|c| c.address.clone())
                    .collect(),
                leader,
                term: Term(self.term),
                cluster: Some(ClusterId(3)),
            })],
            PeerMessage::KeepAlive(keep_alive) if keep_alive.leaving => {
                self.leave_messages += 1;
                Vec::new()
            }
            PeerMessage::KeepAlive(keep_alive) if self.coordinators[index].is_leader => {
                self.lease(index, &keep_alive)
            }
            PeerMessage::Request(request) if self.coordinators[index].is_leader => {
                self.requests.push((index, self.now, request));
                Vec::new()
            }
            PeerMessage::KeepAlive(_) | PeerMessage::Request(_) => {
                vec![PeerMessage::NotLeader { leader }]
            }
            other => panic!("unexpected message: {other:?}"),
        }
    }

    /// Returns the lease, and the document if the gateway's version is older.
    /// [`Harness::input`] delivers the last message first, so the gateway receives the
    /// lease before the document.
    fn lease(&self, index: usize, keep_alive: &KeepAlive) -> Vec<PeerMessage> {
        let version = ConfigurationVersion(self.version);
        let mut answers = Vec::new();
        if keep_alive.configuration < version {
            answers.push(PeerMessage::Configuration {
                version,
                document: self.document.clone(),
            });
        }
        answers.push(PeerMessage::Lease(SessionLease {
            term: Term(self.term),
            leader: self.coordinators[index].address.clone(),
            cluster: ClusterId(3),
            sequence: keep_alive.sequence,
            lease: Milliseconds(1_500),
            configuration: version,
            coordinators: self
                .coordinators
                .iter()
                .map(|c| c.address.clone())
                .collect(),
            others: Vec::new(),
        }));
        answers
    }
}

fn at(milliseconds: u64) -> Now {
    Now {
        monotonic: Monotonic(milliseconds),
        wall: WallTime(milliseconds),
    }
}

/// Returns the key of a job.
pub fn job_key(tenant: &str, job: &str) -> JobKey {
    JobKey {
        tenant: tenant.parse().unwrap(),
        job: job.parse().unwrap(),
    }
}

/// Returns a submit of a job with one step.
pub fn submit(tenant: &str, job: &str) -> Operation {
    let JobKey { tenant, job } = job_key(tenant, job);
    Operation::Submit(JobSpec {
        payload: String::new(),
        tenant,
        job,
        queue: "hover".parse().unwrap(),
        urgency: Urgency::Normal,
        start_at: None,
        steps: vec![StepSpec {
            rules: Default::default(),
            name: "frame".parse().unwrap(),
            after: Vec::new(),
            tasks: 1,
            resources: types::Resources::ZERO,
            labels: types::Labels::new(),
            max_copies: 1,
            allowed_failures: 0,
            time_limit: Milliseconds(1_000),
            payload: String::new(),
        }],
    })
}

/// Returns the leader's result for a submit of a new job.
pub fn submitted() -> Result<OperationReply, Rejection> {
    Ok(OperationReply::Submitted {
        number: types::JobNumber(1),
        known: false,
    })
}
