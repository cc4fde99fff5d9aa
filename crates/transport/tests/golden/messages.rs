//! Samples of messages about members, sessions and configuration, and the list of
//! all samples.

use super::bytes::Sample;
use super::samples::{address, addresses, document, name, socket};
use super::{answers, operations, orders, raft};
use configuration::LeftOutQueues;
use transport::{Bootstrap, Envelope, KeepAlive, Members, PeerMessage, Relay, SessionLease};
use types::{ClusterId, ConfigurationVersion, Milliseconds, Role, Term};

pub fn bootstraps() -> [Bootstrap; 3] {
    [
        Bootstrap::Announce { expected: 5 },
        Bootstrap::Propose {
            cluster: ClusterId(4_243),
            voters: raft::membership(),
        },
        Bootstrap::Accept {
            cluster: ClusterId(4_244),
        },
    ]
}

fn bootstrap_steps() -> Vec<Sample<PeerMessage>> {
    let [announce, propose, accept] = bootstraps().map(PeerMessage::Bootstrap);
    vec![
        Sample {
            name: "bootstrap.announce",
            value: announce,
        },
        Sample {
            name: "bootstrap.propose",
            value: propose,
        },
        Sample {
            name: "bootstrap.accept",
            value: accept,
        },
    ]
}

fn members() -> Vec<Sample<PeerMessage>> {
    let with_members = Members {
        members: addresses(),
        leader: Some(address(907, Role::Coordinator)),
        term: Term(40),
        cluster: Some(ClusterId(4_245)),
    };
    let without_members = Members {
        members: Vec::new(),
        leader: None,
        term: Term(0),
        cluster: None,
    };
    vec![
        Sample {
            name: "discover",
            value: PeerMessage::Discover,
        },
        Sample {
            name: "members",
            value: PeerMessage::Members(with_members),
        },
        Sample {
            name: "members.none",
            value: PeerMessage::Members(without_members),
        },
    ]
}

fn sessions() -> Vec<Sample<PeerMessage>> {
    let keep_alive = KeepAlive {
        sequence: 210,
        configuration: ConfigurationVersion(211),
        runners: vec![name("rowan"), name("sorb")],
        leaving: true,
        cluster: Some(ClusterId(4_246)),
    };
    let lease = SessionLease {
        term: Term(41),
        leader: address(908, Role::Coordinator),
        cluster: ClusterId(4_247),
        sequence: 212,
        lease: Milliseconds(2_500),
        configuration: ConfigurationVersion(213),
        coordinators: vec![address(909, Role::Coordinator)],
        others: vec![address(910, Role::Gateway), address(911, Role::Agent)],
    };
    let not_leader = PeerMessage::NotLeader {
        leader: Some(address(912, Role::Coordinator)),
    };
    let no_leader = PeerMessage::NotLeader { leader: None };
    let configuration = PeerMessage::Configuration {
        version: ConfigurationVersion(214),
        document: document(LeftOutQueues::Drain),
    };
    vec![
        Sample {
            name: "hello",
            value: PeerMessage::KeepAlive(keep_alive),
        },
        Sample {
            name: "lease",
            value: PeerMessage::Lease(lease),
        },
        Sample {
            name: "not-leader",
            value: not_leader,
        },
        Sample {
            name: "not-leader.none",
            value: no_leader,
        },
        Sample {
            name: "configuration",
            value: configuration,
        },
    ]
}

fn relays() -> Vec<Sample<PeerMessage>> {
    let relay = PeerMessage::Relay(Relay {
        origin: address(913, Role::Agent),
        destination: socket("[fd00::7]:7007"),
        body: Box::new(PeerMessage::Bootstrap(Bootstrap::Announce { expected: 7 })),
    });
    vec![Sample {
        name: "relay",
        value: relay,
    }]
}

/// Returns samples of all messages between daemons.
pub fn samples() -> Vec<Sample<PeerMessage>> {
    let groups = [
        members(),
        bootstrap_steps(),
        raft::samples(),
        sessions(),
        operations::samples(),
        answers::samples(),
        orders::samples(),
        relays(),
    ];
    groups.into_iter().flatten().collect()
}

/// Returns a relayed message and one received directly, each with its sender.
pub fn envelopes() -> Vec<Sample<Envelope>> {
    let relayed = Envelope {
        from: address(914, Role::Gateway),
        via: Some(socket("10.20.30.44:7004")),
        body: PeerMessage::Discover,
    };
    let direct = Envelope {
        from: address(915, Role::Agent),
        via: None,
        body: PeerMessage::Discover,
    };
    vec![
        Sample {
            name: "envelope.relayed",
            value: relayed,
        },
        Sample {
            name: "envelope.direct",
            value: direct,
        },
    ]
}
