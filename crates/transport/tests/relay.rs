//! A relay carries any message except a relay. Deeply nested input is rejected
//! before the recursion of the decoder overflows the stack.
#![allow(clippy::unwrap_used)]

mod common;

use common::{Daemon, KEY, numbered_message};
use transport::{PeerMessage, Relay};
use types::{Address, NodeId, Role, ZoneName};

/// Nesting depth at which a recursive decoder would overflow the stack.
const MALICIOUS_DEPTH: usize = 200_000;

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

/// Returns the bytes of an encoded relay up to the length of its body.
fn relay_header() -> Vec<u8> {
    let mut bytes = postcard::to_stdvec(&relay(PeerMessage::Discover)).unwrap();
    assert_eq!(bytes.split_off(bytes.len() - 2), [1, 0]);
    bytes
}

/// Returns the encoding of `depth` relays inside each other, with correct lengths.
/// Built in reverse from the innermost message, so that each step only appends.
fn nested(depth: usize) -> Vec<u8> {
    let mut reversed: Vec<u8> = vec![0];
    for _ in 0..depth {
        let mut outer = relay_header();
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
fn relay_of_other_message_round_trips() {
    for body in [
        PeerMessage::Discover,
        numbered_message(7),
        common::message_of_size(1_000),
    ] {
        let message = relay(body);
        let bytes = postcard::to_stdvec(&message).unwrap();
        assert_eq!(decode(&bytes).unwrap(), message);
    }
    assert_eq!(decode(&nested(1)).unwrap(), relay(PeerMessage::Discover));
}

#[test]
fn nested_relay_is_neither_encoded_nor_decoded() {
    assert!(postcard::to_stdvec(&relay(relay(PeerMessage::Discover))).is_err());
    for depth in [2, 3, MALICIOUS_DEPTH] {
        assert!(decode(&nested(depth)).is_err(), "depth {depth}");
    }
    assert!(decode(&relay_header().repeat(MALICIOUS_DEPTH)).is_err());
}

#[tokio::test]
async fn nested_relay_is_dropped_and_next_message_arrives() {
    let sender = Daemon::start(1, KEY).await;
    let mut receiver = Daemon::start(2, KEY).await;
    let to = receiver.socket();
    sender.transport.send(to, relay(relay(numbered_message(1))));
    sender.transport.send(to, relay(numbered_message(2)));
    assert_eq!(receiver.receive().await.body, relay(numbered_message(2)));
}
