//! Messages carried by a member that reaches both ends.
//!
//! The body travels as bytes of its own. Whether they hold a relay again is
//! seen from their first number, before anything in them is decoded: so no
//! bytes make the decoder call itself more than once, however deep they nest.

use crate::PeerMessage;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use types::Address;

/// Position of [`PeerMessage::Relay`] in its enum, which its bytes begin with.
const RELAY_VARIANT: u32 = 14;

/// A message carried by a member that reaches both ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// The sender.
    pub origin: Address,
    /// Socket of the receiver.
    pub destination: SocketAddr,
    /// The message; never itself a relay: such a one is neither encoded nor
    /// decoded.
    #[serde(with = "body")]
    pub body: Box<PeerMessage>,
}

mod body {
    use super::{PeerMessage, RELAY_VARIANT};
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer, de, ser};

    const NESTED: &str = "a relay inside a relay";

    pub(super) fn serialize<S: Serializer>(
        body: &PeerMessage,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        if matches!(body, PeerMessage::Relay(_)) {
            return Err(ser::Error::custom(NESTED));
        }
        let bytes = postcard::to_stdvec(body).map_err(ser::Error::custom)?;
        serializer.serialize_bytes(&bytes)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Box<PeerMessage>, D::Error> {
        let bytes = Bytes::deserialize(deserializer)?;
        let (variant, _) = postcard::take_from_bytes::<u32>(&bytes).map_err(de::Error::custom)?;
        if variant == RELAY_VARIANT {
            return Err(de::Error::custom(NESTED));
        }
        postcard::from_bytes(&bytes)
            .map(Box::new)
            .map_err(de::Error::custom)
    }
}
