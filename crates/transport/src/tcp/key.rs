//! The cluster key and what is derived from it.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Block of SHA-256, to which HMAC pads its key.
const BLOCK_BYTES: usize = 64;
/// Bytes of a whole HMAC.
pub(super) const MAC_BYTES: usize = 32;

/// A keyed HMAC-SHA256.
pub(super) type KeyedMac = Hmac<Sha256>;

/// The key shared by all daemons of a cluster. Both ends of a connection
/// prove that they hold it, with fresh nonces; it is never sent or logged.
#[derive(Clone)]
pub struct ClusterKey {
    secret: Vec<u8>,
}

impl ClusterKey {
    /// A key from the bytes of the operator's secret.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            secret: secret.into(),
        }
    }

    /// An HMAC under this key that can serve only what `label` names.
    pub(super) fn labelled(&self, label: &str) -> KeyedMac {
        labelled(&self.secret, label)
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// An HMAC that begins with a label and its length.
pub(super) fn labelled(secret: &[u8], label: &str) -> KeyedMac {
    let mut mac = keyed(secret);
    mac.update(&(label.len() as u64).to_le_bytes());
    mac.update(label.as_bytes());
    mac
}

/// An HMAC under a secret of any length; as RFC 2104, a secret longer than a
/// block is hashed first.
pub(super) fn keyed(secret: &[u8]) -> KeyedMac {
    let digest;
    let short = if secret.len() > BLOCK_BYTES {
        digest = Sha256::digest(secret);
        digest.as_slice()
    } else {
        secret
    };
    let mut block = [0u8; BLOCK_BYTES];
    for (place, byte) in block.iter_mut().zip(short) {
        *place = *byte;
    }
    <KeyedMac as Mac>::new(&block.into())
}
