//! Relays: passed on once, from their origin only, and never round.

use crate::test_cluster::{TestCluster, address, socket};
use coordinator::{Effect, Input};
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage, Relay};
use types::{Address, Role};

const ELSEWHERE: u16 = 9_500;

fn relay(origin: &Address, destination: SocketAddr, body: PeerMessage) -> PeerMessage {
    PeerMessage::Relay(Relay {
        origin: origin.clone(),
        destination,
        body: Box::new(body),
    })
}

/// What the first coordinator sends when a message arrives.
fn sent_on(cluster: &mut TestCluster, from: &Address, body: PeerMessage) -> Vec<Effect> {
    let envelope = Envelope {
        from: from.clone(),
        via: None,
        body,
    };
    let mut effects = cluster.effects(0, Input::Peer(envelope));
    effects.retain(|effect| matches!(effect, Effect::Send { .. }));
    effects
}

/// A coordinator that waits for others and says nothing by itself.
fn lone() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.options.seeds.clear();
    cluster.start(0);
    cluster
}

#[test]
fn a_relay_is_passed_on_from_its_origin_only() {
    let mut cluster = lone();
    let agent = address(500, Role::Agent, 7_000);
    let other = address(501, Role::Agent, 7_001);
    let to = socket(ELSEWHERE);
    let message = relay(&agent, to, PeerMessage::Discover);
    let passed_on = Effect::Send {
        to,
        message: message.clone(),
    };
    assert_eq!(sent_on(&mut cluster, &agent, message.clone()), [passed_on]);
    assert_eq!(sent_on(&mut cluster, &other, message), []);
}

#[test]
fn relays_that_would_go_round_are_dropped() {
    let mut cluster = lone();
    let agent = address(500, Role::Agent, 7_000);
    let own = address(1, Role::Coordinator, 8_000);
    let to = socket(ELSEWHERE);
    let nested = relay(&agent, to, PeerMessage::Discover);
    let hostile = [
        (&agent, relay(&agent, to, nested.clone())),
        (&agent, relay(&agent, own.socket, nested)),
        (&agent, relay(&agent, agent.socket, PeerMessage::Discover)),
        (&agent, relay(&own, to, PeerMessage::Discover)),
        (&agent, relay(&own, own.socket, PeerMessage::Discover)),
        (&own, relay(&own, to, PeerMessage::Discover)),
        (&own, relay(&own, own.socket, PeerMessage::Discover)),
    ];
    for (from, message) in hostile {
        let sent = sent_on(&mut cluster, from, message.clone());
        assert_eq!(sent, [], "{message:?}");
    }
}

#[test]
fn the_answer_to_a_relayed_message_takes_the_same_way_back() {
    let mut cluster = lone();
    let agent = address(500, Role::Agent, 7_000);
    let follower = address(2, Role::Coordinator, 8_001);
    let own = socket(8_000);
    let message = relay(&agent, own, PeerMessage::Discover);
    let sent = sent_on(&mut cluster, &follower, message);
    let [Effect::Send { to, message }] = sent.as_slice() else {
        panic!("{sent:?}");
    };
    assert_eq!(*to, follower.socket);
    let PeerMessage::Relay(answer) = message else {
        panic!("{message:?}");
    };
    assert_eq!(answer.destination, agent.socket);
    assert!(matches!(*answer.body, PeerMessage::Members(_)));
}
