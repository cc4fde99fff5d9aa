//! Bearer keys. The document contains only salted hashes of their secrets.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use types::{KeyId, TenantId};

/// Role of a key, which determines the requests that its bearer may send.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRole {
    /// May submit, read and cancel jobs of this tenant.
    Caller(TenantId),
    /// May send all requests.
    Operator,
    /// May send heartbeats to an agent.
    Runner,
}

/// Salted SHA-256 hash of the secret of a key. Secrets are random with full entropy, so
/// a slow hash would add no protection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash {
    /// Salt, drawn at random for each key.
    pub salt: [u8; 16],
    /// SHA-256 digest of the salt followed by the secret.
    pub digest: [u8; 32],
}

impl KeyHash {
    /// Hashes a secret with the salt.
    pub fn new(salt: [u8; 16], secret: &[u8]) -> Self {
        Self {
            salt,
            digest: digest(&salt, secret),
        }
    }

    /// Returns whether the secret is the hashed one, compared in constant time.
    pub fn matches(&self, secret: &[u8]) -> bool {
        digest(&self.salt, secret).ct_eq(&self.digest).into()
    }
}

fn digest(salt: &[u8; 16], secret: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(secret);
    hasher.finalize().into()
}

/// Bearer key. Its token has the form `<id>.<secret>`. A key is rotated by adding a
/// second one of the same role under another identifier, and revoked by removing it
/// from the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public identifier of the key.
    pub id: KeyId,
    /// Role of the bearer.
    pub role: KeyRole,
    /// Hash of the secret.
    pub hash: KeyHash,
}
