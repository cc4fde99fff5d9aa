//! The cluster key and the keyed MACs derived from it.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Block length of SHA-256 in bytes, to which HMAC pads its key.
const BLOCK_BYTES: usize = 64;
/// Length of an untruncated HMAC in bytes.
pub(super) const MAC_BYTES: usize = 32;

/// A keyed HMAC-SHA256.
pub(super) type KeyedMac = Hmac<Sha256>;

/// The secret key that all daemons of a cluster share.
///
/// Both ends of a connection prove with fresh nonces that they have it. It is
/// never sent or logged.
#[derive(Clone)]
pub struct ClusterKey {
    secret: Vec<u8>,
}

impl ClusterKey {
    /// Creates a key from the bytes of the operator's secret.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            secret: secret.into(),
        }
    }

    /// Returns an HMAC under this key for the one purpose that `label` names.
    pub(super) fn labelled(&self, label: &str) -> KeyedMac {
        labelled(&self.secret, label)
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// Returns an HMAC under `secret` that has read `label` with its length.
pub(super) fn labelled(secret: &[u8], label: &str) -> KeyedMac {
    let mut mac = keyed(secret);
    mac.update(&(label.len() as u64).to_le_bytes());
    mac.update(label.as_bytes());
    mac
}

/// Returns an HMAC under a secret of any length. As in RFC 2104, a secret that is
/// longer than a block is hashed first.
pub(super) fn keyed(secret: &[u8]) -> KeyedMac {
    let digest;
    let key = if secret.len() > BLOCK_BYTES {
        digest = Sha256::digest(secret);
        digest.as_slice()
    } else {
        secret
    };
    let mut block = [0u8; BLOCK_BYTES];
    for (padded, byte) in block.iter_mut().zip(key) {
        *padded = *byte;
    }
    <KeyedMac as Mac>::new(&block.into())
}
