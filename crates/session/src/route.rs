//! Routing of replies, and of messages relayed by other members.

use std::net::SocketAddr;
use transport::{Envelope, PeerMessage, Relay};
use types::Address;

/// Messages to send, each with the socket of its receiver.
pub(crate) type Outbox = Vec<(SocketAddr, PeerMessage)>;

/// Addresses a reply to the sender of `envelope`, through the member that
/// relayed the envelope, if any.
pub fn reply_to(
    own: &Address,
    envelope: &Envelope,
    body: PeerMessage,
) -> (SocketAddr, PeerMessage) {
    match envelope.via {
        None => (envelope.from.socket, body),
        Some(relay) => through(own, relay, envelope.from.socket, body),
    }
}

/// Wraps a message to `destination` in a relay, addressed to the member at
/// `relay`.
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

/// Decision on an envelope that may contain a relay.
#[derive(Debug)]
pub enum RelayDecision {
    /// The message is addressed to this process, directly or through a relay.
    Own(Envelope),
    /// The message must be forwarded unchanged to the process at this socket.
    Forward(SocketAddr, PeerMessage),
    /// The message is an invalid relay and must be dropped.
    Dropped,
}

/// Decides how to handle an envelope, which may contain a relay to `own` or to
/// another process.
///
/// A relay to another process is forwarded only if it was sent by its origin and
/// is not addressed to its origin. A relay within a relay is dropped. So a
/// message takes at most two hops and cannot loop. A relay whose sender or
/// origin is `own` is dropped as well.
pub fn unwrap_relay(own: &Address, envelope: Envelope) -> RelayDecision {
    let Envelope { from, via, body } = envelope;
    let PeerMessage::Relay(relay) = body else {
        return RelayDecision::Own(Envelope { from, via, body });
    };
    let is_nested = via.is_some() || matches!(*relay.body, PeerMessage::Relay(_));
    let is_from_own = from.node == own.node || relay.origin.node == own.node;
    if is_nested || is_from_own {
        return RelayDecision::Dropped;
    }
    if relay.destination == own.socket {
        return RelayDecision::Own(Envelope {
            from: relay.origin,
            via: Some(from.socket),
            body: *relay.body,
        });
    }
    let returns_to_origin = relay.destination == relay.origin.socket;
    if from.node == relay.origin.node && !returns_to_origin {
        return RelayDecision::Forward(relay.destination, PeerMessage::Relay(relay));
    }
    RelayDecision::Dropped
}
