//! Authentication of bearer tokens.

use crate::{ClusterConfiguration, Key, KeyRole};

/// Returns whether requests need a bearer key, which holds once an operator key exists.
/// Before that, as at the first start, every request is allowed, since otherwise the
/// first keys could not be added. [`crate::validate()`] rejects a document that has
/// keys but no operator key.
pub fn requires_keys(document: &ClusterConfiguration) -> bool {
    document
        .keys
        .iter()
        .any(|key| key.role == KeyRole::Operator)
}

/// Returns the key that a token `<id>.<secret>` belongs to; `None` if the token is
/// malformed, its identifier is unknown or its secret is wrong.
///
/// The identifier is public and found by plain comparison; the secret is compared in
/// constant time. An identifier may contain dots, a secret may not.
pub fn authenticate<'a>(document: &'a ClusterConfiguration, token: &str) -> Option<&'a Key> {
    let (id, secret) = token.rsplit_once('.')?;
    if secret.is_empty() {
        return None;
    }
    let key = document.keys.iter().find(|key| key.id.as_str() == id)?;
    key.hash.matches(secret.as_bytes()).then_some(key)
}
