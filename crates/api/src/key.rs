//! JSON bodies of bearer keys, as salted hashes in hexadecimal.

use crate::BodyError;
use configuration::{Key, KeyHash, KeyRole};
use serde::{Deserialize, Serialize};
use types::{KeyId, TenantId};

/// Role of a key: the operations that its bearer may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleBody {
    /// Submits, queries and cancels of the jobs of one tenant, given in `tenant`.
    Caller,
    /// All operations.
    Operator,
    /// Heartbeats to an agent.
    Runner,
}

/// A bearer key: its public identifier and the salted hash of its secret.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyBody {
    /// Public identifier, the part of a token before its secret.
    pub id: KeyId,
    /// Operations that the bearer may use.
    pub role: RoleBody,
    /// Tenant of a key with the role `caller`. Absent for other roles.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<TenantId>,
    /// Salt: 16 random bytes as 32 hexadecimal digits.
    pub salt_hex: String,
    /// SHA-256 over salt and secret: 32 bytes as 64 hexadecimal digits.
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
    /// Converts the body to a key. Errors are reported below `path`, the key's
    /// path in the body.
    ///
    /// # Errors
    ///
    /// Fails if `tenant` does not match the role, or if the salt or digest is
    /// not hexadecimal or has the wrong length.
    pub fn into_key(self, path: &str) -> Result<Key, BodyError> {
        let role = match (self.role, self.tenant) {
            (RoleBody::Caller, Some(tenant)) => KeyRole::Caller(tenant),
            (RoleBody::Operator, None) => KeyRole::Operator,
            (RoleBody::Runner, None) => KeyRole::Runner,
            (RoleBody::Caller, None) => {
                let message = "a caller's key needs its tenant";
                return Err(BodyError::new(format!("{path}.tenant"), message));
            }
            (_, Some(_)) => {
                let message = "only a caller's key has a tenant";
                return Err(BodyError::new(format!("{path}.tenant"), message));
            }
        };
        Ok(Key {
            id: self.id,
            role,
            hash: KeyHash {
                salt: decode_hex(&self.salt_hex, &format!("{path}.salt_hex"))?,
                digest: decode_hex(&self.digest_hex, &format!("{path}.digest_hex"))?,
            },
        })
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn decode_hex<const LENGTH: usize>(text: &str, path: &str) -> Result<[u8; LENGTH], BodyError> {
    let invalid = || BodyError::new(path, format!("must be {} hex digits", 2 * LENGTH));
    let digits = text.as_bytes();
    if digits.len() != 2 * LENGTH {
        return Err(invalid());
    }
    let mut bytes = [0; LENGTH];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = pair
            .iter()
            .try_fold(0, |sum, digit| {
                let value = char::from(*digit).to_digit(16)?;
                Some(sum * 16 + u8::try_from(value).ok()?)
            })
            .ok_or_else(invalid)?;
    }
    Ok(bytes)
}
