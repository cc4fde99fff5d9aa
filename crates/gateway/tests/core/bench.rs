//! One gateway before emulated coordinators, on a clock that the test moves.

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

pub const PLACES: usize = 32;
pub const RESEND_AFTER: u64 = 400;
const STEP: u64 = 50;

/// A coordinator that answers keep-alives as a leader, points at one, or is silent.
pub struct Coordinator {
    pub address: Address,
    pub leads: bool,
    pub silent: bool,
}

/// An answer as the shell gets it.
pub type Answer = (TicketId, Result<OperationReply, Rejection>);

/// The gateway under test and all it talks to.
pub struct Bench {
    pub gateway: Gateway,
    pub now: u64,
    pub coordinators: Vec<Coordinator>,
    pub term: u64,
    pub version: u64,
    pub document: ClusterConfiguration,
    /// Requests as coordinators received them, with who did and when.
    pub requests: Vec<(usize, u64, Request)>,
    pub answers: Vec<Answer>,
    pub readiness: Vec<Result<(), NotReady>>,
    pub goodbyes: usize,
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

impl Bench {
    /// A gateway whose only leader is coordinator 0 of 2; not ready yet.
    pub fn new() -> Self {
        Self::with_identity(9)
    }

    fn with_identity(node: u64) -> Self {
        let coordinators: Vec<_> = (1..=2)
            .map(|node| Coordinator {
                address: address(node, Role::Coordinator),
                leads: node == 1,
                silent: false,
            })
            .collect();
        let options = GatewayOptions {
            address: address(node, Role::Gateway),
            seeds: coordinators.iter().map(|c| c.address.socket).collect(),
            session_interval: Milliseconds(200),
            replica_valid: Milliseconds(2_000),
            max_waiting_requests: PLACES,
            resend_after: Milliseconds(RESEND_AFTER),
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
            goodbyes: 0,
            stopped: false,
            next_ticket: 0,
        }
    }

    /// As [`Bench::new`], with a session.
    pub fn connected() -> Self {
        Self::connected_as(9)
    }

    /// Connected, as the process with this identity.
    pub fn connected_as(node: u64) -> Self {
        let mut bench = Self::with_identity(node);
        bench.advance(500);
        assert_eq!(bench.readiness.last(), Some(&Ok(())));
        bench
    }

    /// Connected, with these keys in force: `boss` (operator), `app` (caller
    /// of tenant poster) and `box` (runner); each secret is `secret`.
    pub fn with_keys() -> Self {
        let mut bench = Self::new();
        let key = |id: &str, role| Key {
            id: id.parse().unwrap(),
            role,
            hash: KeyHash::new([1; 16], b"secret"),
        };
        bench.document.keys = vec![
            key("boss", KeyRole::Operator),
            key("app", KeyRole::Caller("poster".parse().unwrap())),
            key("box", KeyRole::Runner),
        ];
        bench.version = 1;
        bench.advance(500);
        bench
    }

    /// Moves the clock in small steps, with a tick and all answers at each.
    pub fn advance(&mut self, length: u64) {
        let end = self.now + length;
        while self.now < end {
            self.now = (self.now + STEP).min(end);
            self.input(Input::Tick);
        }
    }

    /// Moves the clock at once, as a freeze does, then gives this input.
    pub fn freeze(&mut self, length: u64, input: Input) {
        self.now += length;
        self.input(input);
    }

    /// Gives one input and carries out all effects.
    pub fn input(&mut self, input: Input) {
        let mut pending = vec![input];
        while let Some(input) = pending.pop() {
            let mut effects = Vec::new();
            self.gateway.handle(at(self.now), input, &mut effects);
            for effect in effects {
                self.carry_out(effect, &mut pending);
            }
        }
    }

    /// Asks without a key; gives the ticket.
    pub fn ask(&mut self, time_left: u64, operation: Operation) -> TicketId {
        self.ask_as(None, time_left, operation)
    }

    /// Asks with a token; gives the ticket.
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

    /// The answer to a ticket, if it came. A second one fails the test.
    pub fn answer(&self, ticket: TicketId) -> Option<&Result<OperationReply, Rejection>> {
        let mut answers = self.answers.iter().filter(|(given, _)| *given == ticket);
        let first = answers.next();
        assert!(answers.next().is_none(), "a second answer to {ticket:?}");
        first.map(|(_, result)| result)
    }

    /// The rejection a ticket got.
    pub fn rejection(&self, ticket: TicketId) -> &Rejection {
        let answer = self.answer(ticket).expect("no answer yet");
        answer.as_ref().expect_err("not a refusal")
    }

    /// Coordinator `from` answers the request it received last.
    pub fn reply(&mut self, from: usize, result: Result<OperationReply, Rejection>) {
        let request = &self.requests.last().expect("no request").2;
        let body = PeerMessage::Reply(Reply {
            id: request.id,
            result,
        });
        self.deliver(from, body);
    }

    /// A message from a coordinator arrives.
    pub fn deliver(&mut self, from: usize, body: PeerMessage) {
        self.input(Input::Peer(self.envelope(from, body)));
    }

    /// Coordinator `to` leads from now on, under the next term.
    pub fn elect(&mut self, to: usize) {
        self.term += 1;
        for (index, coordinator) in self.coordinators.iter_mut().enumerate() {
            coordinator.leads = index == to;
        }
    }

    fn envelope(&self, from: usize, body: PeerMessage) -> Envelope {
        Envelope {
            from: self.coordinators[from].address.clone(),
            via: None,
            body,
        }
    }

    fn carry_out(&mut self, effect: Effect, pending: &mut Vec<Input>) {
        match effect {
            Effect::Respond { ticket, result } => self.answers.push((ticket, result)),
            Effect::Ready(readiness) => self.readiness.push(readiness),
            Effect::Stopped => self.stopped = true,
            Effect::Send { to, message } => {
                let found = self
                    .coordinators
                    .iter()
                    .position(|c| c.address.socket == to);
                let index = found.expect("sent to nobody");
                if !self.coordinators[index].silent {
                    let answers = self.arrive(index, message);
                    pending.extend(answers.into_iter().map(Input::Peer));
                }
            }
        }
    }

    /// A message reaches a coordinator, which may have to pass it on.
    fn arrive(&mut self, index: usize, message: PeerMessage) -> Vec<Envelope> {
        let (receiver, via, body) = match message {
            PeerMessage::Relay(relay) => {
                let to = relay.destination;
                let found = self
                    .coordinators
                    .iter()
                    .position(|c| c.address.socket == to);
                let via = self.coordinators[index].address.socket;
                (found.expect("relayed to nobody"), Some(via), *relay.body)
            }
            body => (index, None, body),
        };
        if self.coordinators[receiver].silent {
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
        let leader = self.coordinators.iter().find(|c| c.leads);
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
                self.goodbyes += 1;
                Vec::new()
            }
            PeerMessage::KeepAlive(keep_alive) if self.coordinators[index].leads => {
                self.lease(index, &keep_alive)
            }
            PeerMessage::Request(request) if self.coordinators[index].leads => {
                self.requests.push((index, self.now, request));
                Vec::new()
            }
            PeerMessage::KeepAlive(_) | PeerMessage::Request(_) => {
                vec![PeerMessage::NotLeader { leader }]
            }
            other => panic!("unexpected {other:?}"),
        }
    }

    /// The lease, given last, is delivered first; then the document, if wanted.
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

/// A job of a tenant.
pub fn job_key(tenant: &str, job: &str) -> JobKey {
    JobKey {
        tenant: tenant.parse().unwrap(),
        job: job.parse().unwrap(),
    }
}

/// A submit of a tenant.
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

/// The answer to a submit.
pub fn submitted() -> Result<OperationReply, Rejection> {
    Ok(OperationReply::Submitted {
        number: types::JobNumber(1),
        known: false,
    })
}
