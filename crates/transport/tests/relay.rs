//! A relay carries any message but a relay, and no bytes nest deep.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, numbered};
use transport::{PeerMessage, Relay};
use types::{Address, NodeId, Role, ZoneName};

/// More levels than a thread's stack could hold.
const HOSTILE_LEVELS: usize = 200_000;

fn relay(body: PeerMessage) -> PeerMessage {
    let socket = "127.0.0.1:1".parse().unwrap();
    PeerMessage::Relay(Relay {
        origin: Address {
            node: NodeId(1),
            role: Role::Agent,
            zone: ZoneName::new("zone").unwrap(),
            socket,
        },
        destination: socket,
        body: Box::new(body),
    })
}

/// The bytes of a relay up to the length of its body.
fn head() -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&relay(PeerMessage::Discover)).unwrap();
    assert_eq!(bytes.split_off(bytes.len() - 2), [1, 0]);
    bytes
}

/// Relays within relays, with right lengths, built from the inside.
fn nested(levels: usize) -> Vec<u8> {
    let mut reversed: Vec<u8> = vec![0];
    for _ in 0..levels {
        let mut outer = head();
        outer.extend(postcard::to_stdvec(&reversed.len()).unwrap());
        reversed.extend(outer.iter().rev());
    }
    reversed.reverse();
    reversed
}

fn decode(bytes: &[u8]) -> Result<PeerMessage, postcard::Error> {
    postcard::from_bytes(bytes)
}

#[test]
fn a_relay_carries_a_message() {
    for body in [PeerMessage::Discover, numbered(7), common::sized(1_000)] {
        let message = relay(body);
        let bytes = postcard::to_stdvec(&message).unwrap();
        assert_eq!(decode(&bytes).unwrap(), message);
    }
    assert_eq!(decode(&nested(1)).unwrap(), relay(PeerMessage::Discover));
}

#[test]
fn a_relay_inside_a_relay_is_neither_encoded_nor_decoded() {
    assert!(postcard::to_stdvec(&relay(relay(PeerMessage::Discover))).is_err());
    for levels in [2, 3, HOSTILE_LEVELS] {
        assert!(decode(&nested(levels)).is_err(), "{levels} levels");
    }
    assert!(decode(&head().repeat(HOSTILE_LEVELS)).is_err());
}

#[tokio::test]
async fn a_nested_relay_is_dropped_and_the_connection_goes_on() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let to = receiver.socket();
    sender.transport.send(to, relay(relay(numbered(1))));
    sender.transport.send(to, relay(numbered(2)));
    assert_eq!(receiver.receive().await.body, relay(numbered(2)));
}
