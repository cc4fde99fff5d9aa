//! Addressing of answers and relays.

use std::net::SocketAddr;
use transport::{Envelope, PeerMessage, Relay};
use types::Address;

/// Addresses an answer to the sender of `envelope`, by the member that relayed
/// it if it came by one.
pub fn answer_to(
    own: &Address,
    envelope: &Envelope,
    body: PeerMessage,
) -> (SocketAddr, PeerMessage) {
    match envelope.via {
        None => (envelope.from.socket, body),
        Some(relay) => through(own, relay, envelope.from.socket, body),
    }
}

/// Addresses a message to `destination` through `relay`.
pub fn through(
    own: &Address,
    relay: SocketAddr,
    destination: SocketAddr,
    body: PeerMessage,
) -> (SocketAddr, PeerMessage) {
    let message = PeerMessage::Relay(Relay {
        origin: own.clone(),
        destination,
        body: Box::new(body),
    });
    (relay, message)
}

/// What a receiver does with an envelope that may hold a relay.
#[derive(Debug)]
pub enum Opened {
    /// Meant for this process.
    Own(Envelope),
    /// To be sent on to this socket.
    Forward(SocketAddr, PeerMessage),
    /// Neither: dropped.
    Dropped,
}

/// Opens a relay meant for `own`. A relay for another process is sent on only
/// if it comes from its origin and does not lead back there, and a relay inside
/// a relay never: so a message takes two hops at most and cannot go round.
/// What claims to come from `own` is dropped.
pub fn open(own: &Address, envelope: Envelope) -> Opened {
    let Envelope { from, via, body } = envelope;
    let PeerMessage::Relay(relay) = body else {
        return Opened::Own(Envelope { from, via, body });
    };
    let nested = via.is_some() || matches!(*relay.body, PeerMessage::Relay(_));
    let of_own = from.node == own.node || relay.origin.node == own.node;
    if nested || of_own {
        return Opened::Dropped;
    }
    if relay.destination == own.socket {
        return Opened::Own(Envelope {
            from: relay.origin,
            via: Some(from.socket),
            body: *relay.body,
        });
    }
    let returns_to_origin = relay.destination == relay.origin.socket;
    if from.node == relay.origin.node && !returns_to_origin {
        return Opened::Forward(relay.destination, PeerMessage::Relay(relay));
    }
    Opened::Dropped
}
