//! Cluster key, and HMAC-SHA256 under the key and its derived keys.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};

/// Block length of SHA-256 in bytes, to which HMAC pads its key.
const BLOCK_BYTES: usize = 64;
/// Length of an untruncated HMAC in bytes.
pub(super) const MAC_BYTES: usize = 32;

/// HMAC-SHA256 with its key set.
pub(super) type KeyedMac = Hmac<Sha256>;

/// Secret key shared by all daemons of a cluster.
///
/// Both ends of a connection prove possession of the key over fresh nonces. The
/// key is never sent or logged.
#[derive(Clone)]
pub struct ClusterKey {
    secret: Vec<u8>,
}

impl ClusterKey {
    /// Creates a key from the secret that the operator has provided.
    pub fn new(secret: impl Into<Vec<u8>>) -> Self {
        Self {
            secret: secret.into(),
        }
    }

    /// Returns an HMAC under this key. `label` names its purpose, so that an HMAC
    /// for one purpose is not valid for another.
    pub(super) fn labelled_mac(&self, label: &str) -> KeyedMac {
        labelled_mac(&self.secret, label)
    }
}

impl std::fmt::Debug for ClusterKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ClusterKey(..)")
    }
}

/// Returns an HMAC under `secret` over the length of `label` and `label`, to be
/// updated with the content.
pub(super) fn labelled_mac(secret: &[u8], label: &str) -> KeyedMac {
    let mut mac = new_mac(secret);
    mac.update(&(label.len() as u64).to_le_bytes());
    mac.update(label.as_bytes());
    mac
}

/// Returns an HMAC under a secret of any length. A secret longer than a block is
/// hashed first, as RFC 2104 specifies.
pub(super) fn new_mac(secret: &[u8]) -> KeyedMac {
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
