//! Bearer keys: only salted hashes ever enter the document.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;
use types::{KeyId, TenantId};

/// What the bearer of a key may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeyRole {
    /// Submit, ask for and cancel this tenant's jobs.
    Caller(TenantId),
    /// Everything.
    Operator,
    /// Heartbeats to an agent.
    Runner,
}

/// A salted SHA-256 of a key's secret. Secrets are drawn at random with full
/// strength, so a slow hash would add nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHash {
    /// Drawn at random for each key.
    pub salt: [u8; 16],
    /// SHA-256 over salt and secret.
    pub digest: [u8; 32],
}

impl KeyHash {
    /// Hashes a secret.
    pub fn new(salt: [u8; 16], secret: &[u8]) -> Self {
        Self {
            salt,
            digest: digest(&salt, secret),
        }
    }

    /// Compares in constant time.
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

/// A bearer key. A token reads `<id>.<secret>`; rotation is two live keys of
/// the same role under different ids; revocation is leaving one out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Public name.
    pub id: KeyId,
    /// What its bearer may do.
    pub role: KeyRole,
    /// Hash of its secret.
    pub hash: KeyHash,
}
