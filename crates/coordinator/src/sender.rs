//! The sender of a message, and the way an answer takes back to it.

use crate::effect::Effect;
use session::route;
use std::net::SocketAddr;
use transport::{Envelope, PeerMessage};
use types::Address;

/// The sender of a message, and the coordinator that relayed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Sender {
    pub(crate) address: Address,
    /// The coordinator that relayed the message; none if it came directly.
    pub(crate) via: Option<SocketAddr>,
}

/// A message and the socket it goes to.
#[derive(Debug, Clone)]
pub(crate) struct AddressedMessage {
    pub(crate) to: SocketAddr,
    pub(crate) message: PeerMessage,
}

impl Sender {
    /// Reads the sender of an opened message.
    pub(crate) fn of(envelope: &Envelope) -> Self {
        Self {
            address: envelope.from.clone(),
            via: envelope.via,
        }
    }

    /// Addresses an answer, through the relay that the message came by.
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
