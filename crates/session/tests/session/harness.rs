//! Test support: a session client with a simulated clock, and messages of
//! coordinators.

use configuration::ClusterConfiguration;
use session::{SessionClient, SessionEvent, SessionOptions};
use std::net::SocketAddr;
use transport::{Envelope, KeepAlive, PeerMessage, Relay, SessionLease};
use types::{
    Address, ClusterId, ConfigurationVersion, Milliseconds, Monotonic, Now, Role, Term, WallTime,
    ZoneName,
};

/// Keep-alive interval, in milliseconds.
pub const INTERVAL: u64 = 400;
/// Duration of a lease, in milliseconds.
pub const LEASE: u64 = 2_000;
/// Number of the process under test.
pub const OWN: u64 = 50;

/// Returns the peer socket of a process; a process of number `n` is node `n`.
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

/// Session client with a simulated clock and recorded output.
pub struct Harness {
    pub client: SessionClient,
    /// Time of the clock, in milliseconds.
    pub time_ms: u64,
    /// Messages sent since the last tick, that tick included.
    pub sent: Vec<(SocketAddr, PeerMessage)>,
    /// All events so far.
    pub events: Vec<SessionEvent>,
    /// Messages that the client returned because they are not of the session.
    pub returned: Vec<Envelope>,
}

impl Harness {
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
            time_ms: 0,
            sent: Vec::new(),
            events: Vec::new(),
            returned: Vec::new(),
        }
    }

    pub fn now(&self) -> Now {
        Now {
            monotonic: Monotonic(self.time_ms),
            wall: WallTime(self.time_ms),
        }
    }

    /// Sets the clock, clears the recorded messages and calls the client's tick.
    pub fn tick_at(&mut self, time_ms: u64) {
        self.time_ms = time_ms;
        self.sent.clear();
        let now = self.now();
        self.events
            .extend(self.client.tick(now, &[], &mut self.sent));
    }

    /// Passes a message from a process to the client.
    pub fn receive(&mut self, from: &Address, body: PeerMessage) {
        let envelope = Envelope {
            from: from.clone(),
            via: None,
            body,
        };
        let now = self.now();
        let (events, returned) = self.client.handle(now, envelope, &mut self.sent);
        self.events.extend(events);
        self.returned.extend(returned);
    }

    /// Passes a message to the client that `relay` relayed from `origin`.
    pub fn receive_relayed(&mut self, relay: &Address, origin: &Address, body: PeerMessage) {
        let message = Relay {
            origin: origin.clone(),
            destination: socket(OWN),
            body: Box::new(body),
        };
        self.receive(relay, PeerMessage::Relay(message));
    }

    /// Returns the last direct keep-alive in `sent` to a process.
    pub fn keep_alive_to(&self, number: u64) -> Option<KeepAlive> {
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

    /// Returns the last keep-alive in `sent` to `leader` through `relay`.
    pub fn keep_alive_through(&self, relay: u64, leader: u64) -> Option<KeepAlive> {
        self.sent.iter().rev().find_map(|(to, message)| {
            let PeerMessage::Relay(relayed) = message else {
                return None;
            };
            let is_on_path = *to == socket(relay) && relayed.destination == socket(leader);
            match &*relayed.body {
                PeerMessage::KeepAlive(keep_alive) if is_on_path => Some(keep_alive.clone()),
                _ => None,
            }
        })
    }

    /// Creates a client with a session: discovery and first lease at time 0, from
    /// coordinator 1 in term 1.
    pub fn with_session() -> Self {
        let mut harness = Self::new(&[1]);
        harness.tick_at(0);
        let members = transport::Members {
            members: vec![coordinator(1), coordinator(2), coordinator(3)],
            leader: Some(coordinator(1)),
            term: Term(1),
            cluster: Some(ClusterId(9)),
        };
        harness.receive(&coordinator(1), PeerMessage::Members(members));
        let keep_alive = harness.keep_alive_to(1).expect("keep-alive to the leader");
        harness.receive(&coordinator(1), lease(1, 1, keep_alive.sequence));
        harness
    }
}

/// Builds a lease of `leader` in reply to the keep-alive with number `sequence`.
pub fn lease(term: u64, leader: u64, sequence: u64) -> PeerMessage {
    lease_with_version(term, leader, sequence, 0)
}

/// Builds a lease that reports configuration version `version`.
pub fn lease_with_version(term: u64, leader: u64, sequence: u64, version: u64) -> PeerMessage {
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

/// Builds a message with an empty configuration of version `version`.
pub fn configuration(version: u64) -> PeerMessage {
    PeerMessage::Configuration {
        version: ConfigurationVersion(version),
        document: ClusterConfiguration::default(),
    }
}
