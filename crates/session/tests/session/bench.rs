//! A session client with a hand-moved clock, and answers of coordinators.

use configuration::ClusterConfiguration;
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{Envelope, KeepAlive, PeerMessage, Relay, SessionLease};
use types::{
    Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, Now, Role, Term, WallTime,
    ZoneName,
};

pub const INTERVAL: u64 = 400;
pub const LEASE: u64 = 2_000;
pub const OWN: u64 = 50;

pub fn socket(number: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(number).unwrap()))
}

pub fn address(number: u64, role: Role) -> Address {
    Address {
        node: types::NodeId(number),
        role,
        zone: ZoneName::new("a").unwrap(),
        socket: socket(number),
    }
}

pub fn coordinator(number: u64) -> Address {
    address(number, Role::Coordinator)
}

pub struct Bench {
    pub client: SessionClient,
    pub at: u64,
    pub sent: Vec<(SocketAddr, PeerMessage)>,
    pub events: Vec<SessionEvent>,
    pub rest: Vec<Envelope>,
}

impl Bench {
    pub fn new(seeds: &[u64]) -> Self {
        let options = SessionOptions {
            address: address(OWN, Role::Agent),
            seeds: seeds.iter().map(|seed| socket(*seed)).collect(),
            interval: Milliseconds(INTERVAL),
            replica_valid: Milliseconds(2_000),
            seed: 7,
        };
        Self {
            client: SessionClient::new(options, Now::default()),
            at: 0,
            sent: Vec::new(),
            events: Vec::new(),
            rest: Vec::new(),
        }
    }

    pub fn now(&self) -> Now {
        Now {
            monotonic: Monotonic(self.at),
            wall: WallTime(self.at),
        }
    }

    /// Moves the clock and ticks; what is sent is in `sent` alone.
    pub fn tick_at(&mut self, at: u64) {
        self.at = at;
        self.sent.clear();
        let now = self.now();
        self.events
            .extend(self.client.tick(now, &[], &mut self.sent));
    }

    pub fn receive(&mut self, from: &Address, body: PeerMessage) {
        let envelope = Envelope {
            from: from.clone(),
            via: None,
            body,
        };
        let now = self.now();
        let (events, rest) = self.client.handle(now, envelope, &mut self.sent);
        self.events.extend(events);
        self.rest.extend(rest);
    }

    pub fn receive_relayed(&mut self, by: &Address, origin: &Address, body: PeerMessage) {
        let relay = Relay {
            origin: origin.clone(),
            destination: socket(OWN),
            body: Box::new(body),
        };
        self.receive(by, PeerMessage::Relay(relay));
    }

    /// The newest direct keep-alive to a socket.
    pub fn hello_to(&self, number: u64) -> Option<KeepAlive> {
        self.sent
            .iter()
            .rev()
            .find_map(|(to, message)| match message {
                PeerMessage::KeepAlive(keep_alive) if *to == socket(number) => {
                    Some(keep_alive.clone())
                }
                _ => None,
            })
    }

    /// The newest keep-alive through one member to another.
    pub fn hello_through(&self, relay: u64, leader: u64) -> Option<KeepAlive> {
        self.sent.iter().rev().find_map(|(to, message)| {
            let PeerMessage::Relay(relayed) = message else {
                return None;
            };
            let fits = *to == socket(relay) && relayed.destination == socket(leader);
            match &*relayed.body {
                PeerMessage::KeepAlive(keep_alive) if fits => Some(keep_alive.clone()),
                _ => None,
            }
        })
    }

    /// Discovery and first lease of term 1 under coordinator 1, at time 0.
    pub fn opened() -> Self {
        let mut bench = Self::new(&[1]);
        bench.tick_at(0);
        let members = transport::Members {
            members: vec![coordinator(1), coordinator(2), coordinator(3)],
            leader: Some(coordinator(1)),
            term: Term(1),
            cluster: Some(ClusterId(9)),
        };
        bench.receive(&coordinator(1), PeerMessage::Members(members));
        let keep_alive = bench.hello_to(1).expect("a hello to the leader");
        bench.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
        bench
    }
}

pub fn lease(term: u64, leader: u64, sequence: u64) -> PeerMessage {
    lease_with(term, leader, sequence, 0)
}

pub fn lease_with(term: u64, leader: u64, sequence: u64, version: u64) -> PeerMessage {
    PeerMessage::Lease(SessionLease {
        term: Term(term),
        leader: coordinator(leader),
        cluster: ClusterId(9),
        sequence,
        lease: Milliseconds(LEASE),
        configuration: ConfigurationVersion(version),
        coordinators: vec![coordinator(1), coordinator(2), coordinator(3)],
        others: Vec::new(),
    })
}

pub fn configuration(version: u64) -> PeerMessage {
    PeerMessage::Configuration {
        version: ConfigurationVersion(version),
        document: ClusterConfiguration::default(),
    }
}
