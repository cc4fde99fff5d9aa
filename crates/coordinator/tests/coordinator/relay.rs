//! Relays: forwarded at most once, only from their origin, and never in a loop.

use crate::test_cluster::{TestCluster, address, socket};
use coordinator::{Effect, Input};
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage, Relay};
use types::{Address, Role};

const OTHER_PORT: u16 = 9_500;

fn relay(origin: &Address, destination: SocketAddr, body: PeerMessage) -> PeerMessage {
    PeerMessage::Relay(Relay {
        origin: origin.clone(),
        destination,
        body: Box::new(body),
    })
}

/// Delivers a message to the first coordinator and returns the messages it sends.
fn sent_after(cluster: &mut TestCluster, from: &Address, body: PeerMessage) -> Vec<Effect> {
    let envelope = Envelope {
        from: from.clone(),
        via: None,
        body,
    };
    let mut effects = cluster.effects(0, Input::Peer(envelope));
    effects.retain(|effect| matches!(effect, Effect::Send { .. }));
    effects
}

/// Starts a coordinator without seeds, which sends nothing on its own.
fn single_coordinator() -> TestCluster {
    let mut cluster = TestCluster::new(1);
    cluster.options.seeds.clear();
    cluster.start(0);
    cluster
}

#[test]
fn relay_is_forwarded_only_from_its_origin() {
    let mut cluster = single_coordinator();
    let agent = address(500, Role::Agent, 7_000);
    let other = address(501, Role::Agent, 7_001);
    let to = socket(OTHER_PORT);
    let message = relay(&agent, to, PeerMessage::Discover);
    let forwarded = Effect::Send {
        to,
        message: message.clone(),
    };
    assert_eq!(
        sent_after(&mut cluster, &agent, message.clone()),
        [forwarded]
    );
    assert_eq!(sent_after(&mut cluster, &other, message), []);
}

#[test]
fn nested_or_looping_relays_are_dropped() {
    let mut cluster = single_coordinator();
    let agent = address(500, Role::Agent, 7_000);
    let own = address(1, Role::Coordinator, 8_000);
    let to = socket(OTHER_PORT);
    let nested = relay(&agent, to, PeerMessage::Discover);
    let invalid = [
        (&agent, relay(&agent, to, nested.clone())),
        (&agent, relay(&agent, own.socket, nested)),
        (&agent, relay(&agent, agent.socket, PeerMessage::Discover)),
        (&agent, relay(&own, to, PeerMessage::Discover)),
        (&agent, relay(&own, own.socket, PeerMessage::Discover)),
        (&own, relay(&own, to, PeerMessage::Discover)),
        (&own, relay(&own, own.socket, PeerMessage::Discover)),
    ];
    for (from, message) in invalid {
        let sent = sent_after(&mut cluster, from, message.clone());
        assert_eq!(sent, [], "{message:?}");
    }
}

#[test]
fn answer_to_a_relayed_message_is_relayed_back() {
    let mut cluster = single_coordinator();
    let agent = address(500, Role::Agent, 7_000);
    let follower = address(2, Role::Coordinator, 8_001);
    let own = socket(8_000);
    let message = relay(&agent, own, PeerMessage::Discover);
    let sent = sent_after(&mut cluster, &follower, message);
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
