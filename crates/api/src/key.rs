//! JSON bodies: bearer keys, as salted hashes in hex.

use crate::BodyError;
use configuration::{Key, KeyHash, KeyRole};
use serde::{Deserialize, Serialize};
use types::{KeyId, TenantId};

/// What the bearer of a key may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleBody {
    /// One tenant's jobs; `tenant` names it.
    Caller,
    /// Everything.
    Operator,
    /// Heartbeats to an agent.
    Runner,
}

/// A bearer key: its public name and the salted hash of its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// Public name.
    pub id: KeyId,
    /// What its bearer may do.
    pub role: RoleBody,
    /// The tenant of a caller's key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantId>,
    /// 16 bytes in hex.
    pub salt_hex: String,
    /// 32 bytes in hex: SHA-256 over salt and secret.
    pub digest_hex: String,
}

impl From<Key> for KeyBody {
    fn from(key: Key) -> Self {
        let (role, tenant) = match key.role {
            KeyRole::Caller(tenant) => (RoleBody::Caller, Some(tenant)),
            KeyRole::Operator => (RoleBody::Operator, None),
            KeyRole::Runner => (RoleBody::Runner, None),
        };
        Self {
            id: key.id,
            role,
            tenant,
            salt_hex: encode_hex(&key.hash.salt),
            digest_hex: encode_hex(&key.hash.digest),
        }
    }
}

impl KeyBody {
    /// The key, once its parts fit together. `place` is its path in the body.
    ///
    /// # Errors
    ///
    /// Names the field that does not fit the key's role, salt or digest.
    pub fn into_key(self, place: &str) -> Result<Key, BodyError> {
        let role = match (self.role, self.tenant) {
            (RoleBody::Caller, Some(tenant)) => KeyRole::Caller(tenant),
            (RoleBody::Operator, None) => KeyRole::Operator,
            (RoleBody::Runner, None) => KeyRole::Runner,
            (RoleBody::Caller, None) => {
                let message = "a caller's key needs its tenant";
                return Err(BodyError::new(format!("{place}.tenant"), message));
            }
            (_, Some(_)) => {
                let message = "only a caller's key has a tenant";
                return Err(BodyError::new(format!("{place}.tenant"), message));
            }
        };
        Ok(Key {
            id: self.id,
            role,
            hash: KeyHash {
                salt: decode_hex(&self.salt_hex, &format!("{place}.salt_hex"))?,
                digest: decode_hex(&self.digest_hex, &format!("{place}.digest_hex"))?,
            },
        })
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex<const LENGTH: usize>(text: &str, place: &str) -> Result<[u8; LENGTH], BodyError> {
    let fault = || BodyError::new(place, format!("must be {} hex digits", 2 * LENGTH));
    let digits = text.as_bytes();
    if digits.len() != 2 * LENGTH {
        return Err(fault());
    }
    let mut bytes = [0; LENGTH];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = pair
            .iter()
            .try_fold(0, |sum, digit| {
                let value = char::from(*digit).to_digit(16)?;
                Some(sum * 16 + u8::try_from(value).ok()?)
            })
            .ok_or_else(fault)?;
    }
    Ok(bytes)
}
