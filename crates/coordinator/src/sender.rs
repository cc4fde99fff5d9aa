//! Sender of a message, and the route of an answer to it.

use crate::effect::Effect;
use session::route;
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage};
use types::Address;

/// Process that sent a message, and the coordinator that relayed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sender {
    pub(crate) address: Address,
    /// Peer socket of the coordinator that relayed the message. `None` if it
    /// arrived directly.
    pub(crate) via: Option<SocketAddr>,
}

/// Message and the socket to which it is sent.
#[derive(Debug, Clone)]
pub(crate) struct AddressedMessage {
    pub(crate) to: SocketAddr,
    pub(crate) message: PeerMessage,
}

impl Sender {
    /// Returns the sender of a message. A relayed message must be unwrapped
    /// before.
    pub(crate) fn of(envelope: &Envelope) -> Self {
        Self {
            address: envelope.from.clone(),
            via: envelope.via,
        }
    }

    /// Addresses an answer to the sender, through the relay of the message if
    /// there was one.
    pub(crate) fn answer(&self, own: &Address, message: PeerMessage) -> AddressedMessage {
        let (to, message) = match self.via {
            None => (self.address.socket, message),
            Some(via) => route::through(own, via, self.address.socket, message),
        };
        AddressedMessage { to, message }
    }
}

impl From<AddressedMessage> for Effect {
    fn from(addressed: AddressedMessage) -> Self {
        Self::Send {
            to: addressed.to,
            message: addressed.message,
        }
    }
}
