//! Finding the key that a bearer token belongs to.

use crate::{ClusterConfiguration, Key, KeyRole};

/// True once an operator key exists. Before that, at the first start, every
/// request is allowed, or nobody could ever put the first keys in.
/// [`crate::validate()`] rejects a document whose keys include no operator key.
pub fn requires_keys(document: &ClusterConfiguration) -> bool {
    document
        .keys
        .iter()
        .any(|key| key.role == KeyRole::Operator)
}

/// The key a token `<id>.<secret>` belongs to, or none. The identifier is
/// public and found by plain comparison; the secret is compared in constant
/// time. An identifier may hold dots, a secret may not.
pub fn authenticate<'a>(document: &'a ClusterConfiguration, token: &str) -> Option<&'a Key> {
    let (id, secret) = token.rsplit_once('.')?;
    if secret.is_empty() {
        return None;
    }
    let key = document.keys.iter().find(|key| key.id.as_str() == id)?;
    key.hash.matches(secret.as_bytes()).then_some(key)
}
